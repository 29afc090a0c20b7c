#ifndef PARSLEYPLANK_LOOKUP_BLOCK_TABLE_HPP
#define PARSLEYPLANK_LOOKUP_BLOCK_TABLE_HPP

// Maps client addresses to regions by longest prefix match. Nested prefixes are
// flattened at construction into disjoint ranges in sorted arrays, so that a
// lookup is a binary search. A table is immutable once constructed and can be
// read concurrently by any number of threads.

#include <parsleyplank/config/bundle.hpp>
#include <parsleyplank/config/ip_prefix.hpp>
#include <parsleyplank/config/model.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace parsleyplank::lookup
{

// Index of a region in bundle::regions.
using region_index = std::uint16_t;

// Stands for the region of an address that no block contains.
inline constexpr region_index no_region = 0xFFFF;

// Assigns the addresses of a prefix to a region.
struct block
{
    config::ip_prefix prefix;
    region_index region = no_region;
};

__extension__ using uint128 = unsigned __int128;

// Disjoint ranges that cover the whole address space. Range i extends from
// starts[i] up to, but not including, starts[i + 1] and belongs to regions[i].
// starts[0] is 0 unless the table is empty.
template <typename Key>
struct range_table
{
    std::vector<Key> starts;
    std::vector<region_index> regions;
    // Every sample_distance-th start, searched first because the samples are
    // small enough for the processor's cache.
    std::vector<Key> samples;
};

// Number of ranges per sample.
inline constexpr std::size_t sample_distance = 32;

// Keeps separate range tables for IPv4 and IPv6, with the smallest key type
// that holds all prefixes.
class block_table
{
public:
    block_table() = default;

    // If several blocks have the same prefix, the last one takes precedence.
    explicit block_table(std::vector<block> blocks);

    // Returns the region of the longest prefix that contains the address, or
    // no_region if no prefix contains it.
    region_index find(const config::ip_address& address) const;

    // Returns the number of bytes allocated for the arrays of the table.
    std::size_t memory_bytes() const;

private:
    range_table<std::uint32_t> v4;
    // Keyed by the high half of IPv6 addresses. Used if no IPv6 prefix is
    // longer than 64 bits.
    range_table<std::uint64_t> v6_short;
    // Keyed by whole IPv6 addresses. Used if any IPv6 prefix is longer than 64
    // bits, otherwise empty.
    range_table<uint128> v6_long;
};

// Builds the table of a bundle's client blocks. Throws config_error if the
// prefix of a block is invalid or its region is unknown.
block_table make_block_table(const config::bundle& content);

// As above, but reads the client blocks from the parts of a configuration, so
// the bundle does not have to contain them. Also throws codec_error if a part
// is missing or corrupt.
block_table make_block_table(const config::bundle& content,
                             const config::manifest& description,
                             const config::part_map& parts);

} // namespace parsleyplank::lookup

#endif
