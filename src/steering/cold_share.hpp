#ifndef PARSLEYPLANK_STEERING_COLD_SHARE_HPP
#define PARSLEYPLANK_STEERING_COLD_SHARE_HPP

// Divides the rate that a cold backend server bears among few instances, chosen
// by rendezvous order, so that the fleet keeps the bound without messages.

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
    // Where it takes datagrams that ask for customers' tokens.
    server_endpoint token_endpoint;
};

// Most instances that send to one cold server. Each may begin with one request
// at once, so few instances keep the first second inside the bound.
inline constexpr std::size_t max_warming_instances = 2;

// Returns the rate at which this instance may send to a cold server; 0 if the
// others do. Instances of the server's failure domain go first, then those of
// its region.
token_rate cold_rate(const backend_server& server, const instance_id& self,
                     std::span<const fleet_member> members, double rate);

} // namespace parsleyplank::steering

#endif
