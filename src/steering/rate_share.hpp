#ifndef PARSLEYPLANK_STEERING_RATE_SHARE_HPP
#define PARSLEYPLANK_STEERING_RATE_SHARE_HPP

// Divides the request rate that a backend server takes from the whole fleet
// among a few instances, which rendezvous hashing chooses, so that the fleet
// stays within the rate without a message per request. An instance needs a
// whole token for a request, so a rate that is divided among more instances
// than it has requests per second would be exceeded or left unused.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>
#include <parsleyplank/steering/server_notice.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <span>

namespace parsleyplank::steering
{

struct fleet_member
{
    instance_id id;
    failure_domain_id domain;
    region_id region;
    // Endpoint that receives the datagrams that request tokens of customers.
    server_endpoint token_endpoint;

    bool operator==(const fleet_member&) const = default;
};

// Maximum number of instances that send to one cold server. Each may start with
// one request at the same time, so a small number keeps the first second within
// the rate.
inline constexpr std::size_t max_warming_instances = 2;

// Returns the rate in requests per second at which this instance may send to a
// cold server, or 0 if other instances send to it. `rate` is the rate of the
// whole fleet. Instances in the server's failure domain are preferred, then
// those in its region.
token_rate cold_rate(const backend_server& server, const instance_id& self,
                     std::span<const fleet_member> members, double rate);

// Part of one instance in the limit that a server has named.
struct limit_share
{
    // 0 if other instances send to the server.
    token_rate rate;
    tokens burst;
    // Level of the budget when the limit comes into force: the instances have
    // their first tokens one after the other, at the rate of the limit.
    tokens first_level;
};

// Returns the part of this instance in the limit. `claimants` are the other
// instances that have requests for the server. The limit is divided evenly
// among a few of all of them, chosen as for a cold server, and so is a burst of
// one request for each. While none of them gets a response of the server, more
// are admitted, at the rate of the limit.
limit_share divide_limit(const backend_server& server,
                         const server_limit& limit, const fleet_member& self,
                         std::span<const fleet_member> claimants,
                         time_point now);

} // namespace parsleyplank::steering

#endif
