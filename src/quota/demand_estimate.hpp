#ifndef PARSLEYPLANK_QUOTA_DEMAND_ESTIMATE_HPP
#define PARSLEYPLANK_QUOTA_DEMAND_ESTIMATE_HPP

// Estimates the rate of a customer's arrivals at this instance with two
// exponential moving averages. The slow one gives a steady value. It is reset
// to the fast one when the two differ by more than random variation explains,
// so that a moved hot spot is detected within a few hundred milliseconds.

#include <parsleyplank/core/clock.hpp>

#include <cstdint>

namespace parsleyplank::quota
{

struct demand_estimate
{
    // Arrivals since the last update.
    std::uint64_t arrivals = 0;
    // Averages in arrivals per second.
    double fast = 0;
    double slow = 0;
    time_point updated;
};

// Adds the arrivals since the last call to both averages and resets their
// count. Called once per tick; a call without elapsed time changes nothing.
void update(demand_estimate& estimate, time_point now);

// Returns the estimated arrivals per second.
double per_second(const demand_estimate& estimate);

} // namespace parsleyplank::quota

#endif
