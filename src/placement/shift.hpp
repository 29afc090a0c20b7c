#ifndef PARSLEYPLANK_PLACEMENT_SHIFT_HPP
#define PARSLEYPLANK_PLACEMENT_SHIFT_HPP

// Moves the weights of regions towards a target by at most the shift cap per
// interval. A larger move would meet cold caches in the receiving region.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstdint>
#include <map>

namespace parsleyplank::placement
{

// Weight per region; the sum is ppm_total.
using region_weights = std::map<region_id, std::uint32_t>;

struct shift_options
{
    // Share that may move per interval, all regions together.
    share_ppm cap{50'000};
    std::chrono::seconds interval{10};
    // Longest time that one step accounts for. A longer gap (a paused or
    // cut-off instance) is not caught up.
    milliseconds max_step_time{1'000};
};

// The weights that this instance has in force for the clients of one region.
struct shift_state
{
    region_weights weights;
    time_point last_step_at{};
};

// Returns a state with these weights in force. Throws error if they do not sum
// to ppm_total.
shift_state start_shift(const region_weights& weights, time_point now);

// Moves the weights towards the target. Over any window of one interval the
// moved share stays within the cap, however often or seldom it is called. Calls
// less than 100 ms after the last step change nothing. Regions that are not in
// the target go to 0 at the same pace. Throws error if the target does not sum
// to ppm_total.
void step_shift(shift_state& state, const region_weights& target,
                const shift_options& options, time_point now);

// Returns the share that differs between two sets of weights.
std::uint32_t moved_share(const region_weights& a, const region_weights& b);

} // namespace parsleyplank::placement

#endif
