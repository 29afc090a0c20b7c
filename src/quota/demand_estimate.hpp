#ifndef PARSLEYPLANK_QUOTA_DEMAND_ESTIMATE_HPP
#define PARSLEYPLANK_QUOTA_DEMAND_ESTIMATE_HPP

// Rate of a customer's arrivals at this instance. A slow average gives a steady
// value; it is set to a fast one when the two differ by more than chance
// explains, so that a moved hot spot is seen within a few hundred milliseconds.

#include <parsleyplank/core/clock.hpp>

#include <cstdint>

namespace parsleyplank::quota
{

struct demand_estimate
{
    std::uint64_t arrivals = 0;
    double fast = 0;
    double slow = 0;
    time_point updated;
};

// Folds the arrivals since the last call into both averages. Call once per
// tick.
void update(demand_estimate& estimate, time_point now);

// Returns arrivals per second.
double per_second(const demand_estimate& estimate);

} // namespace parsleyplank::quota

#endif
