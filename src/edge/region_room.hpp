#ifndef PARSLEYPLANK_EDGE_REGION_ROOM_HPP
#define PARSLEYPLANK_EDGE_REGION_ROOM_HPP

// Division of the requests of a service among regions: which requests leave
// this region, and where they go.

#include <parsleyplank/edge/traffic_state.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace parsleyplank::edge
{

// Returns the slots of each region beyond its share of the callers, who are
// distributed like the instances.
std::vector<steering::region_surplus>
find_surplus(const steering_snapshot& snapshot,
             const std::vector<steering::server_ptr>& servers);

// Returns the region that serves the object if it leaves this one: a region
// with surplus slots, else one whose deficit is no larger than that of this
// region, or any region if this one has no server for the request. Empty if
// there is none.
region_id
find_overflow_region(const traffic_state& state, const service_id& service,
                     std::string_view object,
                     std::span<const steering::candidate> remote_candidates,
                     bool must_leave);

// Returns whether a request for the object, which is empty if it has none, goes
// to another region, where it would complete sooner by `benefit_ms`.
bool leaves_region(traffic_state& state, std::string_view object,
                   double benefit_ms, time_point now);

} // namespace parsleyplank::edge

#endif
