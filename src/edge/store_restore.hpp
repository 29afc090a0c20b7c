#ifndef PARSLEYPLANK_EDGE_STORE_RESTORE_HPP
#define PARSLEYPLANK_EDGE_STORE_RESTORE_HPP

// What the operator had ordered before the store came back from an older copy.
// The operator writes it again within moments, so that what the copy lacks
// holds meanwhile.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <set>
#include <string>
#include <vector>

namespace parsleyplank::edge
{

struct store_restore
{
    // Time for which an order that the copy lacks still holds.
    milliseconds hold{3'000};
    // End of that time; default value if the store was not restored.
    time_point hold_until{};
    // Keys of the orders that the store lacks.
    std::set<std::string> missing;
};

// Returns whether a listing at this revision is the first one of a restored
// store. `applied` is the revision up to which changes are known, 0 if none.
bool is_restored(revision listed, revision applied);

// Records that the store was restored.
void begin_hold(store_restore& state, time_point now);

// Returns whether the order with this key, which a listing lacks, still holds.
bool hold_order(store_restore& state, const std::string& key, time_point now);

// Records that the store has the order again, or that it was removed.
void release_order(store_restore& state, const std::string& key);

// Returns the keys of the orders that were not written again in time, once.
std::vector<std::string> expired_orders(store_restore& state, time_point now);

} // namespace parsleyplank::edge

#endif
