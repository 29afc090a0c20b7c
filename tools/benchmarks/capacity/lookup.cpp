// Look-ups of callers at 570,000 blocks in 24 regions.

#include "measure.hpp"
#include "support/sample_bundle.hpp"
#include <parsleyplank/lookup/lookup.hpp>

#include <random>

namespace parsleyplank::capacity
{

namespace
{

constexpr std::size_t region_count = 24;

std::string address_text(std::uint64_t block)
{
    return to_string(config::ip_address{false, 0, (block << 8U) + 1});
}

void measure(std::size_t blocks, std::size_t instances)
{
    auto content = test::sample_bundle();
    for (std::size_t i = content.regions.size(); i < region_count; ++i)
        content.regions.push_back({region_id("region-" + std::to_string(i)),
                                   {failure_domain_id("a")},
                                   {}});
    std::vector<lookup::block> list;
    std::vector<std::string> queries;
    queries.reserve(4'096);
    std::mt19937_64 random(1);
    for (std::size_t i = 0; i < blocks; ++i)
    {
        const std::uint64_t at = 2 * i + (16U << 16U);
        list.push_back(
            {config::parse_prefix(
                 to_string(config::ip_address{false, 0, at << 8U}) + "/24"),
             static_cast<lookup::region_index>(random() % region_count)});
    }
    lookup::lookup_snapshot snapshot;
    const double begin = cpu_us();
    snapshot.blocks =
        std::make_shared<const lookup::block_table>(std::move(list));
    const double building = cpu_us() - begin;
    const double before = heap_bytes();
    std::vector<lookup::live_instance> live;
    for (std::size_t i = 0; i < instances * region_count; ++i)
        live.push_back({instance_name(i), content.regions[i % region_count].id,
                        "10.0.0.1", 8'000});
    snapshot.instances = lookup::group_by_region(live);
    live = {};
    const double memory = heap_bytes() - before;
    snapshot.content = std::make_shared<const config::bundle>(content);
    for (int i = 0; i < 4'096; ++i)
        queries.push_back("client=" +
                          address_text(2 * (random() % blocks) + (16U << 16U)));
    std::vector<config::ip_address> addresses;
    addresses.reserve(65'536);
    for (int i = 0; i < 65'536; ++i)
        addresses.push_back(
            {false, 0, ((2 * (random() % blocks) + (16U << 16U)) << 8U) + 1});
    const double finding = cpu_us_of(
        [&](std::size_t i)
        { keep(snapshot.blocks->find(addresses[i % addresses.size()])); });
    const double copying = cpu_us_of(
        [&](std::size_t)
        {
            const lookup::block_table copy = *snapshot.blocks;
            keep(copy);
        });
    const auto answer = [&](std::size_t i)
    {
        return lookup::to_json(lookup::answer_lookup(
            snapshot, lookup::parse_lookup(queries[i % queries.size()])));
    };
    const double answering = cpu_us_of([&](std::size_t i) { keep(answer(i)); });
    std::printf("%8zu %9zu %8.3f %9.2f %7zu %9.2f %11.2f %10.0f "
                "%8.0f\n",
                blocks, instances, finding, answering, answer(0).size(),
                static_cast<double>(snapshot.blocks->memory_bytes()) / 1e6,
                memory / 1e6, building, copying);
}

} // namespace

void measure_lookup()
{
    std::printf("look-up: CPU us of the table, and of parsing, ranking and "
                "JSON; no HTTP\n");
    std::printf("  blocks inst/regn  find_us answer_us  JSON_B  table_MB "
                "instance_MB   build_us  copy_us\n");
    for (const std::size_t instances : {4, 32, 96})
        measure(570'000, instances);
    measure(57'000, 32);
    measure(5'700, 32);
}

} // namespace parsleyplank::capacity
