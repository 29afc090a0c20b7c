#ifndef PARSLEYPLANK_STEERING_REGION_SHIFT_HPP
#define PARSLEYPLANK_STEERING_REGION_SHIFT_HPP

// Which requests of a region are served in other regions, and how fast that
// changes. Objects move, not single requests, so that they stay warm where they
// are. The part that moves grows while many requests would be served sooner
// elsewhere and falls while few would, never faster than the cap.

#include <parsleyplank/core/clock.hpp>

#include <optional>

namespace parsleyplank::steering
{

struct shift_options
{
    // Part of the requests by which the part that moves may change per second.
    // Both stay below half of the cap over two seconds: objects move in steps,
    // and the requests of a window are few.
    double growth_per_s = 0.05;
    double fall_per_s = 0.04;
    // The part that would be served sooner elsewhere is an average over about
    // this time.
    milliseconds averaging_time{1'000};
    // It grows above the first level and falls below the second.
    double growth_threshold = 0.2;
    double fall_threshold = 0.08;
};

// Returns options that keep a cap on the part that changes within two seconds.
shift_options shift_options_for(double cap);

struct region_shift
{
    // Weights of the recent requests: all, and those that would be served
    // sooner elsewhere.
    double total = 0;
    double benefiting = 0;
    // Part of the requests that moves.
    double shifted_part = 0;
    // Requests without an object that are due to move.
    double credit = 0;
    time_point updated{};
};

// Returns the state at a start, before any request shows what is wanted: the
// part of the region's requests for which it has no servers if all servers are
// used alike. The parts are those of the region in all callers and in all
// slots.
region_shift initial_shift(double callers_part, double slots_part,
                           time_point now);

// Returns whether a request goes to another region, and counts it. The benefit
// is how much sooner it would be served there. The place is the object's, from
// 0 to 1, the same at all instances; nothing if the request has no object.
bool shift_request(region_shift& shift, double benefit_ms,
                   std::optional<double> position, const shift_options& options,
                   time_point now);

} // namespace parsleyplank::steering

#endif
