#ifndef PARSLEYPLANK_PLACEMENT_EJECTION_HPP
#define PARSLEYPLANK_PLACEMENT_EJECTION_HPP

// Ejects backend servers that fail this instance's own requests. A health
// endpoint may mislead in both directions, so it decides only while there are
// no own observations.

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
    // Time of the first ejection; doubles with each further one.
    milliseconds base_ejection_time{2'000};
    milliseconds max_ejection_time{60'000};
    // Own observations older than this give way to the health endpoint.
    milliseconds max_observation_age{10'000};
};

struct server_health
{
    std::uint32_t consecutive_failures = 0;
    // Ejections without a success since.
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    time_point observed_at{};
    bool observed = false;
    // What the health endpoint says; true until it says otherwise.
    bool reported_healthy = true;
};

// The servers of one upstream that this instance uses.
struct ejection_table
{
    ejection_options options;
    std::unordered_map<backend_server_id, server_health> servers;
};

// Makes the table hold exactly these servers; known ones keep their state.
void set_members(ejection_table& table,
                 std::span<const backend_server_id> members);

// Records the result of an own request. Ejects the server after enough
// consecutive failures, or after one if it just returned from an ejection,
// unless half the servers (rounded down) are ejected already. Returns whether
// the server was ejected by this call. Unknown ids are ignored.
bool record_result(ejection_table& table, const backend_server_id& id,
                   bool success, time_point now);

// Records what a health endpoint says.
void record_health(ejection_table& table, const backend_server_id& id,
                   bool healthy);

// Returns whether the server may be used: not ejected, and not reported
// unhealthy without recent own observations. If fewer than half the servers
// pass, reported health is ignored.
bool is_usable(const ejection_table& table, const backend_server_id& id,
               time_point now);

// Returns the number of servers ejected now; at most half of all.
std::size_t ejected_count(const ejection_table& table, time_point now);

} // namespace parsleyplank::placement

#endif
