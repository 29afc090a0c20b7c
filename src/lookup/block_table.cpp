#include <parsleyplank/core/error.hpp>
#include <parsleyplank/lookup/block_table.hpp>

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace parsleyplank::lookup
{

namespace
{

// Number of bits in each half of an IPv6 address.
constexpr unsigned half_bits = 64;

// A block as a closed interval of integer keys.
template <typename Key>
struct key_block
{
    Key first;
    // Inclusive. An exclusive end would need an extra bit for a block that
    // reaches the end of the address space.
    Key last;
    region_index region;
};

// Returns the address as a key: all 128 bits of an IPv6 address, its high half
// or an IPv4 address, depending on the size of the key.
template <typename Key>
Key to_key(const config::ip_address& address)
{
    if constexpr (sizeof(Key) == sizeof(uint128))
        return (Key{address.high} << half_bits) | address.low;
    else if constexpr (sizeof(Key) == sizeof(std::uint64_t))
        return address.high;
    else
        return static_cast<Key>(address.low);
}

// Assumes that the prefix is not longer than the key.
template <typename Key>
key_block<Key> to_key_block(const block& from)
{
    constexpr unsigned bits = 8 * sizeof(Key);
    const Key first = to_key<Key>(from.prefix.first);
    const Key host_mask =
        from.prefix.length == 0
            ? static_cast<Key>(~Key{0})
            : static_cast<Key>((Key{1} << (bits - from.prefix.length)) - 1);
    return {first, static_cast<Key>(first | host_mask), from.region};
}

// Flattens nested blocks into disjoint ranges in one pass, with a stack of the
// blocks that contain the current position.
template <typename Key>
class range_builder
{
public:
    explicit range_builder(range_table<Key>& table) : output(table)
    {
    }

    // Assumes that blocks are added in ascending order of first address and, of
    // those with the same first address, outer blocks before inner ones. Open
    // blocks are then always nested.
    void add(const key_block<Key>& from)
    {
        while (!open_blocks.empty() && open_blocks.back().last < from.first)
            end_block();
        start_range(from.first, from.region);
        open_blocks.push_back(from);
    }

    // Closes all open blocks. Call once, after the last block.
    void finish()
    {
        while (!open_blocks.empty())
            end_block();
        output.starts.shrink_to_fit();
        output.regions.shrink_to_fit();
    }

private:
    // Closes the innermost block. The addresses after it belong to the block
    // around it, if there is one.
    void end_block()
    {
        const Key last = open_blocks.back().last;
        open_blocks.pop_back();
        if (last != static_cast<Key>(~Key{0}))
            start_range(static_cast<Key>(last + 1),
                        open_blocks.empty() ? no_region
                                            : open_blocks.back().region);
    }

    void start_range(Key first, region_index region)
    {
        // A block with the same first address as the last range replaces it.
        if (output.starts.back() == first)
        {
            output.starts.pop_back();
            output.regions.pop_back();
        }
        if (!output.regions.empty() && output.regions.back() == region)
            return;
        output.starts.push_back(first);
        output.regions.push_back(region);
    }

    range_table<Key>& output;
    // Outermost first.
    std::vector<key_block<Key>> open_blocks;
};

// Fills the table with the ranges and samples of the blocks.
template <typename Key>
void build(range_table<Key>& table, const std::vector<block>& blocks)
{
    std::vector<key_block<Key>> list;
    list.reserve(blocks.size());
    std::ranges::transform(blocks, std::back_inserter(list), to_key_block<Key>);
    // The sort is stable so that the last of several equal prefixes is the
    // innermost and takes precedence.
    std::ranges::stable_sort(
        list, [](const auto& a, const auto& b)
        { return a.first != b.first ? a.first < b.first : a.last > b.last; });
    table.starts = {Key{0}};
    table.regions = {no_region};
    range_builder<Key> builder(table);
    std::ranges::for_each(list, [&](const key_block<Key>& from)
                          { builder.add(from); });
    builder.finish();
    table.samples.reserve(table.starts.size() / sample_distance + 1);
    for (std::size_t i = 0; i < table.starts.size(); i += sample_distance)
        table.samples.push_back(table.starts[i]);
}

// Returns the index of the last of n sorted keys that is not greater than the
// given key. Assumes that the first one is not greater. The binary search does
// not branch on the keys, since the processor could not predict such branches.
template <typename Key>
std::size_t find_last_not_greater(const Key* keys, std::size_t n, Key key)
{
    const Key* first = keys;
    while (n > 1)
    {
        const std::size_t half = n / 2;
        first += first[half] <= key ? half : 0;
        n -= half;
    }
    return static_cast<std::size_t>(first - keys);
}

// Searches the samples first, then the ranges that follow the sample found.
template <typename Key>
region_index find_region(const range_table<Key>& table, Key key)
{
    if (table.starts.empty())
        return no_region;
    const std::size_t from =
        sample_distance *
        find_last_not_greater(table.samples.data(), table.samples.size(), key);
    const std::size_t n = std::min(sample_distance, table.starts.size() - from);
    return table.regions[from + find_last_not_greater(
                                    table.starts.data() + from, n, key)];
}

template <typename Key>
std::size_t table_bytes(const range_table<Key>& table)
{
    return table.starts.capacity() * sizeof(Key) +
           table.regions.capacity() * sizeof(region_index) +
           table.samples.capacity() * sizeof(Key);
}

// Collects client blocks and resolves their region ids to indices.
struct block_list
{
    std::unordered_map<region_id, region_index> region_indices;
    std::vector<block> blocks;

    explicit block_list(const config::bundle& content)
    {
        std::ranges::for_each(
            content.regions,
            [&](const config::region& v)
            {
                region_indices.emplace(
                    v.id, static_cast<region_index>(region_indices.size()));
            });
    }

    // Throws config_error if the region is unknown or the prefix is invalid.
    void add(const config::client_block& v)
    {
        const auto it = region_indices.find(v.region);
        if (it == region_indices.end())
            throw config_error("client block \"" + v.prefix +
                               "\" is for the unknown region \"" +
                               v.region.value + "\"");
        blocks.push_back({config::parse_prefix(v.prefix), it->second});
    }
};

} // namespace

block_table::block_table(std::vector<block> blocks)
{
    const auto v4_end = std::stable_partition(blocks.begin(), blocks.end(),
                                              [](const block& v)
                                              { return !v.prefix.first.v6; });
    const std::vector<block> v6(v4_end, blocks.end());
    blocks.erase(v4_end, blocks.end());
    build(v4, blocks);
    if (std::ranges::all_of(v6, [](const block& v)
                            { return v.prefix.length <= half_bits; }))
        build(v6_short, v6);
    else
        build(v6_long, v6);
}

region_index block_table::find(const config::ip_address& address) const
{
    if (!address.v6)
        return find_region(v4, to_key<std::uint32_t>(address));
    if (v6_long.starts.empty())
        return find_region(v6_short, to_key<std::uint64_t>(address));
    return find_region(v6_long, to_key<uint128>(address));
}

std::size_t block_table::memory_bytes() const
{
    return table_bytes(v4) + table_bytes(v6_short) + table_bytes(v6_long);
}

block_table make_block_table(const config::bundle& content)
{
    block_list list(content);
    list.blocks.reserve(content.client_blocks.size());
    std::ranges::for_each(content.client_blocks,
                          [&](const config::client_block& v) { list.add(v); });
    return block_table(std::move(list.blocks));
}

block_table make_block_table(const config::bundle& content,
                             const config::manifest& description,
                             const config::part_map& parts)
{
    block_list list(content);
    config::for_each_client_block(description, parts,
                                  [&](const config::client_block& v)
                                  { list.add(v); });
    return block_table(std::move(list.blocks));
}

} // namespace parsleyplank::lookup
