#include <parsleyplank/steering/demand_meter.hpp>

#include <cmath>

namespace parsleyplank::steering
{

void count_demand(demand_meter& meter, double requests)
{
    meter.counted += requests;
}

double measure_demand(demand_meter& meter, milliseconds half_life,
                      time_point now)
{
    const std::chrono::duration<double> span = now - meter.measured;
    const std::chrono::duration<double> half = half_life;
    if (span.count() <= 0)
        return meter.per_second;
    const auto current = meter.counted / span.count();
    const bool first = meter.measured == time_point{};
    const auto kept = first ? 0 : std::exp2(-span.count() / half.count());
    // The start of the first span is unknown, so its count gives no rate.
    meter.per_second =
        first ? 0 : meter.per_second * kept + current * (1 - kept);
    meter.counted = 0;
    meter.measured = now;
    return meter.per_second;
}

} // namespace parsleyplank::steering
