#ifndef PARSLEYPLANK_PLACEMENT_SERVER_CHOICE_HPP
#define PARSLEYPLANK_PLACEMENT_SERVER_CHOICE_HPP

// Chooses the backend server for a request by power of two choices over this
// instance's subset. The cost of a server is computed from the in-flight
// requests and the latency that the instance measures itself. The load that
// servers report has less weight, since it lags and can be wrong.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace parsleyplank::placement
{

// Returns the servers that an instance uses, the first ones in rendezvous
// order. Their number stays within the instance's part of the upstream's
// connection budget (budget divided by instances, with slots_per_server
// connections to each server), but is at least min(3, servers) so that there is
// a choice. The result does not depend on the order of the servers.
std::vector<backend_server_id>
choose_subset(const instance_id& self, const upstream_id& upstream,
              std::span<const backend_server_id> servers,
              std::uint32_t connection_budget, std::uint32_t instances,
              std::uint32_t slots_per_server);

struct choice_options
{
    // Requests that one server may serve for this instance at a time.
    std::uint32_t slots_per_server = 1;
    // Duration over which the weight of a new server grows from a tenth to its
    // full value.
    std::chrono::seconds slow_start{30};
    // Weight of a new sample in the moving average of the latency, 0 to 1.
    double latency_weight = 0.2;
    // Time constant with which the expected latency of a server without new
    // samples approaches the lowest latency of the pool. Without this decay a
    // server that was slow once would never be tried again.
    std::chrono::seconds latency_decay{10};
    // Relative increase of the cost of a server that reports full load.
    double reported_load_weight = 0.5;
    // Reports older than this are ignored.
    milliseconds max_report_age{5'000};
};

// Load and latency of one server as this instance knows them.
struct server_state
{
    std::uint32_t in_flight = 0;
    // Moving average over this instance's requests; 0 before the first sample.
    double latency_ms = 0;
    // Time of the last latency sample.
    time_point latency_at{};
    // Load as reported by the server, 0 to 1.
    double reported_load = 0;
    time_point reported_at{};
    time_point slow_start_began{};
    // Whether the server is being removed and gets no new requests.
    bool leaving = false;
};

// The servers of one upstream that this instance uses.
struct server_pool
{
    choice_options options;
    std::unordered_map<backend_server_id, server_state> servers;
};

// Replaces the servers of the pool by the given ones. Servers that remain keep
// their state. The slow start of new servers begins now, unless the pool was
// empty: then they get their full weight at once.
void set_members(server_pool& pool, std::span<const backend_server_id> members,
                 time_point now);

// Sets whether a server is leaving and gets no new requests. Ignores unknown
// ids.
void set_leaving(server_pool& pool, const backend_server_id& id, bool leaving);

// Restarts the slow start of a server and drops its latency, e.g. after an
// ejection or a restart of its process.
void restart_slow_start(server_pool& pool, const backend_server_id& id,
                        time_point now);

// Returns the factor on the weight and the slots of a server, 0.1 to 1. It is
// below 1 only during slow start.
double slow_start_factor(const server_state& server,
                         const choice_options& options, time_point now);

// Returns the number of a server's slots that may be used now, at least 1.
std::uint32_t usable_slots(const server_state& server,
                           const choice_options& options, time_point now);

// Chooses a server and counts the request as in flight there. Returns nullptr
// if no server that accepts() allows and that is not leaving has a free slot.
// accepts() returns whether a server may be used (ejection, version, health).
const backend_server_id*
choose_server(server_pool& pool,
              const std::function<bool(const backend_server_id&)>& accepts,
              time_point now, std::mt19937_64& rng);

// Records the end of a request. Pass the latency only if the server itself
// ended the request, otherwise 0, which adds no sample.
void finish_request(server_pool& pool, const backend_server_id& id,
                    std::chrono::microseconds latency, time_point now);

// Records the load that a server reports. Values outside 0 to 1 are clamped;
// NaN and unknown ids are ignored.
void record_report(server_pool& pool, const backend_server_id& id, double load,
                   time_point now);

} // namespace parsleyplank::placement

#endif
