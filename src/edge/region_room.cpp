#include <parsleyplank/edge/region_room.hpp>

#include <algorithm>
#include <limits>
#include <map>

namespace parsleyplank::edge
{

namespace
{

// Returns the part of all callers that is in the region. They are distributed
// like the registered instances; 0 if none is registered.
double part_of_callers(const steering_snapshot& snapshot,
                       const region_id& region)
{
    std::size_t all = 0;
    for (const auto& [id, count] : snapshot.registered)
        all += count;
    const auto it = snapshot.registered.find(region);
    return it == snapshot.registered.end()
               ? 0
               : static_cast<double>(it->second) / static_cast<double>(all);
}

// Returns the initial shift from this region's part of the instances, which are
// distributed like the callers, and its part of the slots of all services.
steering::region_shift initial_shift(const traffic_state& state, time_point now)
{
    const auto& own = state.config.region;
    double slots = 0;
    double own_slots = 0;
    for (const auto& [service, servers] : state.snapshot->servers)
        for (const auto& it : servers)
        {
            slots += it->slots;
            own_slots += it->region == own ? it->slots : 0;
        }
    const auto callers_part = part_of_callers(*state.snapshot, own);
    if (slots <= 0)
        return steering::initial_shift(0, 0, now);
    return steering::initial_shift(callers_part, own_slots / slots, now);
}

} // namespace

std::vector<steering::region_surplus>
find_surplus(const steering_snapshot& snapshot,
             const std::vector<steering::server_ptr>& servers)
{
    std::map<region_id, double> slots;
    double all = 0;
    for (const auto& it : servers)
    {
        slots[it->region] += it->slots;
        all += it->slots;
    }
    std::vector<steering::region_surplus> found;
    found.reserve(slots.size());
    for (const auto& [region, n] : slots)
        found.push_back({region, n - all * part_of_callers(snapshot, region)});
    return found;
}

region_id
find_overflow_region(const traffic_state& state, const service_id& service,
                     std::string_view object,
                     std::span<const steering::candidate> remote_candidates,
                     bool must_leave)
{
    const auto known = state.surplus.find(service);
    if (known == state.surplus.end())
        return {};
    std::map<region_id, double> slots;
    for (const auto& it : remote_candidates)
        slots[it.server->region] += it.server->slots;
    double own = std::numeric_limits<double>::lowest();
    std::vector<steering::region_surplus> others;
    for (const auto& it : known->second)
        if (it.region == state.config.region && !must_leave)
            own = it.slots;
        else if (slots.contains(it.region))
            others.push_back(it);
    auto found = steering::choose_overflow_region(object, others);
    if (!found.value.empty())
        return found;
    for (auto& it : others)
        it.slots = it.slots >= own ? slots[it.region] : 0;
    return steering::choose_overflow_region(object, others);
}

bool leaves_region(traffic_state& state, std::string_view object,
                   double benefit_ms, time_point now)
{
    if (!state.shift)
        state.shift = initial_shift(state, now);
    std::optional<double> position;
    if (!object.empty())
        position = steering::object_position(object);
    return steering::shift_request(*state.shift, benefit_ms, position,
                                   state.options.shift, now);
}

} // namespace parsleyplank::edge
