#ifndef PARSLEYPLANK_STEERING_DIRECTORY_HPP
#define PARSLEYPLANK_STEERING_DIRECTORY_HPP

// Chooses the instances that a caller should connect to: those of its failure
// domain, else those of its region, else all others.

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

// Maximum number of addresses in one response.
inline constexpr std::size_t max_addresses = 64;

// Returns the addresses for a caller in the given failure domain and region.
// Only the nearest group that has an instance is returned.
std::vector<server_endpoint>
choose_instances(std::span<const directory_instance> live,
                 const failure_domain_id& domain, const region_id& region);

} // namespace parsleyplank::steering

#endif
