// Measures the cost of a configuration at 5,700, 57,000 and 570,000 client
// blocks in 24 regions: look-ups, memory, and the bytes that one change moves.
// Blocks have gaps between them, so that no ranges merge.

#include "support/sample_bundle.hpp"
#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/config/validate.hpp>
#include <parsleyplank/keys/keyring.hpp>
#include <parsleyplank/lookup/lookup.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <random>

using namespace parsleyplank;

namespace
{

constexpr std::size_t region_count = 24;
constexpr std::size_t look_ups = 2'000'000;

double milliseconds_of(const auto& function)
{
    const auto begin = std::chrono::steady_clock::now();
    function();
    const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - begin;
    return spent.count();
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::cout << "  " << std::left << std::setw(44) << name << std::right
              << std::setw(14) << std::fixed << std::setprecision(1) << value
              << " " << unit << "\n";
}

config::bundle large_bundle(std::size_t n, bool v6)
{
    auto v = test::sample_bundle();
    for (std::size_t i = v.regions.size(); i < region_count; ++i)
        v.regions.push_back({region_id("region-" + std::to_string(i)),
                             {failure_domain_id("a")},
                             {}});
    v.client_blocks.clear();
    for (std::size_t i = 0; i < n; ++i)
    {
        // Every second /24 from 16.0.0.0, or /48 from 2001::.
        const std::size_t at = 2 * i + (16U << 16U);
        const config::ip_address first =
            v6 ? config::ip_address{true, (0x2001ULL << 48U) | (at << 16U), 0}
               : config::ip_address{false, 0, at << 8U};
        const auto prefix = to_string(first) + (v6 ? "/48" : "/24");
        v.client_blocks.push_back(
            {prefix, v.regions[hash64(prefix) % region_count].id});
    }
    return v;
}

void measure_look_ups(const config::bundle& content, bool v6)
{
    lookup::block_table table;
    print("block_table: build",
          milliseconds_of([&] { table = lookup::make_block_table(content); }),
          "ms");
    print("block_table: memory", static_cast<double>(table.memory_bytes()),
          "bytes");
    std::mt19937_64 random(1);
    std::vector<config::ip_address> addresses;
    const std::size_t span = 2 * content.client_blocks.size();
    for (std::size_t i = 0; i < look_ups; ++i)
    {
        const std::size_t at = random() % span + (16U << 16U);
        addresses.push_back(
            v6 ? config::ip_address{true, (0x2001ULL << 48U) | (at << 16U), 1}
               : config::ip_address{false, 0, (at << 8U) + 1});
    }
    std::size_t found = 0;
    const double spent = milliseconds_of(
        [&]
        {
            for (const auto& address : addresses)
                found += table.find(address) == lookup::no_region ? 0 : 1;
        });
    print("block_table: look-up", spent * 1e6 / look_ups, "ns");
    print("  of these in a block",
          100.0 * static_cast<double>(found) / look_ups, "%");
}

// Measures what an instance does to take over one change.
void measure_adoption(const std::string& name, const config::bundle& content,
                      const config::bundle& changed)
{
    const auto deliver =
        [](config::adoption& state, const config::bundle& v, std::uint64_t n)
    {
        const auto encoded = config::encode_bundle(v);
        double spent = 0;
        config::manifest description{{{epoch(n), "", ""}}, encoded.sections};
        spent += milliseconds_of([&] { offer_manifest(state, description); });
        for (bool done = false; !done;)
        {
            config::part_map asked;
            spent += milliseconds_of(
                [&]
                {
                    for (const auto& digest : missing_parts(state))
                        asked.emplace(digest, encoded.parts.at(digest));
                });
            spent += milliseconds_of(
                [&]
                {
                    offer_parts(state, asked);
                    done = try_adopt(state);
                });
        }
        return spent;
    };
    config::adoption state;
    state.with_client_blocks = false;
    deliver(state, content, 1);
    print(name + ": adopt", deliver(state, changed, 2), "ms");
    print(name + ": block table from parts",
          milliseconds_of(
              [&] {
                  lookup::make_block_table(*state.held, state.held_manifest,
                                           state.parts);
              }),
          "ms");
}

void print_new_parts(const std::string& name, const config::part_map& before,
                     const config::encoded_bundle& after)
{
    std::size_t n = 0;
    std::size_t bytes = 0;
    for (const auto& [digest, part] : after.parts)
        if (!before.contains(digest))
        {
            ++n;
            bytes += part.size();
        }
    print(name + ": new parts", static_cast<double>(n), "");
    print(name + ": bytes of new parts", static_cast<double>(bytes), "bytes");
}

void measure_changes(const config::bundle& content,
                     const config::encoded_bundle& encoded)
{
    // The mean over many blocks, since the sizes of parts vary.
    constexpr std::size_t samples = 50;
    std::size_t bytes = 0;
    std::size_t parts = 0;
    std::mt19937_64 random(2);
    auto changed = content;
    for (std::size_t i = 0; i < samples; ++i)
    {
        auto& block =
            changed.client_blocks[random() % changed.client_blocks.size()];
        const auto old = block.region;
        block.region = changed.regions[(random() % 23) + 1].id;
        if (block.region == old)
            block.region = changed.regions[0].id;
        for (const auto& [digest, part] : config::encode_bundle(changed).parts)
            if (!encoded.parts.contains(digest))
            {
                bytes += part.size();
                ++parts;
            }
        block.region = old;
    }
    print("one changed block: new parts, mean of 50",
          static_cast<double>(parts) / samples, "");
    print("one changed block: bytes of parts, mean of 50",
          static_cast<double>(bytes) / samples, "bytes");
    changed.client_blocks.back().region = changed.regions[0].id;
    measure_adoption("one changed block", content, changed);
    changed = content;
    changed.keys.pop_back();
    measure_adoption("withdrawn key", content, changed);
    print_new_parts("withdrawn key", encoded.parts,
                    config::encode_bundle(changed));
}

void measure_parts(const config::bundle& content)
{
    config::encoded_bundle encoded;
    print("encode", milliseconds_of([&] { encoded = encode_bundle(content); }),
          "ms");
    std::size_t bytes = 0;
    std::size_t largest = 0;
    for (const auto& [digest, part] : encoded.parts)
    {
        bytes += part.size();
        largest = std::max(largest, part.size());
    }
    print("parts", static_cast<double>(encoded.parts.size()), "");
    print("parts: all bytes", static_cast<double>(bytes), "bytes");
    print("parts: largest", static_cast<double>(largest), "bytes");
    config::manifest description{{}, encoded.sections};
    description.changes.assign(
        config::listed_changes,
        {epoch(1'000'000), "publisher-name", "0123456789abcdef"});
    print("manifest", static_cast<double>(encode_manifest(description).size()),
          "bytes");
    config::bundle copy;
    print("decode",
          milliseconds_of(
              [&] { copy = decode_bundle(description, encoded.parts); }),
          "ms");
    print("missing_parts when none is missing",
          milliseconds_of([&] { missing_parts(description, encoded.parts); }),
          "ms");
    print("validate", milliseconds_of([&] { validate(content); }), "ms");
    measure_changes(content, encoded);
}

void measure_requests()
{
    const keys::keyring ring(test::sample_bundle());
    std::size_t found = 0;
    constexpr std::size_t n = 200'000;
    double spent = milliseconds_of(
        [&]
        {
            for (std::size_t i = 0; i < n; ++i)
                found += ring.find("key-a") == nullptr ? 0 : 1;
        });
    print("keyring: look-up", spent * 1e6 / n, "ns");
    lookup::lookup_snapshot snapshot;
    auto content = large_bundle(57'000, false);
    snapshot.blocks = std::make_shared<const lookup::block_table>(
        lookup::make_block_table(content));
    std::vector<lookup::live_instance> instances;
    for (std::size_t i = 0; i < 96 * region_count; ++i)
        instances.push_back({instance_id("entry-" + std::to_string(i)),
                             content.regions[i % region_count].id,
                             "127.0.0.1",
                             8'000,
                             false,
                             1,
                             {}});
    snapshot.instances = lookup::group_by_region(instances);
    snapshot.content = std::make_shared<const config::bundle>(content);
    constexpr std::size_t answers = 20'000;
    lookup::lookup_response response;
    spent = milliseconds_of(
        [&]
        {
            for (std::size_t i = 0; i < answers; ++i)
                response = lookup::answer_lookup(
                    snapshot, lookup::parse_lookup("client=16.0.0.1"));
        });
    print("lookup: parse and answer, 96 instances a region",
          spent * 1e6 / answers, "ns");
    spent = milliseconds_of(
        [&]
        {
            for (std::size_t i = 0; i < answers; ++i)
                found += lookup::to_json(response).size();
        });
    print("lookup: JSON of 10 instances", spent * 1e6 / answers, "ns");
    if (found == 0)
        std::cout << "nothing was found\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && std::string(argv[1]) == "requests")
    {
        measure_requests();
        return 0;
    }
    for (const std::size_t n : {5'700UL, 57'000UL, 570'000UL})
    {
        std::cout << n << " IPv4 blocks\n";
        const auto content = large_bundle(n, false);
        measure_look_ups(content, false);
        measure_parts(content);
        std::cout << n << " IPv6 blocks\n";
        measure_look_ups(large_bundle(n, true), true);
    }
    std::cout << "requests\n";
    measure_requests();
}
