#include <parsleyplank/placement/region_choice.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::placement
{

namespace
{

bool has_link_bandwidth(const region_headroom& headroom, double bytes)
{
    return headroom.local || headroom.spare_link_bytes >= bytes;
}

bool has_capacity(const region_headroom& headroom, double bytes)
{
    return headroom.healthy && headroom.spare_slots > 0 &&
           has_link_bandwidth(headroom, bytes);
}

// Draws a region by weight; returns nullptr if the weights sum to less than the
// drawn number.
const region_id* draw(const region_weights& weights, std::mt19937_64& rng)
{
    auto at =
        std::uniform_int_distribution<std::uint32_t>(0, ppm_total - 1)(rng);
    const auto it = std::ranges::find_if(weights,
                                         [&](const auto& one)
                                         {
                                             if (at < one.second)
                                                 return true;
                                             at -= one.second;
                                             return false;
                                         });
    return it == weights.end() ? nullptr : &it->first;
}

// Converts parts of a whole to weights that sum to ppm_total. The last region
// with a part above 0 gets the rounding remainder.
region_weights to_weights(std::span<const region_demand> regions,
                          std::span<const double> parts, double whole)
{
    region_weights weights;
    std::uint32_t left = ppm_total;
    region_id last;
    for (std::size_t n = 0; n < regions.size(); ++n)
    {
        if (parts[n] <= 0)
            continue;
        const auto share = std::min(left, static_cast<std::uint32_t>(std::floor(
                                              parts[n] / whole * ppm_total)));
        weights[regions[n].region] = share;
        left -= share;
        last = regions[n].region;
    }
    weights[last] += left;
    return weights;
}

} // namespace

region_decision choose_region(const region_weights& weights,
                              std::span<const region_headroom> regions,
                              double expected_bytes, std::mt19937_64& rng)
{
    region_decision decision;
    const auto* drawn = draw(weights, rng);
    if (drawn == nullptr)
        return decision;
    const auto it =
        std::ranges::find(regions, *drawn, &region_headroom::region);
    if (it != regions.end() && has_capacity(*it, expected_bytes))
    {
        decision.region = *drawn;
        return decision;
    }
    if (std::ranges::any_of(regions, [&](const region_headroom& headroom)
                            { return has_capacity(headroom, expected_bytes); }))
        decision.refusal = refusal_reason::shift_cap;
    else if (it != regions.end() && it->healthy && it->spare_slots > 0)
        decision.refusal = refusal_reason::link_bandwidth;
    return decision;
}

region_weights target_weights(std::span<const region_demand> regions,
                              double demand)
{
    if (regions.empty())
        return {};
    const double wanted = std::max(demand, 0.0);
    std::vector<double> parts(regions.size(), 0);
    std::vector<double> capacities(regions.size(), 0);
    double served = 0;
    double total_capacity = 0;
    for (std::size_t n = 0; n < regions.size(); ++n)
    {
        if (regions[n].healthy)
            capacities[n] = std::max(regions[n].capacity, 0.0);
        parts[n] = std::min(capacities[n], wanted - served);
        served += parts[n];
        total_capacity += capacities[n];
    }
    if (total_capacity <= 0 || wanted <= 0)
    {
        const auto it =
            std::ranges::find(regions, true, &region_demand::healthy);
        const auto& only = it == regions.end() ? regions.front() : *it;
        return {{only.region, ppm_total}};
    }
    return served < wanted ? to_weights(regions, capacities, total_capacity)
                           : to_weights(regions, parts, wanted);
}

} // namespace parsleyplank::placement
