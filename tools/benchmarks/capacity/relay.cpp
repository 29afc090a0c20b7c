// Configuration relay: what one changed item moves and costs.

#include "measure.hpp"
#include "support/sample_bundle.hpp"
#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/entry/snapshot.hpp>
#include <parsleyplank/peer/message.hpp>

#include <tuple>

namespace parsleyplank::capacity
{

namespace
{

constexpr std::size_t region_count = 24;

config::bundle large_bundle(std::size_t n)
{
    auto v = test::sample_bundle();
    for (std::size_t i = v.regions.size(); i < region_count; ++i)
        v.regions.push_back({region_id("region-" + std::to_string(i)),
                             {failure_domain_id("a")},
                             {}});
    v.client_blocks.clear();
    for (std::size_t i = 0; i < n; ++i)
    {
        // Every second /24 from 16.0.0.0, so that no ranges merge.
        const config::ip_address first{false, 0, (2 * i + (16U << 16U)) << 8U};
        const auto prefix = to_string(first) + "/24";
        v.client_blocks.push_back(
            {prefix, v.regions[hash64(prefix) % region_count].id});
    }
    return v;
}

struct adoption_cost
{
    double cpu = 0;
    std::size_t bytes = 0;
    std::size_t parts = 0;
};

adoption_cost adopt(config::adoption& state, const config::encoded_bundle& from,
                    std::uint64_t n)
{
    const auto bytes = config::encode_manifest(
        {{{epoch(n), "publisher", "0123456789abcdef"}}, from.sections});
    adoption_cost cost;
    cost.bytes = bytes.size();
    const double begin = cpu_us();
    config::offer_manifest(state, config::decode_manifest(bytes));
    for (bool done = false; !done;)
    {
        config::part_map arrived;
        for (const auto& digest : config::missing_parts(state))
            arrived.emplace(digest, from.parts.at(digest));
        cost.parts += arrived.size();
        for (const auto& it : arrived)
            cost.bytes += it.second.size();
        config::offer_parts(state, arrived);
        done = config::try_adopt(state);
    }
    cost.cpu = cpu_us() - begin;
    return cost;
}

void print(std::size_t n, const char* change, config::adoption& state,
           const config::encoded_bundle& before,
           const config::encoded_bundle& after,
           const std::shared_ptr<const lookup::block_table>& blocks)
{
    constexpr int rounds = 5;
    adoption_cost sum;
    double table = 0;
    for (int i = 0; i < rounds; ++i)
    {
        const auto at = 2 * static_cast<std::uint64_t>(i) + 2;
        const auto cost = adopt(state, after, at);
        sum.cpu += cost.cpu / rounds;
        sum.bytes = cost.bytes;
        sum.parts = cost.parts;
        const double begin = cpu_us();
        keep(entry::build_tables(state, blocks));
        table += (cpu_us() - begin) / rounds;
        adopt(state, before, at + 1);
    }
    std::printf("%8zu %-14s %6zu %8zu %10.0f %12.0f\n", n, change, sum.parts,
                sum.bytes, sum.cpu, table);
}

// Bytes of a message that carries one changed block and the new root of its
// section: the form that a relay of single items would send.
std::size_t delta_bytes(const config::bundle& content)
{
    const auto& block = content.client_blocks.front();
    return peer::encode_envelope(
               {instance_name(0), incarnation(1'760'000'000'000), 100'000,
                peer::message_kind::config_reply,
                pack_value(std::make_tuple(
                    epoch(1'000'000),
                    std::string(config::client_blocks_section), block.prefix,
                    block.region, sha256_hex("root").substr(0, 32)))})
        .size();
}

void measure(std::size_t n)
{
    auto content = large_bundle(n);
    const auto encoded = config::encode_bundle(content);
    const double before = heap_bytes();
    config::adoption state;
    state.with_client_blocks = false;
    adopt(state, encoded, 1);
    const double adopted = heap_bytes();
    const auto tables = entry::build_tables(state, nullptr);
    const double with_table = heap_bytes();

    auto changed = content;
    changed.client_blocks[n / 2].region =
        changed
            .regions[content.client_blocks[n / 2].region ==
                             content.regions[3].id
                         ? 4
                         : 3]
            .id;
    print(n, "one block", state, encoded, config::encode_bundle(changed),
          nullptr);
    state = {};
    state.with_client_blocks = false;
    adopt(state, encoded, 1);
    changed = content;
    changed.keys.pop_back();
    print(n, "withdrawn key", state, encoded, config::encode_bundle(changed),
          tables->blocks);
    std::printf("%8zu memory: %zu parts %.1f MB, block table and keys %.1f "
                "MB; one item alone %zu B\n",
                n, encoded.parts.size(), (adopted - before) / 1e6,
                (with_table - adopted) / 1e6, delta_bytes(content));
}

} // namespace

void measure_relay()
{
    std::printf("configuration relay: one changed item; bytes with the "
                "manifest; CPU us of adoption and of the new tables\n");
    std::printf("  blocks change          parts    bytes   adopt_us  "
                "tables_us\n");
    for (const std::size_t n : {5'700, 57'000, 570'000})
        measure(n);
}

} // namespace parsleyplank::capacity
