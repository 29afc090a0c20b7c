#ifndef PARSLEYPLANK_STEERING_REGION_SHIFT_HPP
#define PARSLEYPLANK_STEERING_REGION_SHIFT_HPP

// Limits how fast the requests of a region move to other regions and back. The
// part that goes follows the part that would be served sooner there, but no
// faster than the cap. While fewer would be, others go in their place, those
// that lose least by it before the rest.

#include <parsleyplank/core/clock.hpp>

namespace parsleyplank::steering
{

struct shift_options
{
    // Part of the requests by which the part that goes may change per second.
    // Half of a cap over two seconds, less what chance adds.
    double change_per_s = 0.06;
    // The wanted part is an average over about this time.
    milliseconds memory{1'000};
    // Requests that are due to go before one that loses by it is sent in their
    // place; twice as many before one that loses more than the tolerable loss.
    double due_before_forced = 2;
    double tolerable_loss_ms = 250;
};

struct region_shift
{
    // Weights of the recent requests: all, and those that wanted to go.
    double all = 0;
    double wanting = 0;
    // Part of the requests that may go.
    double allowed = 0;
    // Requests that are due to go.
    double due = 0;
    time_point updated{};
};

// Returns the state at a start, before any request shows what is wanted: the
// part of the region's requests for which it has no servers if all servers are
// used alike. The parts are those of the region in all callers and in all
// slots.
region_shift start_shift(double callers_part, double slots_part,
                         time_point now);

// Returns whether a request goes to another region, and counts it.
bool goes_abroad(region_shift& shift, double benefit_ms,
                 const shift_options& options, time_point now);

} // namespace parsleyplank::steering

#endif
