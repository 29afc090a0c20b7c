#include <parsleyplank/steering/wait_decision.hpp>

#include <algorithm>

namespace parsleyplank::steering
{

namespace
{

constexpr double us_per_ms = 1'000;

double to_ms(milliseconds span)
{
    return static_cast<double>(span.count());
}

milliseconds from_ms(double ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace

void record_wait(wait_correction& correction, const ranked_server& chosen,
                 std::chrono::microseconds latency, const wait_options& options)
{
    if (chosen.queueing <= milliseconds(0))
        return;
    constexpr double min_factor = 0.1;
    constexpr double max_factor = 3;
    const auto wait = to_ms(chosen.queueing);
    const auto measured = static_cast<double>(latency.count()) / us_per_ms -
                          to_ms(chosen.expected - chosen.queueing);
    const auto weight = std::min(1.0, wait / to_ms(options.full_weight_wait));
    correction.samples += weight;
    const auto step = std::max(options.step, options.initial_step /
                                                 (1 + correction.samples)) *
                      weight;
    // Steps of 3 to 1 converge to the 75% quantile.
    constexpr double up = 1.5;
    constexpr double down = 0.5;
    const bool longer = measured > wait * correction.factor;
    correction.factor += longer ? step * up : -step * down;
    correction.factor = std::clamp(correction.factor, min_factor, max_factor);
}

milliseconds expected_wait(const wait_correction& correction,
                           const ranked_server& server)
{
    return from_ms(to_ms(server.queueing) * correction.factor);
}

milliseconds expected_time(const wait_correction& correction,
                           const ranked_server& server)
{
    return server.expected - server.queueing +
           expected_wait(correction, server);
}

bool may_wait(const wait_correction& correction, const ranked_server& server,
              unsigned slots, const service_times& times,
              const time_limits& limits, const wait_options& options)
{
    const auto expected = expected_time(correction, server);
    if (expected <= limits.to_objective)
        return true;
    if (!limits.urgent)
        return false;
    const bool in_time_for_caller =
        to_ms(expected) * options.deadline_margin <= to_ms(limits.to_deadline);
    // The request takes a slot of the ones behind it for a service time.
    const auto wait_behind = to_ms(expected_wait(correction, server)) +
                             times.mean_ms / std::max(1U, slots);
    return in_time_for_caller &&
           wait_behind + times.warm_ms <= to_ms(limits.objective);
}

} // namespace parsleyplank::steering
