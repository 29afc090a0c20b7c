#include <parsleyplank/core/error.hpp>
#include <parsleyplank/steering/routing_table.hpp>

#include <algorithm>

namespace parsleyplank::steering
{

namespace
{

void check_route(const traffic_route& route, const routing_table& table)
{
    const auto fail = [&](const std::string& text)
    {
        throw config_error("route " + route.id.value + ": " + text);
    };
    if (route.host.empty())
        fail("no host");
    if (!route.path_prefix.starts_with('/') ||
        !route.path_prefix.ends_with('/'))
        fail("prefix '" + route.path_prefix +
             "' does not begin and end with a slash");
    if (route.max_attempts == 0)
        fail("no attempt is allowed");
    if (route.services.empty())
        fail("no service");
    std::ranges::for_each(
        route.services,
        [&](const weighted_service& it)
        {
            if (!table.services.contains(it.service))
                fail("unknown service '" + it.service.value + "'");
            if (it.weight < 0)
                fail("negative weight of " + it.service.value);
        });
    if (std::ranges::none_of(route.services, [](const weighted_service& it)
                             { return it.weight > 0; }))
        fail("no service of positive weight");
}

// Returns the host without its port.
std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

bool contains(const std::vector<region_id>& regions, const region_id& region)
{
    return regions.empty() ||
           std::ranges::find(regions, region) != regions.end();
}

} // namespace

routing_table make_routing_table(std::shared_ptr<const traffic_config> config)
{
    routing_table table;
    table.config = std::move(config);
    for (const auto& it : table.config->services)
        table.services.emplace(it.id, &it);
    for (const auto& it : table.config->routes)
    {
        check_route(it, table);
        table.hosts[it.host].push_back(&it);
    }
    for (auto& [host, routes] : table.hosts)
        std::ranges::stable_sort(routes, std::ranges::greater{},
                                 [](const traffic_route* it)
                                 { return it->path_prefix.size(); });
    for (const auto& it : table.config->customers)
        for (const auto& key : it.api_keys)
            if (const auto [at, added] = table.keys.emplace(key, &it);
                !added && at->second != &it)
                throw config_error("customers " + at->second->id.value +
                                   " and " + it.id.value + " share an API key");
    return table;
}

const traffic_route* find_route(const routing_table& table,
                                std::string_view host, std::string_view target)
{
    const auto found = table.hosts.find(std::string(without_port(host)));
    if (found == table.hosts.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    const auto it =
        std::ranges::find_if(found->second, [&](const traffic_route* route)
                             { return path.starts_with(route->path_prefix); });
    return it == found->second.end() ? nullptr : *it;
}

const traffic_customer* find_customer(const routing_table& table,
                                      const std::string& api_key)
{
    const auto it = table.keys.find(api_key);
    return it == table.keys.end() ? nullptr : it->second;
}

bool region_allowed(const traffic_route& route,
                    const traffic_customer* customer, const region_id& region)
{
    return contains(route.allowed_regions, region) &&
           (customer == nullptr || contains(customer->allowed_regions, region));
}

} // namespace parsleyplank::steering
