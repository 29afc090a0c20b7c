#include <parsleyplank/steering/server_registry.hpp>

#include <set>

namespace parsleyplank::steering
{

namespace
{

// Without a start time nothing tells a restart from an old report.
bool is_outdated(const backend_server& server, const backend_server& known)
{
    return server.started_ms < known.started_ms ||
           (server.started_ms > 0 && server.started_ms == known.started_ms &&
            server.sequence < known.sequence);
}

} // namespace

bool put_server(server_registry& registry, backend_server server)
{
    const auto id = server.id;
    const auto known = registry.servers.find(id);
    if (known != registry.servers.end() && is_outdated(server, *known->second))
        return false;
    registry.leaving.erase(id);
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
        registry.leaving.emplace(id, effective);
        return false;
    }
    registry.leaving.erase(id);
    return registry.servers.erase(id) > 0;
}

bool replace_servers(server_registry& registry,
                     const std::vector<backend_server>& listed,
                     time_point effective, time_point now)
{
    std::set<backend_server_id> present;
    bool changed = false;
    for (const auto& it : listed)
    {
        present.insert(it.id);
        changed = put_server(registry, it) || changed;
    }
    std::vector<backend_server_id> missing;
    for (const auto& [id, server] : registry.servers)
        if (!present.contains(id))
            missing.push_back(id);
    for (const auto& id : missing)
        changed = remove_server(registry, id, effective, now) || changed;
    return changed;
}

bool settle_removals(server_registry& registry, time_point now)
{
    return std::erase_if(registry.leaving,
                         [&](const auto& it)
                         {
                             if (it.second > now)
                                 return false;
                             registry.servers.erase(it.first);
                             return true;
                         }) > 0;
}

} // namespace parsleyplank::steering
