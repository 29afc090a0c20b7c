#include <parsleyplank/steering/customer_share.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::steering
{

customer_share divide_rate(token_rate rate, tokens burst, double own_demand,
                           const demand_sum& peers)
{
    const auto users = static_cast<double>(peers.reporting) + 1;
    const auto silent = static_cast<double>(peers.silent);
    const auto even = rate.value / (users + silent);
    const bool isolated = peers.reporting == 0 && peers.silent > 0;
    double part = even;
    if (!isolated)
    {
        const auto available = rate.value - even * silent;
        const auto demand = own_demand + peers.demand;
        part = demand > available ? available * own_demand / demand
                                  : own_demand + (available - demand) / users;
    }
    const auto fraction = rate.value > 0 ? part / rate.value : 0;
    return {token_rate(part), tokens(std::max(1.0, burst.value * fraction))};
}

void count_demand(demand_meter& meter)
{
    meter.counted += 1;
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
