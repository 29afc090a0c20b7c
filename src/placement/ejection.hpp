#ifndef PARSLEYPLANK_PLACEMENT_EJECTION_HPP
#define PARSLEYPLANK_PLACEMENT_EJECTION_HPP

// Passive outlier ejection: a backend server that fails this instance's
// requests gets no requests for a limited time. A health endpoint can report a
// failing server as healthy and a working server as unhealthy, so its result is
// used only while this instance has no recent results of its own.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>

namespace parsleyplank::placement
{

struct ejection_options
{
    // Consecutive failures that eject a server.
    std::uint32_t failure_threshold = 5;
    // Duration of the first ejection. Doubles with each further one, up to
    // max_ejection_time.
    milliseconds base_ejection_time{2'000};
    milliseconds max_ejection_time{60'000};
    // Maximum age of the last own result. After that the health endpoint
    // decides.
    milliseconds max_observation_age{10'000};
};

// Health of one server as this instance knows it.
struct server_health
{
    std::uint32_t consecutive_failures = 0;
    // Ejections since the last success outside an ejection.
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    // Time of the last own result; valid if observed is set.
    time_point observed_at{};
    bool observed = false;
    // Last result of the health endpoint; true before the first one.
    bool reported_healthy = true;
};

// The servers of one upstream that this instance uses.
struct ejection_table
{
    ejection_options options;
    std::unordered_map<backend_server_id, server_health> servers;
};

// Replaces the servers of the table by the given ones. Servers that remain keep
// their state.
void set_members(ejection_table& table,
                 std::span<const backend_server_id> members);

// Records the result of one of this instance's requests. Ejects the server
// after failure_threshold consecutive failures, or after a single failure if it
// has had no success since its last ejection, unless half the servers (rounded
// down) are already ejected. Returns whether this call ejected the server.
// Ignores unknown ids.
bool record_result(ejection_table& table, const backend_server_id& id,
                   bool success, time_point now);

// Records the result of a health check. Ignores unknown ids.
void record_health(ejection_table& table, const backend_server_id& id,
                   bool healthy);

// Returns whether the server may be used: it is not ejected, and its health
// endpoint does not report it unhealthy while there are no recent own results.
// Reported health is ignored if it would leave fewer than half the servers.
// Returns false for unknown ids.
bool is_usable(const ejection_table& table, const backend_server_id& id,
               time_point now);

// Returns the number of servers that are ejected now, at most half of all.
std::size_t ejected_count(const ejection_table& table, time_point now);

} // namespace parsleyplank::placement

#endif
