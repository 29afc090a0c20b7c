#ifndef PARSLEYPLANK_CONFIG_MODEL_HPP
#define PARSLEYPLANK_CONFIG_MODEL_HPP

// The configuration in force: what operators describe in service files and the
// fleet file, collected into one bundle. Plain data; instances share it as
// std::shared_ptr<const bundle>.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyplank::config
{

// How often a request of a route may run.
enum class execution_mode
{
    idempotent,  // may be retried and hedged
    once,        // sent at most once; a repeat by the caller is a new request
    at_most_once // claimed by its idempotency key before it is sent
};

// What a keyed route does while this instance's state is not fresh.
enum class stale_policy
{
    refuse,
    serve
};

struct route
{
    route_id id;
    service_id service;
    upstream_id upstream;
    // Longest matching prefix wins, e.g. "/catalogue".
    std::string path_prefix;
    // Upper-case HTTP methods, e.g. {"GET"}.
    std::vector<std::string> methods;
    // Open routes need no API key.
    bool open = false;
    // Customers that may use the route; empty means all.
    std::vector<customer_id> customers;
    execution_mode execution = execution_mode::once;
    stale_policy when_stale = stale_policy::refuse;
    milliseconds deadline{5'000};
    std::uint64_t max_body_bytes = 65'536;
};

struct backend_server
{
    backend_server_id id;
    region_id region;
    failure_domain_id domain;
    // IP address.
    std::string address;
    std::uint16_t port = 0;
    version_id version;
    // A leaving backend server gets no new work.
    bool leaving = false;
};

struct upstream
{
    upstream_id id;
    service_id service;
    // Requests that one backend server runs at a time.
    std::uint32_t slots_per_server = 1;
    // Connections that the whole fleet may hold to this upstream.
    std::uint32_t connection_budget = 360;
    std::vector<backend_server> servers;
};

struct region
{
    region_id id;
    std::vector<failure_domain_id> domains;
    // Other regions in order of preference when this one is short.
    std::vector<region_id> fallbacks;
};

// A link between two regions; the rate holds for each direction.
struct link
{
    region_id a;
    region_id b;
    byte_rate capacity;
};

struct customer
{
    customer_id id;
    token_rate rate;
    tokens burst;
    // Relative share of slots when an upstream is short of them.
    double weight = 1;
};

struct api_key
{
    // SHA-256 of the key, 64 lower-case hexadecimal digits.
    std::string digest;
    customer_id customer;
};

// An IPv4 or IPv6 prefix, e.g. "10.1.0.0/16", and the region that serves it.
struct client_block
{
    std::string prefix;
    region_id region;
};

// A staged move of an upstream from one version to another.
struct rollout
{
    upstream_id upstream;
    version_id from;
    version_id to;
    // Time in which the whole move has to be done.
    std::chrono::seconds duration{600};
    // Share of traffic that an unjudged version may get.
    share_ppm first_share{10'000};
};

struct fleet
{
    std::string name;
    region_id store_region;
    milliseconds freshness_bound{3'000};
    milliseconds list_bound{30'000};
    milliseconds lookup_ttl{5'000};
    milliseconds borrow_wait{250};
    milliseconds claim_wait{2'000};
    std::chrono::seconds claim_retention{86'400};
    // Must not change while claims are kept.
    std::uint32_t claim_buckets = 16;
    // Claim writes per second of one instance.
    double claim_write_rate = 30;
    // Largest change of a region's weight per interval.
    share_ppm shift_cap{50'000};
    std::chrono::seconds shift_interval{10};
    // Where clients go whose block is not listed.
    region_id default_region;
};

struct bundle
{
    parsleyplank::epoch epoch;
    fleet settings;
    std::vector<region> regions;
    std::vector<link> links;
    std::vector<customer> customers;
    std::vector<api_key> keys;
    std::vector<client_block> client_blocks;
    std::vector<upstream> upstreams;
    std::vector<route> routes;
    std::vector<rollout> rollouts;
};

} // namespace parsleyplank::config

#endif
