#include <parsleyplank/core/error.hpp>
#include <parsleyplank/placement/shift.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>

namespace parsleyplank::placement
{

namespace
{

// Shorter steps are left to a later call: rounding down in many short steps
// would lose a large part of the movement.
constexpr milliseconds min_step_time{100};

// Throws error if the weights do not sum to ppm_total.
void check_sum(const region_weights& weights, const char* what)
{
    const auto sum = std::accumulate(
        weights.begin(), weights.end(), std::uint64_t{0},
        [](std::uint64_t n, const auto& it) { return n + it.second; });
    if (sum != ppm_total)
        throw error(std::string(what) + " sum to " + std::to_string(sum) +
                    " instead of " + std::to_string(ppm_total));
}

std::uint32_t weight_of(const region_weights& weights, const region_id& id)
{
    const auto it = weights.find(id);
    return it == weights.end() ? 0 : it->second;
}

// Returns the share that may move in the elapsed time, in ppm, rounded down. A
// window of one interval can begin just before a step that accounts for time
// before the window, so the cap is distributed over the interval and one
// maximum step.
std::uint32_t allowed_share(const shift_options& options, milliseconds elapsed)
{
    const auto counted = std::min(elapsed, options.max_step_time);
    const auto spread = milliseconds(options.interval) + options.max_step_time;
    return static_cast<std::uint32_t>(
        std::uint64_t{options.cap.value} * counted.count() /
        std::max<std::int64_t>(spread.count(), 1));
}

// Moves each weight towards the target by its part of the allowed share. The
// increases are rounded down and the decreases up; the last decreases are
// limited so that the sum of the weights stays the same.
void move_weights(region_weights& weights, const region_weights& target,
                  std::uint32_t allowed, std::uint32_t wanted)
{
    std::uint32_t gained = 0;
    for (auto& [id, weight] : weights)
    {
        const auto goal = weight_of(target, id);
        if (goal <= weight)
            continue;
        const auto part = static_cast<std::uint32_t>(
            std::uint64_t{goal - weight} * allowed / wanted);
        weight += part;
        gained += part;
    }
    auto left = gained;
    for (auto& [id, weight] : weights)
    {
        const auto goal = weight_of(target, id);
        if (goal >= weight)
            continue;
        const auto surplus = weight - goal;
        const auto part = static_cast<std::uint32_t>(
            (std::uint64_t{surplus} * gained + wanted - 1) / wanted);
        const auto taken = std::min({surplus, part, left});
        weight -= taken;
        left -= taken;
    }
}

} // namespace

shift_state start_shift(const region_weights& weights, time_point now)
{
    check_sum(weights, "region weights");
    return {weights, now};
}

void step_shift(shift_state& state, const region_weights& target,
                const shift_options& options, time_point now)
{
    check_sum(target, "target weights");
    const auto wanted = moved_share(state.weights, target);
    if (wanted == 0)
    {
        state.last_step_at = std::max(state.last_step_at, now);
        return;
    }
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - state.last_step_at);
    if (elapsed < min_step_time)
        return;
    const auto allowed = std::min(wanted, allowed_share(options, elapsed));
    for (const auto& [id, weight] : target)
        state.weights.try_emplace(id, 0);
    move_weights(state.weights, target, allowed, wanted);
    std::erase_if(state.weights, [&](const auto& it)
                  { return it.second == 0 && !target.contains(it.first); });
    state.last_step_at = now;
}

std::uint32_t moved_share(const region_weights& a, const region_weights& b)
{
    std::uint32_t share = 0;
    for (const auto& [id, weight] : b)
    {
        const auto before = weight_of(a, id);
        if (weight > before)
            share += weight - before;
    }
    return share;
}

} // namespace parsleyplank::placement
