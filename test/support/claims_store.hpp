#ifndef PARSLEYPLANK_TEST_SUPPORT_CLAIMS_STORE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_CLAIMS_STORE_HPP

// An in-memory store for the calls of a claims writer, with the faults of a
// store that is accessed over a network.

#include <parsleyplank/claims/bucket.hpp>

#include <map>
#include <string>
#include <utility>

namespace parsleyplank::test
{

// Faults of a store call.
enum class store_fault
{
    none,
    unavailable,   // no effect, and the caller is informed
    lost_request,  // no effect, outcome unknown
    lost_response, // takes effect, outcome unknown
    late,          // takes effect after a long time, outcome unknown
    stale          // a read returns the value before the last write
};

// The current values and, for stale reads, the previous ones.
struct claims_store
{
    // Values and their revisions by key.
    using values = std::map<std::string, std::pair<std::string, std::uint64_t>>;

    values current;
    values previous;
    std::uint64_t last_revision = 0;
    std::uint64_t writes = 0;
};

// Returns the outcome of a read of these values.
inline claims::store_outcome read_value(const claims_store::values& from,
                                        const claims::store_call& call)
{
    claims::store_outcome outcome;
    outcome.id = call.id;
    outcome.type = claims::store_outcome::kind::value_read;
    if (const auto it = from.find(call.key); it != from.end())
    {
        outcome.value = it->second.first;
        outcome.key_revision = revision(it->second.second);
    }
    return outcome;
}

// Carries out a call. A stale read returns the value before the last write.
inline claims::store_outcome apply(claims_store& store,
                                   const claims::store_call& call, bool stale)
{
    using kind = claims::store_call::kind;
    if (call.type == kind::read)
        return read_value(stale ? store.previous : store.current, call);
    claims::store_outcome outcome;
    outcome.id = call.id;
    outcome.type = claims::store_outcome::kind::conflict;
    const auto found = store.current.find(call.key);
    const bool absent = found == store.current.end();
    if (call.expected.value != (absent ? 0 : found->second.second))
        return outcome;
    if (!absent)
        store.previous[call.key] = found->second;
    if (call.type == kind::erase)
        store.current.erase(found);
    else
        store.current[call.key] = {call.value, ++store.last_revision};
    ++store.writes;
    outcome.type = claims::store_outcome::kind::applied;
    outcome.key_revision = revision(store.last_revision);
    return outcome;
}

} // namespace parsleyplank::test

#endif
