#ifndef PARSLEYPLANK_PLACEMENT_SHIFT_HPP
#define PARSLEYPLANK_PLACEMENT_SHIFT_HPP

// Moves the weights of regions towards a target, by at most the shift cap per
// interval. Larger steps would overload the receiving region while its caches
// are cold.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstdint>
#include <map>

namespace parsleyplank::placement
{

// Weight per region in ppm; the sum is ppm_total.
using region_weights = std::map<region_id, std::uint32_t>;

struct shift_options
{
    // Total share that may move between regions per interval.
    share_ppm cap{50'000};
    std::chrono::seconds interval{10};
    // Maximum time that one step accounts for. A longer gap, e.g. of a paused
    // or disconnected instance, is not caught up.
    milliseconds max_step_time{1'000};
};

// The weights that this instance uses for the clients of one region.
struct shift_state
{
    region_weights weights;
    time_point last_step_at{};
};

// Returns a state that uses the given weights. Throws error if they do not sum
// to ppm_total.
shift_state start_shift(const region_weights& weights, time_point now);

// Moves the weights towards the target. The share that moves in any window of
// one interval stays within the cap, regardless of how often the function is
// called. Calls less than 100 ms after the last step change nothing. Regions
// that are not in the target go to 0 at the same rate and are then removed.
// Throws error if the target does not sum to ppm_total.
void step_shift(shift_state& state, const region_weights& target,
                const shift_options& options, time_point now);

// Returns the share that moves between regions from weights a to b, in ppm.
std::uint32_t moved_share(const region_weights& a, const region_weights& b);

} // namespace parsleyplank::placement

#endif
