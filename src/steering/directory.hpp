#ifndef PARSLEYPLANK_STEERING_DIRECTORY_HPP
#define PARSLEYPLANK_STEERING_DIRECTORY_HPP

// Names the instances that a caller should connect to: those of its failure
// domain, else of its region, else all others.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <span>
#include <vector>

namespace parsleyplank::steering
{

struct directory_instance
{
    instance_id id;
    server_endpoint caller_endpoint;
    failure_domain_id domain;
    region_id region;
    // Relative capacity.
    double weight = 1;
};

// Most addresses of one answer.
inline constexpr std::size_t max_addresses = 64;

// Returns the addresses for a caller of that failure domain and region, nearest
// group first; only the nearest group with an instance is named.
std::vector<server_endpoint>
choose_instances(std::span<const directory_instance> live,
                 const failure_domain_id& domain, const region_id& region);

} // namespace parsleyplank::steering

#endif
