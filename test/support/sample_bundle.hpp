#ifndef PARSLEYPLANK_TEST_SUPPORT_SAMPLE_BUNDLE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_SAMPLE_BUNDLE_HPP

// A small valid configuration, and many client blocks.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/core/hash.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyplank::test
{

// Returns a bundle of two regions, two customers with the keys "key-a" and
// "key-b", one upstream of two servers and two routes. Its only client block is
// 10.0.0.0/16 for region north.
inline config::bundle sample_bundle()
{
    config::bundle v;
    v.settings.name = "sample";
    v.settings.store_region = region_id("north");
    v.settings.default_region = region_id("south");
    for (const char* name : {"north", "south"})
        v.regions.push_back({region_id(name),
                             {failure_domain_id(std::string(name) + "-1")},
                             {}});
    v.regions[0].fallbacks = {region_id("south")};
    v.links = {{region_id("north"), region_id("south"), byte_rate(1e6)}};
    v.customers = {{customer_id("a"), token_rate(10), tokens(20), 1},
                   {customer_id("b"), token_rate(5), tokens(5), 2}};
    v.keys = {{sha256_hex("key-a"), customer_id("a")},
              {sha256_hex("key-b"), customer_id("b")}};
    v.client_blocks = {{"10.0.0.0/16", region_id("north")}};
    config::upstream up;
    up.id = upstream_id("desk");
    up.service = service_id("shop");
    for (const std::string name : {"north", "south"})
        up.servers.push_back(
            {backend_server_id("desk-" + name), region_id(name),
             failure_domain_id(name + "-1"), "127.0.0.1",
             static_cast<std::uint16_t>(9'000 + up.servers.size()),
             version_id("1"), false});
    v.upstreams = {up};
    config::route read;
    read.id = route_id("catalogue");
    read.service = up.service;
    read.upstream = up.id;
    read.path_prefix = "/catalogue";
    read.methods = {"GET"};
    read.execution = config::execution_mode::idempotent;
    config::route write = read;
    write.id = route_id("orders");
    write.path_prefix = "/orders";
    write.methods = {"POST"};
    write.execution = config::execution_mode::at_most_once;
    write.customers = {customer_id("a")};
    v.routes = {read, write};
    return v;
}

// Returns n adjacent /24 blocks from 16.0.0.0 on, given to regions north and
// south in turn by a fixed hash.
inline std::vector<config::client_block> sample_blocks(std::size_t n)
{
    constexpr std::size_t first = 16U << 16U;
    std::vector<config::client_block> blocks;
    for (std::size_t i = first; i < first + n; ++i)
    {
        auto prefix = std::to_string(i >> 16U) + "." +
                      std::to_string((i >> 8U) & 0xFFU) + "." +
                      std::to_string(i & 0xFFU) + ".0/24";
        const bool north = hash64(prefix) % 2 == 0;
        blocks.push_back(
            {std::move(prefix), region_id(north ? "north" : "south")});
    }
    return blocks;
}

} // namespace parsleyplank::test

#endif
