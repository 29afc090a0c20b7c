#ifndef PARSLEYPLANK_EDGE_ADMISSION_CONTROL_HPP
#define PARSLEYPLANK_EDGE_ADMISSION_CONTROL_HPP

// Admission to services that lack room: which requests are admitted by their
// rank, what peers are told of it, and when refused callers may return.

#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/steering/admission.hpp>
#include <parsleyplank/steering/return_schedule.hpp>
#include <parsleyplank/steering/wait_decision.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyplank::edge
{

struct traffic_state;

struct admission_state
{
    steering::admission_options options;
    steering::return_options return_options;
    steering::wait_options wait_options;
    // Configuration that the ranks are those of.
    std::shared_ptr<const steering::routing_table> routing;
    // Services whose requests differ in rank.
    std::unordered_map<service_id, steering::service_admission> services;
    std::unordered_map<service_id, steering::return_schedule> returns;
    std::unordered_map<service_id, steering::wait_correction> waits;
    std::unordered_map<route_id, steering::usual_limit> limits;
};

// Properties of a request that its admission depends on.
struct admission_request
{
    const steering::traffic_route& route;
    const steering::traffic_customer* customer = nullptr;
    const service_id& service;
    std::string_view object;
    // Time that the caller has left.
    milliseconds time_left{0};
};

// Returns whether requests of the service differ in rank.
bool has_ranks(const traffic_state& state, const service_id& service);

// Returns whether requests of the route and customer have the first of the
// ranks of the service.
bool is_most_urgent(const traffic_state& state, const service_id& service,
                    const steering::traffic_route& route,
                    const steering::traffic_customer* customer);

// Derives the ranks of the services from the configuration, if it has changed.
void adopt_ranks(traffic_state& state);

// Returns the rank of the request.
steering::request_rank rank_of(const steering::traffic_route& route,
                               const steering::traffic_customer* customer);

// Counts the request and returns the level that refuses it; nullopt if it is
// admitted. `unix_ms` is the wall time, which instances need to agree on to
// within seconds only.
std::optional<steering::admission_level>
refuse_by_rank(traffic_state& state, const admission_request& request,
               std::int64_t unix_ms, time_point now);

// Counts an admitted request that was placed, and one that found no room or has
// to wait beyond its latency objective.
void note_placed(traffic_state& state, const service_id& service);
void note_unmet(traffic_state& state, const service_id& service,
                time_point now);

// Records how long a request took that was expected to wait.
void note_wait(traffic_state& state, const service_id& service,
               const steering::ranked_server& chosen,
               std::chrono::microseconds latency);

// Returns when the caller, which is refused for lack of room, may return;
// nullopt if no level of the service is in force. A queue at one server is
// short then, and the caller may return soon.
std::optional<steering::return_time>
choose_return(traffic_state& state, const admission_request& request,
              milliseconds min_wait, time_point now);

// Ends the steps that are due, and adds levels and their changes to the report.
void report_admission(traffic_state& state, traffic_report& report,
                      time_point now);

// Returns the entries of a digest.
std::vector<admission_report>
make_admission_reports(const std::vector<known_admission>& known);

// Adds what the responsive peers of the region report to a snapshot.
void add_admission(steering_snapshot& snapshot, const fleet_view& fleet,
                   const region_id& region, const fleet_options& options,
                   time_point now);

} // namespace parsleyplank::edge

#endif
