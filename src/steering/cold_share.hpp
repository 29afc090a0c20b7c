#ifndef PARSLEYPLANK_STEERING_COLD_SHARE_HPP
#define PARSLEYPLANK_STEERING_COLD_SHARE_HPP

// Divides the request rate that a cold backend server can take among a few
// instances, which rendezvous hashing chooses, so that the fleet stays within
// the rate without exchanging messages.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>
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

} // namespace parsleyplank::steering

#endif
