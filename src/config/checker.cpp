#include <parsleyplank/config/checker.hpp>
#include <parsleyplank/config/ip_prefix.hpp>
#include <parsleyplank/core/error.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace parsleyplank::config
{

namespace
{

// Path that the entry instances answer themselves.
constexpr std::string_view reserved_path = "/v1/lookup";

constexpr std::array<std::string_view, 7> known_methods{
    "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"};
constexpr std::array<std::string_view, 4> writing_methods{"POST", "PUT",
                                                          "PATCH", "DELETE"};

// Bodies are held whole in memory.
constexpr std::uint64_t max_body_limit = 100'000'000;

void check_server(checker& to, const upstream& up, const backend_server& v)
{
    const auto item =
        item_name("backend server", up.id.value + "/" + v.id.value);
    to.need_region(v.region, item, "region");
    const auto it = to.regions.find(v.region);
    if (it != to.regions.end())
        to.need(has(it->second->domains, v.domain), item,
                "failure_domain " + quoted(v.domain.value) +
                    " is not one of region " + quoted(v.region.value) +
                    "; add it there or correct the name");
    to.need(v.port != 0, item, "port must be from 1 to 65535");
    to.need(!v.version.value.empty(), item,
            "version is empty; name the version that it runs");
    try
    {
        parse_address(v.address);
    }
    catch (const config_error& ec)
    {
        to.need(false, item, ec.what());
    }
}

void check_upstreams(checker& to)
{
    to.need_unique(
        to.content.upstreams, [](const upstream& v) { return v.id.value; },
        "upstream");
    std::map<std::string, std::string> holders;
    for (const upstream& v : to.content.upstreams)
    {
        const auto item = item_name("upstream", v.id.value);
        to.need(v.slots_per_server > 0, item,
                "slots_per_server must be above 0");
        to.need(v.connection_budget > 0, item,
                "connection_budget must be above 0");
        to.need(!v.servers.empty(), item,
                "has no backend server; add an [[upstream.server]] table");
        to.need_unique(
            v.servers,
            [&](const backend_server& server)
            { return v.id.value + "/" + server.id.value; },
            "backend server");
        for (const backend_server& server : v.servers)
        {
            check_server(to, v, server);
            const auto name = v.id.value + "/" + server.id.value;
            const auto place =
                server.address + " port " + std::to_string(server.port);
            const auto [it, added] = holders.emplace(place, name);
            to.need(added, item_name("backend server", name),
                    "has the same address as backend server " +
                        quoted(it->second) + ", " + place +
                        "; correct one of them");
        }
    }
}

void check_methods(checker& to, const route& v, const std::string& item)
{
    to.need(!v.methods.empty(), item,
            "has no method; add e.g. methods = [\"GET\"]");
    for (const std::string& name : v.methods)
        to.need(has(known_methods, name), item,
                "method " + quoted(name) +
                    " is unknown; use GET, HEAD, OPTIONS, POST, PUT, PATCH or "
                    "DELETE");
    const bool writes =
        std::ranges::any_of(v.methods, [](const std::string& name)
                            { return has(writing_methods, name); });
    to.need(v.execution != execution_mode::at_most_once || v.methods.empty() ||
                writes,
            item,
            "runs at most once but has no POST, PUT, PATCH or DELETE; add one "
            "or set execution = \"idempotent\"");
}

void check_path(checker& to, const route& v, const std::string& item)
{
    const std::string& path = v.path_prefix;
    const bool plain = path.starts_with('/') &&
                       path.find_first_of("?# \t") == std::string::npos &&
                       path.find("//") == std::string::npos;
    to.need(plain && (path == "/" || !path.ends_with('/')), item,
            "path_prefix " + quoted(path) +
                " must begin with \"/\", must not end with it, and holds no "
                "blank, \"?\", \"#\" or \"//\"");
    to.need(path != reserved_path &&
                !path.starts_with(std::string(reserved_path) + "/"),
            item,
            "path_prefix " + quoted(path) +
                " is reserved for lookups; choose another");
}

void check_route(checker& to, const route& v)
{
    const auto item = item_name("route", v.id.value);
    to.need(!v.upstream.value.empty(), item,
            "has no upstream; add upstream = \"...\"");
    to.need(v.upstream.value.empty() || to.upstreams.contains(v.upstream), item,
            "upstream " + quoted(v.upstream.value) +
                " is in no service file; add it or correct the name");
    check_path(to, v, item);
    check_methods(to, v, item);
    for (const customer_id& id : v.customers)
        to.need_customer(id, item);
    to.need(!v.open || v.customers.empty(), item,
            "is open, so anyone may use it; remove customers or open = true");
    to.need(!v.open || v.execution != execution_mode::at_most_once, item,
            "is open and runs at most once, but idempotency keys belong to a "
            "customer; remove open = true");
    to.need(v.deadline.count() > 0, item, "deadline_ms must be above 0");
    to.need(v.max_body_bytes <= max_body_limit, item,
            "max_body_bytes must be at most " + std::to_string(max_body_limit));
}

void check_routes(checker& to)
{
    to.need_unique(
        to.content.routes, [](const route& v) { return v.id.value; }, "route");
    std::map<std::pair<std::string, std::string>, std::string> holders;
    for (const route& v : to.content.routes)
    {
        check_route(to, v);
        for (const std::string& method : v.methods)
        {
            const auto [it, added] =
                holders.emplace(std::pair(v.path_prefix, method), v.id.value);
            to.need(added, item_name("route", v.id.value),
                    "has the same path_prefix and method as route " +
                        quoted(it->second) + ", " + method + " " +
                        v.path_prefix + "; correct one of them");
        }
    }
}

void check_rollouts(checker& to)
{
    to.need_unique(
        to.content.rollouts, [](const rollout& v) { return v.upstream.value; },
        "rollout");
    for (const rollout& v : to.content.rollouts)
    {
        const auto item = item_name("rollout", v.upstream.value);
        const auto it = to.upstreams.find(v.upstream);
        to.need(it != to.upstreams.end(), item,
                "upstream " + quoted(v.upstream.value) +
                    " is in no service file; add it or correct the name");
        to.need(v.from != v.to, item,
                "goes from version " + quoted(v.from.value) +
                    " to the same; correct from or to");
        to.need(v.duration.count() > 0, item, "duration_s must be above 0");
        to.need(v.first_share.value > 0 && v.first_share.value <= ppm_total,
                item, "first_share_percent must be above 0 and at most 100");
        if (it == to.upstreams.end())
            continue;
        for (const version_id& version : {v.from, v.to})
            to.need(std::ranges::any_of(it->second->servers,
                                        [&](const backend_server& server)
                                        { return server.version == version; }),
                    item,
                    "no backend server runs version " + quoted(version.value) +
                        "; start and list them first");
    }
}

} // namespace

void check_services(checker& to)
{
    check_upstreams(to);
    check_routes(to);
    check_rollouts(to);
}

} // namespace parsleyplank::config
