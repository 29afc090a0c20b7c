#ifndef PARSLEYPLANK_PLACEMENT_SERVER_CHOICE_HPP
#define PARSLEYPLANK_PLACEMENT_SERVER_CHOICE_HPP

// Chooses the backend server for a request: power of two choices over this
// instance's subset, on what the instance itself sees (in-flight requests and
// latency) and with less weight on the load that servers report, which lags and
// may mislead.

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

// Returns the servers that an instance uses, by rendezvous order. The count
// keeps within the instance's part of the upstream's connection budget (budget
// divided by instances, slots_per_server connections to each server), but is at
// least min(3, servers) so that a choice remains. The result does not depend on
// the order of the servers.
std::vector<backend_server_id>
choose_subset(const instance_id& self, const upstream_id& upstream,
              std::span<const backend_server_id> servers,
              std::uint32_t connection_budget, std::uint32_t instances,
              std::uint32_t slots_per_server);

struct choice_options
{
    std::uint32_t slots_per_server = 1;
    // A new server's share grows from a tenth to the whole over this time.
    std::chrono::seconds slow_start{30};
    // Weight of one sample in the latency average.
    double latency_weight = 0.2;
    // Time constant with which the latency of a server without samples returns
    // to the lowest of all, so that it is tried again.
    std::chrono::seconds latency_decay{10};
    // Factor on the cost of a server that reports full load.
    double reported_load_weight = 0.5;
    // Older reports are ignored.
    milliseconds max_report_age{5'000};
};

struct server_state
{
    std::uint32_t in_flight = 0;
    // Average over this instance's own requests; 0 before the first.
    double latency_ms = 0;
    time_point latency_at{};
    // Load as reported by the server, 0 to 1.
    double reported_load = 0;
    time_point reported_at{};
    // Start of the slow start.
    time_point slow_start_began{};
    bool leaving = false;
};

// The servers of one upstream that this instance uses.
struct server_pool
{
    choice_options options;
    std::unordered_map<backend_server_id, server_state> servers;
};

// Makes the pool hold exactly these servers; known ones keep their state. A new
// server starts its slow start now, except while the pool was empty.
void set_members(server_pool& pool, std::span<const backend_server_id> members,
                 time_point now);

// Marks a server as leaving: it gets no new work. Unknown ids are ignored.
void set_leaving(server_pool& pool, const backend_server_id& id, bool leaving);

// Restarts the slow start of a server, e.g. after an ejection or a new process.
void restart_slow_start(server_pool& pool, const backend_server_id& id,
                        time_point now);

// Returns the part of its full share that a server gets in slow start, 0.1
// to 1.
double slow_start_factor(const server_state& server,
                         const choice_options& options, time_point now);

// Returns the slots of a server that may be used now, at least 1.
std::uint32_t usable_slots(const server_state& server,
                           const choice_options& options, time_point now);

// Returns the chosen server and counts the request as in flight there, or
// nullptr if no server that is accepted and not leaving has a free slot.
// accepts tells whether a server may be used (ejection, version, health).
const backend_server_id*
choose_server(server_pool& pool,
              const std::function<bool(const backend_server_id&)>& accepts,
              time_point now, std::mt19937_64& rng);

// Ends a request. The latency counts only if the server itself ended it;
// pass a zero latency otherwise.
void finish_request(server_pool& pool, const backend_server_id& id,
                    std::chrono::microseconds latency, time_point now);

// Records the load that a server reports, 0 to 1; other values are clamped.
void record_report(server_pool& pool, const backend_server_id& id, double load,
                   time_point now);

} // namespace parsleyplank::placement

#endif
