#ifndef PARSLEYPLANK_STEERING_SERVER_REGISTRY_HPP
#define PARSLEYPLANK_STEERING_SERVER_REGISTRY_HPP

// Backend servers as they register themselves. Removals that the store reports
// right after an outage are held back for a while, because the registrations of
// live servers may have expired while they could not renew them.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyplank::steering
{

struct server_endpoint
{
    // IP address.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const server_endpoint&) const = default;
};

struct backend_server
{
    backend_server_id id;
    service_id service;
    server_endpoint endpoint;
    failure_domain_id domain;
    region_id region;
    version_id version;
    // Requests that it runs at a time.
    std::uint32_t slots = 1;
    bool draining = false;
    // Cold until this time on this instance's clock.
    time_point cold_until{};
    // Start of its process in Unix milliseconds; 0 if unknown.
    std::int64_t started_ms = 0;
    // Counts the reports of one process.
    std::int64_t sequence = 0;

    bool operator==(const backend_server&) const = default;
};

using server_ptr = std::shared_ptr<const backend_server>;

struct server_registry
{
    std::unordered_map<backend_server_id, server_ptr> servers;
    // Servers whose registration has gone, and when that takes effect.
    std::map<backend_server_id, time_point> pending_removals;
};

// Adds or replaces a server. A record of an earlier process of the same id, or
// an earlier report of the same process, is ignored. Cancels a held removal.
// Returns whether anything changed.
bool put_server(server_registry& registry, backend_server server);

// Removes a server at the given time, or at once if that is past. Returns
// whether anything changed now.
bool remove_server(server_registry& registry, const backend_server_id& id,
                   time_point effective, time_point now);

// Carries out removals that are due. Returns whether anything changed.
bool apply_due_removals(server_registry& registry, time_point now);

} // namespace parsleyplank::steering

#endif
