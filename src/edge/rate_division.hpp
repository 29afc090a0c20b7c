#ifndef PARSLEYPLANK_EDGE_RATE_DIVISION_HPP
#define PARSLEYPLANK_EDGE_RATE_DIVISION_HPP

// The parts of the customers' rates that this instance may use, from the
// demands that the peers report. The demands are summed once, so that the
// division takes time for the reports and the customers, but not for each pair
// of a customer and a peer.

#include <parsleyplank/edge/fleet_view.hpp>

#include <map>
#include <unordered_map>
#include <vector>

namespace parsleyplank::edge
{

// Demands in requests per second, by the number of the customer.
using demand_table = std::unordered_map<std::uint32_t, double>;

// What the peers report of the customers.
struct peer_demand_sums
{
    // Peers whose digests are recent, and the other ones.
    std::size_t responsive = 0;
    std::size_t silent = 0;
    // Sums over the responsive peers of all regions, and of each region.
    demand_table total;
    std::map<region_id, demand_table> by_region;
};

// Sums the demands in the digests of the peers.
peer_demand_sums sum_demands(const fleet_view& fleet,
                             const fleet_options& options, time_point now);

// What the division needs to know of this instance.
struct division_inputs
{
    region_id region;
    // The demand that the peers know of, in requests per second.
    std::unordered_map<customer_id, double> own_demands;
    // Parts below this rate are too small for each instance of a fleet.
    token_rate min_divided_rate;
};

// Sets the shares of the snapshot: the part of each customer's rate, and the
// region's part of a rate that is too small to be divided among all instances.
// Requires the routing and the members of the snapshot.
void divide_rates(steering_snapshot& snapshot, const peer_demand_sums& peers,
                  const division_inputs& inputs);

} // namespace parsleyplank::edge

#endif
