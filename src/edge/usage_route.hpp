#ifndef PARSLEYPLANK_EDGE_USAGE_ROUTE_HPP
#define PARSLEYPLANK_EDGE_USAGE_ROUTE_HPP

// The way of usage counts to the holder of the duty: up the tree over which the
// changes of the store are distributed, then from its roots to the holder. In a
// fleet with many roots only a few of them send to the holder, so that its link
// is not loaded by the size of the fleet.

#include <parsleyplank/edge/relay_tree.hpp>

#include <optional>

namespace parsleyplank::edge
{

// Largest number of instances below one, if they are roots of the tree.
inline constexpr std::size_t usage_fan_in = 8;

// Returns the instance to hand counts to; nullopt if none is known. `holder` is
// unset while nobody holds the duty. Must not be called by the holder.
std::optional<instance_id> next_usage_hop(
    const fleet_view& fleet, const std::vector<const peer_state*>& live,
    const relay_criteria& criteria, const std::optional<instance_id>& holder);

// Returns the interval at which an instance of a fleet of this size sends its
// counts.
milliseconds usage_send_interval(std::size_t instances);

} // namespace parsleyplank::edge

#endif
