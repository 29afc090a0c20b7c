#ifndef PARSLEYPLANK_EDGE_SERVER_PLACEMENT_HPP
#define PARSLEYPLANK_EDGE_SERVER_PLACEMENT_HPP

// Chooses the backend server of a request, or refuses the request if none can
// serve it in time.

#include <parsleyplank/edge/traffic_state.hpp>

#include <optional>
#include <span>
#include <string>

namespace parsleyplank::edge
{

// Properties of a request that the choice of a server depends on.
struct placement_request
{
    const steering::traffic_route& route;
    const steering::traffic_customer* customer = nullptr;
    service_id service;
    std::string affinity_key;
    // Servers that this request has already been sent to.
    std::span<const backend_server_id> tried;
    // Time left of the latency objective.
    milliseconds time_left{0};
    // Time that the caller has left.
    milliseconds caller_time_left{0};
};

struct server_placement
{
    steering::server_ptr server;
    steering::ranked_server rank;
    bool cold = false;
};

struct placement_decision
{
    // Null if no server may be used or the request would wait beyond its
    // latency objective.
    std::optional<server_placement> placed;
    // Ranking of the best server, also if the request is refused.
    steering::ranked_server rank;
    // Reason for the refusal if there is no server.
    refusal_reason reason = refusal_reason::no_capacity;
    // Time until a server takes requests again, if all servers that the request
    // may use want none for now and it is known until when.
    std::optional<milliseconds> retry_after;
};

// Chooses the server of the request. A request that would wait for a slot until
// its latency objective has passed would delay the requests behind it as well,
// so it gets a free slot of this region or is refused.
placement_decision place_request(traffic_state& state,
                                 const placement_request& request,
                                 time_point now);

// Takes a token from the budgets of a server that is cold or has named a limit,
// before the request is sent.
void confirm_placement(traffic_state& state, const server_placement& placed,
                       time_point now);

} // namespace parsleyplank::edge

#endif
