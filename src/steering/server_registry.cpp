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

// Returns whether a restored store lists a server that had left before.
bool has_departed(const server_registry& registry, const backend_server& server)
{
    if (!registry.store_restored || server.started_ms == 0)
        return false;
    const auto it = registry.departed.find(server.id);
    return it != registry.departed.end() &&
           (server.started_ms < it->second.started_ms ||
            (server.started_ms == it->second.started_ms &&
             server.sequence <= it->second.sequence));
}

// Removes the server and remembers its last report.
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
    registry.departed[id] = {it->second->started_ms, it->second->sequence, now};
    registry.servers.erase(it);
}

} // namespace

bool put_server(server_registry& registry, backend_server server)
{
    const auto id = server.id;
    const auto known = registry.servers.find(id);
    if (known != registry.servers.end() && is_outdated(server, *known->second))
        return false;
    if (has_departed(registry, server))
        return false;
    registry.pending_removals.erase(id);
    if (known != registry.servers.end() && *known->second == server)
        return false;
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
