#ifndef PARSLEYPLANK_EDGE_TRAFFIC_STATE_HPP
#define PARSLEYPLANK_EDGE_TRAFFIC_STATE_HPP

// State of the traffic thread that outlives a request: the snapshot, the load
// of servers, quotas and retry budgets.

#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/edge/adapter.hpp>
#include <parsleyplank/edge/admission_control.hpp>
#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/edge/snapshot.hpp>
#include <parsleyplank/edge/token_pool.hpp>
#include <parsleyplank/edge/usage_meter.hpp>
#include <parsleyplank/placement/retry_budget.hpp>
#include <parsleyplank/steering/region_shift.hpp>
#include <parsleyplank/steering/server_notice.hpp>
#include <parsleyplank/steering/server_ranking.hpp>

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyplank::edge
{

struct traffic_options
{
    steering::ranking_options ranking;
    steering::health_options health;
    steering::capacity_options capacity;
    steering::shift_options shift;
    // Part of the fleet's retry allowance that instances use. The rest is a
    // reserve for instances that know fewer members than there are.
    double retry_part_used = 0.8;
    // Time after which an unreachable server is tried again.
    milliseconds unreachable_pause{1'000};
    // Time after a request for which this instance claims a part of the limit
    // of a server that the request could have used.
    milliseconds claim_time{3'000};
    // Time after a response of a server for which this instance reports the
    // limit of the server, or its end, to the peers.
    milliseconds limit_report_time{8'000};
    // Time for which the notices of a server that is out of use are kept. It
    // may return as the same process, e.g. after an evacuation.
    milliseconds notice_retention{120'000};
};

// State of a smooth weighted round-robin: in any run of requests each service
// gets requests in proportion to its weight.
struct split_state
{
    std::map<service_id, double> credit;
};

struct traffic_state
{
    settings config;
    traffic_options options;
    snapshot_ptr snapshot = std::make_shared<const steering_snapshot>();
    std::unordered_map<backend_server_id, steering::server_load> loads;
    // What servers have asked for in their responses.
    std::unordered_map<backend_server_id, steering::notice_state> notices;
    std::map<std::pair<service_id, region_id>, steering::region_load>
        region_loads;
    std::map<std::pair<route_id, service_id>, steering::service_times> times;
    // What the servers of a service have in common.
    std::unordered_map<service_id, steering::service_capacity> capacities;
    token_pool_state tokens;
    std::unordered_map<service_id, placement::retry_budget> retries;
    std::unordered_map<route_id, split_state> splits;
    // Accumulated fraction of a request that is due to the target version.
    std::unordered_map<service_id, double> target_credit;
    tally_table tallies;
    usage_meter usage;
    // Set when the first request is placed that could be served in this region
    // or in another.
    std::optional<steering::region_shift> shift;
    // Surplus of the regions per service; computed when a snapshot is adopted.
    std::unordered_map<service_id, std::vector<steering::region_surplus>>
        surplus;
    admission_state admission;
    std::mt19937_64 rng;
    std::uint64_t next_call = 1;
};

// Returns the servers of the service that may get new requests.
const std::vector<steering::server_ptr>& servers_of(const traffic_state& state,
                                                    const service_id& service);

// Replaces the snapshot and the division of the customers' rates, and forgets
// the load of removed servers.
void adopt_snapshot(traffic_state& state, snapshot_ptr next, time_point now);

// Returns the service that the next request of the route goes to.
const service_id& next_service(traffic_state& state,
                               const steering::traffic_route& route);

// Records the load that a server has reported with a response.
void take_report(traffic_state& state, const steering::backend_server& server,
                 const steering::reported_load& report, time_point now);

// Counts the first send of a request to the service, which adds to the retry
// budget.
void count_send(traffic_state& state, const service_id& service);

// Takes one retry from the budget of the service. Returns whether the budget
// allows it.
bool take_retry_budget(traffic_state& state, const service_id& service);

// Returns the service times of a route on a service.
steering::service_times& times_of(traffic_state& state,
                                  const steering::traffic_route& route,
                                  const service_id& service);

// Counts the result of a request if the versions of its service are compared.
void count_result(traffic_state& state, const steering::backend_server& server,
                  bool failed, bool slow);

// Returns the counts for the control thread.
traffic_report make_report(traffic_state& state, time_point now);

} // namespace parsleyplank::edge

#endif
