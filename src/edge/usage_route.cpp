#include <parsleyplank/edge/usage_route.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::edge
{

std::optional<instance_id> next_usage_hop(
    const fleet_view& fleet, const std::vector<const peer_state*>& live,
    const relay_criteria& criteria, const std::optional<instance_id>& holder)
{
    // An instance that can't reach the store hands its counts over like one
    // that can: the way between instances may be open.
    auto in_touch = criteria;
    in_touch.store_reachable = true;
    const auto relays = choose_relays(fleet, live, in_touch);
    if (!relays.empty())
        return relays.front()->record.id;
    std::vector<instance_id> roots{fleet.self};
    std::ranges::transform(find_store_watchers(fleet, live, in_touch),
                           std::back_inserter(roots),
                           [](const peer_state* it) { return it->record.id; });
    std::ranges::sort(roots);
    const auto place = static_cast<std::size_t>(
        std::ranges::find(roots, fleet.self) - roots.begin());
    if (place >= usage_fan_in)
        return roots[place / usage_fan_in - 1];
    return holder && fleet.peers.contains(*holder) ? holder : std::nullopt;
}

milliseconds usage_send_interval(std::size_t instances)
{
    // What an instance has not told is lost with its process: one second of one
    // instance is little of a window in a fleet of any size. Larger fleets send
    // less often, because their relays have more instances below them.
    constexpr std::size_t large_fleet = 300;
    constexpr milliseconds interval{1'000};
    return instances > large_fleet ? interval * 2 : interval;
}

} // namespace parsleyplank::edge
