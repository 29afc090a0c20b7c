#ifndef PARSLEYPLANK_STEERING_DEMAND_METER_HPP
#define PARSLEYPLANK_STEERING_DEMAND_METER_HPP

// Measures how many tokens of a customer are asked for.

#include <parsleyplank/core/clock.hpp>

namespace parsleyplank::steering
{

// Running average of the requests per second that ask for a customer's tokens.
struct demand_meter
{
    double per_second = 0;
    double counted = 0;
    time_point measured{};
};

// Counts requests.
void count_demand(demand_meter& meter, double requests = 1);

// Adds the requests counted since the last call to the average and returns it
// in requests per second. The weight of past demand halves each half_life.
double measure_demand(demand_meter& meter, milliseconds half_life,
                      time_point now);

} // namespace parsleyplank::steering

#endif
