#ifndef PARSLEYPLANK_PLACEMENT_REGION_CHOICE_HPP
#define PARSLEYPLANK_PLACEMENT_REGION_CHOICE_HPP

// Chooses the region that serves a request, and the weights that the shift
// should move to. No request goes to a region beyond this instance's spare part
// of its in-flight capacity or of the link to it, and no request leaves a
// region faster than the shift weights allow.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/placement/shift.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace parsleyplank::placement
{

// What this instance may still use of a region.
struct region_headroom
{
    region_id region;
    // False while requests in the region fail.
    bool healthy = true;
    // Spare part of this instance's in-flight share.
    std::uint32_t spare_slots = 0;
    // Spare bytes of this instance's share of the link, each direction; none is
    // needed in the instance's own region.
    double spare_link_bytes = 0;
    bool local = false;
};

struct region_decision
{
    std::optional<region_id> region;
    // Set if there is no region.
    refusal_reason refusal = refusal_reason::no_capacity;
};

// Draws a region by weight. A region that is unhealthy, or has no spare slot or
// link bandwidth for expected_bytes, refuses its part of the requests: with
// shift_cap if another region has room, else with link_bandwidth or
// no_capacity. The rooms are in order of preference.
region_decision choose_region(const region_weights& weights,
                              std::span<const region_headroom> rooms,
                              double expected_bytes, std::mt19937_64& rng);

struct region_demand
{
    region_id region;
    bool healthy = true;
    // Load that the region can take from these clients, in any unit that
    // demand uses too.
    double capacity = 0;
};

// Returns the weights that serve the demand in order of preference: each
// healthy region up to its capacity. What exceeds all capacity is spread in
// proportion to capacity; without any healthy region the first one gets all.
region_weights target_weights(std::span<const region_demand> regions,
                              double demand);

} // namespace parsleyplank::placement

#endif
