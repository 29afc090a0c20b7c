#include <parsleyplank/steering/server_registry.hpp>

namespace parsleyplank::steering
{

namespace
{

// Time for which departed servers are remembered. A copy of the store is some
// seconds old.
constexpr milliseconds departed_retention{60'000};

// Without a start time a restart can't be distinguished from an old report, so
// the record is accepted.
bool is_outdated(const backend_server& server, const backend_server& known)
{
    return server.started_ms < known.started_ms ||
           (server.started_ms > 0 && server.started_ms == known.started_ms &&
            server.sequence < known.sequence);
}

// Returns whether the record is one of a process that has departed.
bool has_departed(const server_registry& registry, const backend_server& server)
{
    const auto it = registry.departed.find(server.id);
    return it != registry.departed.end() &&
           server.started_ms <= it->second.started_ms;
}

// Removes the server and remembers it.
void erase_server(server_registry& registry, const backend_server_id& id,
                  time_point now)
{
    const auto it = registry.servers.find(id);
    if (it == registry.servers.end())
        return;
    std::erase_if(registry.departed,
                  [&](const auto& entry) {
                      return now - entry.second.removed_at > departed_retention;
                  });
    registry.departed[id] = {it->second->started_ms, now};
    registry.servers.erase(it);
}

// Each report of a cold server tells the rest of its warm-up, from which the
// end is computed at the time of receipt.
constexpr milliseconds max_report_delay{250};

bool same_warmup(const backend_server& server, const backend_server& known,
                 time_point now)
{
    const auto over = [now](const backend_server& it)
    {
        return it.cold_until <= now;
    };
    return (over(server) && over(known)) ||
           std::chrono::abs(server.cold_until - known.cold_until) <=
               max_report_delay;
}

// Returns whether the two reports differ only in their sequence number and
// negligibly in the end of the warm-up.
bool says_the_same(backend_server server, const backend_server& known,
                   time_point now)
{
    if (!same_warmup(server, known, now))
        return false;
    server.cold_until = known.cold_until;
    server.sequence = known.sequence;
    return server == known;
}

} // namespace

bool put_server(server_registry& registry, backend_server server,
                time_point now)
{
    const auto id = server.id;
    const auto known = registry.servers.find(id);
    if (known != registry.servers.end() && is_outdated(server, *known->second))
        return false;
    if (registry.ignores_departed && has_departed(registry, server))
        return false;
    registry.departed.erase(id);
    registry.pending_removals.erase(id);
    if (known != registry.servers.end() &&
        says_the_same(server, *known->second, now))
    {
        server.cold_until = known->second->cold_until;
        known->second =
            std::make_shared<const backend_server>(std::move(server));
        return false;
    }
    registry.servers[id] =
        std::make_shared<const backend_server>(std::move(server));
    return true;
}

bool remove_server(server_registry& registry, const backend_server_id& id,
                   time_point effective, time_point now)
{
    if (!registry.servers.contains(id))
        return false;
    if (effective > now)
    {
        registry.pending_removals.emplace(id, effective);
        return false;
    }
    registry.pending_removals.erase(id);
    erase_server(registry, id, now);
    return true;
}

bool apply_due_removals(server_registry& registry, time_point now)
{
    return std::erase_if(registry.pending_removals,
                         [&](const auto& it)
                         {
                             if (it.second > now)
                                 return false;
                             erase_server(registry, it.first, now);
                             return true;
                         }) > 0;
}

} // namespace parsleyplank::steering
