#ifndef PARSLEYPLANK_STEERING_SERVER_REGISTRY_HPP
#define PARSLEYPLANK_STEERING_SERVER_REGISTRY_HPP

// Registry of the backend servers that have registered. Removals that the store
// reports right after an outage are delayed, because the registrations of live
// servers may have expired while the servers could not renew them.

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
    // Requests that the server processes concurrently.
    std::uint32_t slots = 1;
    bool draining = false;
    // End of the warm-up time on this instance's clock.
    time_point cold_until{};
    // Start of the server's process in Unix milliseconds; 0 if unknown.
    std::int64_t started_ms = 0;
    // Sequence number of the report within one process.
    std::int64_t sequence = 0;

    bool operator==(const backend_server&) const = default;
};

using server_ptr = std::shared_ptr<const backend_server>;

// A server that was removed.
struct departed_server
{
    std::int64_t started_ms = 0;
    time_point removed_at{};
};

struct server_registry
{
    std::unordered_map<backend_server_id, server_ptr> servers;
    // Delayed removals: servers whose registration has been removed, with the
    // time at which the removal takes effect.
    std::map<backend_server_id, time_point> pending_removals;
    // Servers that were removed lately.
    std::unordered_map<backend_server_id, departed_server> departed;
    // Whether records of departed servers are ignored: a store that has come
    // back from an older copy lists them until their leases end.
    bool ignores_departed = false;
};

// Adds or replaces a server and cancels its delayed removal. Ignores a record
// of an earlier process of the same id and an earlier report of the same
// process, and one of a departed server while these are ignored. Returns
// whether anything changed that decisions depend on: a new sequence number
// alone is no such change, nor is an end of the warm-up that differs by less
// than the time that a report may take, or that has passed at both times.
bool put_server(server_registry& registry, backend_server server,
                time_point now = {});

// Removes a server at the effective time, or at once if that has passed.
// Returns whether the server was removed at once.
bool remove_server(server_registry& registry, const backend_server_id& id,
                   time_point effective, time_point now);

// Applies the delayed removals that are due. Returns whether anything changed.
bool apply_due_removals(server_registry& registry, time_point now);

} // namespace parsleyplank::steering

#endif
