#ifndef PARSLEYPLANK_LOOKUP_BLOCK_TABLE_HPP
#define PARSLEYPLANK_LOOKUP_BLOCK_TABLE_HPP

// Maps client addresses to regions by longest prefix match. Nested prefixes are
// flattened at build time into disjoint ranges in sorted arrays, so a look-up
// is one binary search. Immutable after build; any thread may read it.

#include <parsleyplank/config/bundle.hpp>
#include <parsleyplank/config/ip_prefix.hpp>
#include <parsleyplank/config/model.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace parsleyplank::lookup
{

// A region as its position in bundle::regions.
using region_index = std::uint16_t;

// Returned for an address that no block contains.
inline constexpr region_index no_region = 0xFFFF;

struct block
{
    config::ip_prefix prefix;
    region_index region = no_region;
};

__extension__ using uint128 = unsigned __int128;

// Range i is from starts[i] up to the start of range i + 1. starts[0] is 0.
template <typename Key>
struct range_table
{
    std::vector<Key> starts;
    std::vector<region_index> regions;
    // Every sample_distance-th start; small enough for the processor's cache.
    std::vector<Key> samples;
};

inline constexpr std::size_t sample_distance = 32;

class block_table
{
public:
    block_table() = default;

    // Of equal prefixes the last one holds.
    explicit block_table(std::vector<block> blocks);

    // Returns the region of the longest prefix that contains the address, or
    // no_region.
    region_index find(const config::ip_address& address) const;

    // Returns the number of bytes that the table holds.
    std::size_t memory_bytes() const;

private:
    range_table<std::uint32_t> v4;
    // High halves of IPv6 addresses; in use if no prefix is longer than 64.
    range_table<std::uint64_t> v6_short;
    range_table<uint128> v6_long;
};

// Returns the table of a bundle's client blocks. Throws config_error if a block
// is not a prefix or its region is unknown.
block_table make_block_table(const config::bundle& content);

// As above, from the parts of a configuration; the bundle need not hold the
// client blocks. Throws codec_error if a part is missing or damaged.
block_table make_block_table(const config::bundle& content,
                             const config::manifest& description,
                             const config::part_map& parts);

} // namespace parsleyplank::lookup

#endif
