#ifndef PARSLEYPLANK_ENTRY_SNAPSHOT_HPP
#define PARSLEYPLANK_ENTRY_SNAPSHOT_HPP

// What traffic threads read: the configuration in force with the tables built
// from it, and the live instances. Immutable; the control thread replaces it as
// a whole.

#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/keys/keyring.hpp>
#include <parsleyplank/lookup/lookup.hpp>

#include <atomic>
#include <memory>
#include <string_view>

namespace parsleyplank::entry
{

struct config_tables
{
    std::shared_ptr<const config::bundle> content;
    keys::keyring keys;
    std::shared_ptr<const lookup::block_table> blocks;
};

struct traffic_snapshot
{
    std::shared_ptr<const config_tables> tables;
    lookup::lookup_snapshot lookup;
};

using snapshot_slot = std::atomic<std::shared_ptr<const traffic_snapshot>>;

// Returns the tables of the adopted configuration. The block table of the
// previous tables is used again if given, because it is the costly one and
// client blocks change less often than the rest. Throws config_error if the
// bundle is not valid, codec_error if a part is missing.
std::shared_ptr<const config_tables>
build_tables(const config::adoption& adopted,
             std::shared_ptr<const lookup::block_table> same_blocks);

// Returns the route whose path prefix is the longest that matches whole path
// segments and whose methods contain the method, or nullptr.
const config::route* find_route(const config::bundle& content,
                                std::string_view method, std::string_view path);

// Returns the named customer, or nullptr.
const config::customer* find_customer(const config::bundle& content,
                                      const customer_id& id);

} // namespace parsleyplank::entry

#endif
