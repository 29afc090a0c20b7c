#ifndef PARSLEYPLANK_EDGE_RELAY_TREE_HPP
#define PARSLEYPLANK_EDGE_RELAY_TREE_HPP

// The tree over which the changes of the store reach the instances of a region:
// its roots watch the store, each other instance watches one of the level above
// it. An instance has as many peers below it as its link serves in a short
// time, so that a change is everywhere soon however large the region is. All
// instances compute the tree on their own from what they know of the fleet.

#include <parsleyplank/edge/fleet_view.hpp>

#include <vector>

namespace parsleyplank::edge
{

// The instance that looks for its place in the tree.
struct relay_criteria
{
    region_id region;
    // Whether the store has recently answered this instance.
    bool store_reachable = false;
    // Bandwidth of its link in Mbit/s; 0 if unknown.
    double link_mbps = 0;
    // Number of instances from which on only a few of each region watch the
    // store and relay its changes to the others.
    std::size_t min_relay_fleet_size = 16;
};

// Returns the number of peers that the tree places below an instance with a
// link of this bandwidth in Mbit/s. A link of unknown bandwidth, 0, counts as a
// slow one.
std::size_t relay_fan_out(double link_mbps);

// Returns how many watches of peers an instance accepts at most. More than its
// fan-out: peers choose on their own, and move when another relay is lost.
std::size_t max_relayed_watches(double link_mbps);

// Returns the peers from which this instance can get the changes of the store,
// the preferred one first; none if it watches the store itself. An instance
// that can't reach the store is placed below those of its region that can, or
// uses a peer of another region, so that it still learns of withdrawn keys,
// evacuations and draining servers.
std::vector<const peer_state*>
choose_relays(const fleet_view& fleet,
              const std::vector<const peer_state*>& live,
              const relay_criteria& criteria);

// Returns the peers that watch the store for the instances of their regions;
// none in a fleet so small that all instances watch it. They tell each other of
// changes, so that those which are cut off from the store miss none.
std::vector<const peer_state*>
find_store_watchers(const fleet_view& fleet,
                    const std::vector<const peer_state*>& live,
                    const relay_criteria& criteria);

} // namespace parsleyplank::edge

#endif
