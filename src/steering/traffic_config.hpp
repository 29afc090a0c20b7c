#ifndef PARSLEYPLANK_STEERING_TRAFFIC_CONFIG_HPP
#define PARSLEYPLANK_STEERING_TRAFFIC_CONFIG_HPP

// One version of the traffic configuration: routes, services and customers as
// the operator wrote them. Plain data that threads share as
// std::shared_ptr<const traffic_config>.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyplank::steering
{

// Priority of a route or customer; 0 is served first.
using priority_rank = std::uint32_t;

// Whether a request may be sent to a backend server more than once.
enum class repeat_rule
{
    idempotent,  // may run any number of times
    at_most_once // must not be sent again unless it certainly did not run
};

struct weighted_service
{
    service_id service;
    // Relative share of the route's requests.
    double weight = 1;
};

struct traffic_route
{
    route_id id;
    // Value of the Host header without a port.
    std::string host;
    // Begins and ends with a slash; the longest match wins.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::at_most_once;
    // Whether large request or response bodies are expected.
    bool large_body = false;
    std::vector<weighted_service> services;
    // Maximum time that a caller waits for the response.
    milliseconds timeout{10'000};
    // Latency objective of a response.
    milliseconds target_latency{1'000};
    // Maximum number of backend servers that one request is sent to.
    std::uint32_t max_attempts = 1;
    priority_rank priority = 0;
    // Whether the route can be used without an API key.
    bool open = false;
    // Whether requests with the same affinity key should go to the same
    // servers.
    bool affinity = false;
    // Regions that may run the request; empty allows all.
    std::vector<region_id> allowed_regions;
};

struct traffic_service
{
    service_id id;
    // Path of the health check.
    std::string health_path;
    // Maximum number of connections to one backend server from all callers.
    std::uint32_t max_connections = 100;
    // Time for which a newly started server is cold.
    milliseconds warmup{0};
    // Requests per second that a cold server accepts from the whole fleet.
    double warmup_rate = 0;
};

struct traffic_customer
{
    customer_id id;
    std::vector<std::string> api_keys;
    priority_rank priority = 0;
    // Fleet-wide limit; a rate of 0 means no limit.
    token_rate rate;
    tokens burst;
    // Regions that may run the customer's requests; empty allows all.
    std::vector<region_id> allowed_regions;
};

struct caller_limits
{
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 67'108'864;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

struct traffic_config
{
    epoch version;
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    std::vector<traffic_customer> customers;
    // False if no customer is configured: requests then need no API key.
    bool keys_required = false;
    caller_limits limits;
    // One message for each value in the record that the decoder does not know,
    // which says how the value is treated. The rest of the record applies.
    std::vector<std::string> unknown_values;
};

} // namespace parsleyplank::steering

#endif
