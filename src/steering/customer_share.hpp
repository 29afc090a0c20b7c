#ifndef PARSLEYPLANK_STEERING_CUSTOMER_SHARE_HPP
#define PARSLEYPLANK_STEERING_CUSTOMER_SHARE_HPP

// Divides a customer's fleet-wide rate among the instances by demand, without
// an exchange per request. Each instance computes its own part from the demands
// that its peers report. Parts computed from the same reports sum to the limit.
// An instance without fresh reports of any peer falls back to an even part,
// which its peers reserve for it.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstddef>

namespace parsleyplank::steering
{

// Demand of the peers for one customer.
struct demand_sum
{
    // Requests per second, whether admitted or refused, over the peers whose
    // reports are recent enough to be used.
    double demand = 0;
    // The number of these peers, and of the other ones.
    std::size_t reporting = 0;
    std::size_t silent = 0;
};

struct customer_share
{
    token_rate rate;
    tokens burst;
};

// Returns the part of this instance: its demand, scaled down if the total
// demand exceeds the rate, and otherwise increased by an even part of the
// unused rate. An even part of the rate is reserved for each silent peer. An
// instance whose peers are all silent uses an even part too. The burst is
// divided like the rate, but each part admits at least one request.
customer_share divide_rate(token_rate rate, tokens burst, double own_demand,
                           const demand_sum& peers);

// Running average of the requests per second that ask for a customer's tokens.
struct demand_meter
{
    double per_second = 0;
    double counted = 0;
    time_point measured{};
};

// Counts one request.
void count_demand(demand_meter& meter);

// Adds the requests counted since the last call to the average and returns it
// in requests per second. The weight of past demand halves each half_life.
double measure_demand(demand_meter& meter, milliseconds half_life,
                      time_point now);

} // namespace parsleyplank::steering

#endif
