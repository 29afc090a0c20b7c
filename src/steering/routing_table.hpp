#ifndef PARSLEYPLANK_STEERING_ROUTING_TABLE_HPP
#define PARSLEYPLANK_STEERING_ROUTING_TABLE_HPP

// Lookup tables of one traffic configuration: routes by host and longest path
// prefix, customers by API key, and services by id.

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
    // Routes of each host, longest path prefix first.
    std::unordered_map<std::string, std::vector<const traffic_route*>> hosts;
    // Pointers into config: customers by API key and services by id.
    std::unordered_map<std::string, const traffic_customer*> keys;
    std::unordered_map<service_id, const traffic_service*> services;
};

// Returns the lookup tables of a configuration. Throws config_error, which
// names the faulty route or customers, if a route has no host, refers to an
// unknown service, has a service of negative weight or none of positive weight,
// has a prefix that does not begin and end with a slash, or allows no attempt;
// or if two customers share an API key.
routing_table make_routing_table(std::shared_ptr<const traffic_config> config);

// Returns the route of a request, or nullptr if none matches. Ignores a port in
// the host and a query in the target.
const traffic_route* find_route(const routing_table& table,
                                std::string_view host, std::string_view target);

// Returns the customer that owns the API key, or nullptr.
const traffic_customer* find_customer(const routing_table& table,
                                      const std::string& api_key);

// Returns whether a request of this customer on this route may run in the
// region. The customer may be nullptr.
bool region_allowed(const traffic_route& route,
                    const traffic_customer* customer, const region_id& region);

} // namespace parsleyplank::steering

#endif
