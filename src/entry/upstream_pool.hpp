#ifndef PARSLEYPLANK_ENTRY_UPSTREAM_POOL_HPP
#define PARSLEYPLANK_ENTRY_UPSTREAM_POOL_HPP

// The backend servers of all upstreams as this instance uses them: which it
// has in its subsets, what runs on them, and the weights of the regions.

#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/entry/slot_agent.hpp>
#include <parsleyplank/placement/ejection.hpp>
#include <parsleyplank/placement/fair_queue.hpp>
#include <parsleyplank/placement/region_choice.hpp>
#include <parsleyplank/placement/retry_budget.hpp>
#include <parsleyplank/placement/server_choice.hpp>
#include <parsleyplank/placement/shift.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace parsleyplank::entry
{

struct region_servers
{
    placement::server_pool pool;
    placement::ejection_table health;
    // Slots of one server, and of all servers in the region.
    std::uint32_t slots_per_server = 1;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    std::map<backend_server_id, version_id> versions;
};

struct upstream_state
{
    std::map<region_id, region_servers> regions;
    placement::retry_budget retries;
    placement::fair_queue queue;
    placement::shift_state shift;
    // Average of requests in flight and queued, as demand for the weights.
    double demand = 0;
};

struct upstream_pool
{
    std::shared_ptr<const config::bundle> content;
    std::map<upstream_id, upstream_state> upstreams;
    // This instance's share of the link to each other region, in bytes.
    std::map<region_id, quota::token_bucket> links;
    slot_agent slots;
    // Part of the fleet's capacity that this instance may use.
    share_ppm share;
    // Live instances, among which connection budgets are divided.
    std::uint32_t instances = 1;
    // Those of them in this instance's region, itself included.
    std::uint32_t local_instances = 1;
};

struct placed_server
{
    region_id region;
    config::backend_server server;
    quota::slot_ticket slot;
};

struct place_request
{
    upstream_id upstream;
    time_point deadline;
    // Bytes that the request and its response are expected to move.
    double expected_bytes = 0;
    // Servers that were tried already.
    const std::set<backend_server_id>* tried = nullptr;
    // Null if servers of any version will do.
    const version_id* version = nullptr;
};

struct place_result
{
    std::optional<placed_server> where;
    // Set if there is no place.
    refusal_reason refusal = refusal_reason::no_capacity;
};

// Takes over the upstreams of a configuration. Known servers keep their state;
// one that the configuration marks as leaving gets no new work.
void configure(upstream_pool& pool, node_context& context,
               std::shared_ptr<const config::bundle> content);

// Sets this instance's share of all capacities and the numbers of instances.
void set_share(upstream_pool& pool, node_context& context, share_ppm share,
               std::uint32_t instances, std::uint32_t local_instances);

// Moves the region weights on. Call each second.
void step_weights(upstream_pool& pool, node_context& context);

// Chooses region and server and counts the request as in flight there.
place_result place(upstream_pool& pool, node_context& context,
                   const place_request& request);

// Tells whether a region that has weight has a free slot.
bool has_room(const upstream_pool& pool, node_context& context,
              const upstream_id& upstream);

enum class server_result
{
    success,
    failure,
    neutral // says nothing about the server, e.g. the caller left
};

// Ends a request at the place where it ran.
void release(upstream_pool& pool, node_context& context,
             const upstream_id& upstream, const placed_server& place,
             server_result result, std::chrono::microseconds latency);

// Tells whether a server is past its slow start.
bool warm(const upstream_pool& pool, node_context& context,
          const upstream_id& upstream, const placed_server& place);

// Returns the requests in flight of all upstreams.
std::uint32_t in_flight(const upstream_pool& pool);

} // namespace parsleyplank::entry

#endif
