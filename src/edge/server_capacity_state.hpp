#ifndef PARSLEYPLANK_EDGE_SERVER_CAPACITY_STATE_HPP
#define PARSLEYPLANK_EDGE_SERVER_CAPACITY_STATE_HPP

// Applies what is learned of the capacity of servers to the choice of a server,
// and learns from responses.

#include <parsleyplank/edge/traffic_state.hpp>

#include <optional>

namespace parsleyplank::edge
{

// A response with a success.
struct served_request
{
    const steering::backend_server& server;
    const steering::ranked_server& rank;
    const steering::traffic_route& route;
    // Hash of its object.
    std::uint64_t object = 0;
    std::optional<steering::reported_load> report;
    std::chrono::microseconds latency{0};
    // Whether the server was in its warm-up time.
    bool cold = false;
};

// A change of the limit of a server by at least one request.
struct limit_change
{
    double before = 0;
    double after = 0;
    // Time of the response that changed it, relative to an unloaded server.
    double time_ratio = 0;
};

struct learned_response
{
    std::optional<limit_change> change;
    // Latency that the request would have had at the typical pace of the
    // server's machine.
    std::chrono::microseconds latency{0};
    // Whether the server was known to keep the object warm.
    bool known_warm = false;
};

// Sets the limit and the pace of a candidate.
void add_capacity(const traffic_state& state, steering::candidate& server,
                  time_point now);

// Returns the number of requests that the server takes well at a time.
double limit_of(const traffic_state& state,
                const steering::backend_server& server, time_point now);

// Returns the time for which servers of the service keep an object.
milliseconds retention_of(const traffic_state& state,
                          const service_id& service);

// Updates capacity, retention and service times with a response.
learned_response learn_from_response(traffic_state& state,
                                     const served_request& served,
                                     time_point now);

} // namespace parsleyplank::edge

#endif
