#ifndef PARSLEYPLANK_PLACEMENT_REGION_CHOICE_HPP
#define PARSLEYPLANK_PLACEMENT_REGION_CHOICE_HPP

// Chooses the region that serves a request, and computes the target weights of
// a traffic shift. A region gets a request only if this instance's share of the
// region's in-flight capacity and of the link to it suffices. Requests move
// away from a region only as fast as the shift changes the weights.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/placement/shift.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace parsleyplank::placement
{

// Capacity of a region that this instance may still use.
struct region_headroom
{
    region_id region;
    // False while requests to the region fail.
    bool healthy = true;
    // Unused part of this instance's share of the in-flight capacity.
    std::uint32_t spare_slots = 0;
    // Unused bytes of this instance's share of the link in each direction. The
    // instance's own region needs none.
    double spare_link_bytes = 0;
    // Whether this is the instance's own region.
    bool local = false;
};

struct region_decision
{
    std::optional<region_id> region;
    // Reason of the refusal if there is no region.
    refusal_reason refusal = refusal_reason::no_capacity;
};

// Draws a region by weight. The request is refused if that region is unhealthy
// or lacks a slot or the link bandwidth for expected_bytes: with shift_cap if
// another region could serve the request, otherwise with link_bandwidth or
// no_capacity. The regions are in order of preference.
region_decision choose_region(const region_weights& weights,
                              std::span<const region_headroom> regions,
                              double expected_bytes, std::mt19937_64& rng);

// A region that can take a part of the demand.
struct region_demand
{
    region_id region;
    bool healthy = true;
    // Load that the region can take from these clients, in the unit of the
    // demand.
    double capacity = 0;
};

// Returns the weights that fill the healthy regions in order of preference,
// each up to its capacity. A demand above the total capacity is distributed in
// proportion to capacity. The first healthy region gets the whole weight if
// there is no demand or no capacity, and the first region of all if none is
// healthy.
region_weights target_weights(std::span<const region_demand> regions,
                              double demand);

} // namespace parsleyplank::placement

#endif
