#include <parsleyplank/quota/demand_estimate.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::quota
{

namespace
{

// Time constants of the averages, in seconds.
constexpr double fast_time_constant = 0.35;
constexpr double slow_time_constant = 2.5;
// Number of standard deviations of the fast average by which the averages must
// differ to count as a change of the rate.
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
    // For Poisson arrivals the variance of an average with time constant s is
    // the rate divided by 2 s. The lower bound of one arrival per
    // second keeps the threshold above zero for an idle instance: a change
    // takes at least one arrival.
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
