#include <parsleyplank/quota/demand_estimate.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::quota
{

namespace
{

// Time constants in seconds.
constexpr double fast_time_constant = 0.35;
constexpr double slow_time_constant = 2.5;
// Standard deviations of the fast average that count as a change.
constexpr double change_deviations = 3;

} // namespace

void update(demand_estimate& estimate, time_point now)
{
    const double dt = seconds_between(estimate.updated, now);
    if (dt <= 0)
        return;
    const double sample = static_cast<double>(estimate.arrivals) / dt;
    estimate.arrivals = 0;
    estimate.updated = now;
    estimate.fast +=
        (sample - estimate.fast) * (1 - std::exp(-dt / fast_time_constant));
    estimate.slow +=
        (sample - estimate.slow) * (1 - std::exp(-dt / slow_time_constant));
    // Poisson arrivals: the variance of an average over a time constant s is
    // the rate divided by 2 s. At least one arrival is needed for a change.
    const double deviation =
        std::sqrt(std::max(estimate.slow, 1.0) / (2 * fast_time_constant));
    if (std::abs(estimate.fast - estimate.slow) > change_deviations * deviation)
        estimate.slow = estimate.fast;
}

double per_second(const demand_estimate& estimate)
{
    return estimate.slow;
}

} // namespace parsleyplank::quota
