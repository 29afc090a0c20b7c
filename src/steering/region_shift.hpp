#ifndef PARSLEYPLANK_STEERING_REGION_SHIFT_HPP
#define PARSLEYPLANK_STEERING_REGION_SHIFT_HPP

// Decides which requests of a region are served in other regions, and limits
// how fast that changes. Whole objects are shifted rather than single requests,
// so that each object stays warm on the servers that serve it. The shifted part
// grows while many requests would be served sooner in another region and falls
// while few would, never faster than the cap.

#include <parsleyplank/core/clock.hpp>

#include <optional>

namespace parsleyplank::steering
{

struct shift_options
{
    // Maximum change of the shifted part of the requests per second. Over two
    // seconds both stay below half of the cap, because objects are shifted in
    // steps and a window has few requests.
    double growth_per_s = 0.05;
    double fall_per_s = 0.04;
    // Time constant of the average of the part of the requests that would be
    // served sooner in another region.
    milliseconds averaging_time{1'000};
    // The shifted part grows while that average is above the first threshold
    // and falls while it is below the second.
    double growth_threshold = 0.2;
    double fall_threshold = 0.08;
};

// Returns options that limit the change of the shifted part within two seconds
// to the cap.
shift_options shift_options_for(double cap);

struct region_shift
{
    // Decayed counts of the recent requests: all of them, and those that would
    // be served sooner in another region.
    double total = 0;
    double benefiting = 0;
    // Part of the requests that is served in other regions, from 0 to 1.
    double shifted_part = 0;
    // Accumulated fraction of requests without an object that are still to be
    // shifted.
    double credit = 0;
    time_point updated{};
};

// Returns the initial state, before any requests are observed: shifts the part
// of the region's requests for which it has no slots if all servers are used
// evenly. The arguments are the region's parts of all callers and of all slots.
region_shift initial_shift(double callers_part, double slots_part,
                           time_point now);

// Returns whether a request is served in another region, and counts it. The
// benefit is the number of milliseconds by which it would complete sooner
// there. The position is that of its object, from 0 to 1, equal on all
// instances; nullopt if the request has no object.
bool shift_request(region_shift& shift, double benefit_ms,
                   std::optional<double> position, const shift_options& options,
                   time_point now);

} // namespace parsleyplank::steering

#endif
