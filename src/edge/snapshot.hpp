#ifndef PARSLEYPLANK_EDGE_SNAPSHOT_HPP
#define PARSLEYPLANK_EDGE_SNAPSHOT_HPP

// What the control thread tells the traffic thread, and what it learns from it.
// Snapshots are immutable and replaced as a whole.

#include <parsleyplank/steering/cold_share.hpp>
#include <parsleyplank/steering/customer_share.hpp>
#include <parsleyplank/steering/directory.hpp>
#include <parsleyplank/steering/rollout_plan.hpp>
#include <parsleyplank/steering/routing_table.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyplank::edge
{

// How the requests of a service are divided among its versions.
struct version_policy
{
    // Versions that were found bad.
    std::set<version_id> rejected;
    // The version that is brought in, if any, and its part of the requests.
    std::optional<version_id> target;
    share_ppm target_share{0};
    // The results of the versions are counted.
    bool compared = false;
};

struct steering_snapshot
{
    // Nothing until a configuration is known.
    std::shared_ptr<const steering::routing_table> routing;
    // Servers that may get new requests.
    std::unordered_map<service_id, std::vector<steering::server_ptr>> servers;
    std::unordered_map<service_id, version_policy> versions;
    // Live instances, this one among them unless it drains.
    std::vector<steering::directory_instance> instances;
    std::vector<steering::fleet_member> members;
    std::unordered_map<customer_id, steering::customer_share> shares;
    // Parts of this region of the customers whose rate is too small to divide
    // among all instances. One instance of the region holds each.
    std::unordered_map<customer_id, steering::customer_share> region_shares;
    // When the store was last heard of.
    time_point last_store_contact{};
    bool draining = false;
};

using snapshot_ptr = std::shared_ptr<const steering_snapshot>;

// Results by service and the version that is brought in.
using tally_table =
    std::map<std::pair<service_id, version_id>, steering::rollout_tally>;

// Counts of the traffic thread since its start, and demands as of now.
struct traffic_report
{
    std::unordered_map<customer_id, double> demands;
    tally_table tallies;
    std::size_t open_exchanges = 0;
};

} // namespace parsleyplank::edge

#endif
