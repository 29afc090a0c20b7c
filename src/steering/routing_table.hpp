#ifndef PARSLEYPLANK_STEERING_ROUTING_TABLE_HPP
#define PARSLEYPLANK_STEERING_ROUTING_TABLE_HPP

// Look-up structures over one traffic configuration: route by host and longest
// path prefix, customer by API key, service by id.

#include <parsleyplank/steering/traffic_config.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace parsleyplank::steering
{

struct routing_table
{
    std::shared_ptr<const traffic_config> config;
    // Routes of a host by falling length of the prefix.
    std::unordered_map<std::string, std::vector<const traffic_route*>> hosts;
    // Pointers into the configuration.
    std::unordered_map<std::string, const traffic_customer*> keys;
    std::unordered_map<service_id, const traffic_service*> services;
};

// Returns the table of a configuration. Throws config_error, which names the
// culprit, if a route refers to an unknown service, has no service of positive
// weight, a prefix without its slashes or no attempt; or if two customers share
// an API key.
routing_table make_routing_table(std::shared_ptr<const traffic_config> config);

// Returns the route of a request, or nullptr. A port in the host and a query in
// the target are ignored.
const traffic_route* find_route(const routing_table& table,
                                std::string_view host, std::string_view target);

// Returns the customer that holds the key, or nullptr.
const traffic_customer* find_customer(const routing_table& table,
                                      const std::string& api_key);

// Returns whether a request of this customer on this route may run in the
// region; the customer may be nullptr.
bool region_allowed(const traffic_route& route,
                    const traffic_customer* customer, const region_id& region);

} // namespace parsleyplank::steering

#endif
