#ifndef PARSLEYPLANK_STEERING_CUSTOMER_SHARE_HPP
#define PARSLEYPLANK_STEERING_CUSTOMER_SHARE_HPP

// Divides a customer's fleet-wide rate among the instances by demand, without
// an exchange per request. Each instance computes its own part from the demands
// that its peers report. Parts that all instances compute from the same reports
// sum to the limit. An instance that hears from nobody falls back to an even
// part, and its peers keep that part free for it.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstddef>
#include <span>

namespace parsleyplank::steering
{

// Demand of one instance for one customer.
struct peer_demand
{
    // Requests per second, admitted or not.
    double demand = 0;
    // Whether the demand has been heard lately.
    bool fresh = true;
};

struct customer_share
{
    token_rate rate;
    tokens burst;
};

// Returns the part of an instance: what it demands, scaled down if all together
// demand more than the rate, else with an even part of what is left. Peers that
// are not heard hold an even part of the rate, and so does an instance that
// hears none of its peers. The burst is divided like the rate, but each part
// admits one request.
customer_share divide_rate(token_rate rate, tokens burst, double own_demand,
                           std::span<const peer_demand> peers);

// Average of the requests per second that ask for a customer's tokens.
struct demand_meter
{
    double per_second = 0;
    double counted = 0;
    time_point measured{};
};

// Counts one request.
void count_demand(demand_meter& meter);

// Folds what was counted into the average and returns it. The weight of past
// demand halves each half_life.
double measure_demand(demand_meter& meter, milliseconds half_life,
                      time_point now);

} // namespace parsleyplank::steering

#endif
