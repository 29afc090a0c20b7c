#include <parsleyplank/placement/ejection.hpp>

#include <algorithm>

namespace parsleyplank::placement
{

namespace
{

bool is_ejected(const server_health& server, time_point now)
{
    return now < server.ejected_until;
}

milliseconds ejection_time(const ejection_options& options,
                           std::uint32_t ejections)
{
    auto time = options.base_ejection_time;
    for (std::uint32_t n = 0; n < ejections && time < options.max_ejection_time;
         ++n)
        time *= 2;
    return std::min(time, options.max_ejection_time);
}

// Returns whether the health endpoint decides, for lack of recent own results,
// and reports the server unhealthy.
bool is_reported_unhealthy(const server_health& server,
                           const ejection_options& options, time_point now)
{
    const bool recent = server.observed &&
                        now - server.observed_at <= options.max_observation_age;
    return !server.reported_healthy && !recent;
}

// Returns whether at least half the servers remain if health reports are
// applied. Otherwise a faulty health check could take all servers of an
// upstream out of use.
bool reports_are_plausible(const ejection_table& table, time_point now)
{
    const auto out = std::ranges::count_if(
        table.servers,
        [&](const auto& it)
        {
            return is_ejected(it.second, now) ||
                   is_reported_unhealthy(it.second, table.options, now);
        });
    return 2 * static_cast<std::size_t>(out) <= table.servers.size();
}

} // namespace

void set_members(ejection_table& table,
                 std::span<const backend_server_id> members)
{
    std::erase_if(
        table.servers, [&](const auto& it)
        { return std::ranges::find(members, it.first) == members.end(); });
    for (const auto& id : members)
        table.servers.try_emplace(id);
}

bool record_result(ejection_table& table, const backend_server_id& id,
                   bool success, time_point now)
{
    const auto it = table.servers.find(id);
    if (it == table.servers.end())
        return false;
    auto& server = it->second;
    server.observed = true;
    server.observed_at = now;
    if (success)
    {
        server.consecutive_failures = 0;
        // A success during an ejection belongs to a request that was sent
        // before it, so it does not show that the server has recovered.
        if (!is_ejected(server, now))
            server.ejections = 0;
        return false;
    }
    ++server.consecutive_failures;
    const auto limit =
        server.ejections > 0 ? 1U : table.options.failure_threshold;
    if (is_ejected(server, now) || server.consecutive_failures < limit ||
        ejected_count(table, now) >= table.servers.size() / 2)
        return false;
    server.ejected_until = now + ejection_time(table.options, server.ejections);
    ++server.ejections;
    server.consecutive_failures = 0;
    return true;
}

void record_health(ejection_table& table, const backend_server_id& id,
                   bool healthy)
{
    if (const auto it = table.servers.find(id); it != table.servers.end())
        it->second.reported_healthy = healthy;
}

bool is_usable(const ejection_table& table, const backend_server_id& id,
               time_point now)
{
    const auto it = table.servers.find(id);
    if (it == table.servers.end() || is_ejected(it->second, now))
        return false;
    return !is_reported_unhealthy(it->second, table.options, now) ||
           !reports_are_plausible(table, now);
}

std::size_t ejected_count(const ejection_table& table, time_point now)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(table.servers, [&](const auto& it)
                              { return is_ejected(it.second, now); }));
}

} // namespace parsleyplank::placement
