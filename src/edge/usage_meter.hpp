#ifndef PARSLEYPLANK_EDGE_USAGE_METER_HPP
#define PARSLEYPLANK_EDGE_USAGE_METER_HPP

// Counts the requests of each customer that backend servers begin to run. A
// request counts when it is sent, so that little is lost with a process that is
// killed, and its result corrects the count.

#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/proxy/upstream_call.hpp>
#include <parsleyplank/usage/window.hpp>

namespace parsleyplank::edge
{

struct usage_meter
{
    // Whether usage is accounted for in this deployment.
    bool enabled = false;
    milliseconds window_length{5'000};
    usage::window_clock clock;
    // Changes of the counts that were not collected yet.
    usage::window_counts changes;
};

// Returns a meter that is enabled if the settings ask for the duty.
usage_meter make_usage_meter(const usage_settings& settings,
                             std::string_view duty);

// Returns the time of the wall clock.
usage::unix_time unix_now();

// A send that was counted.
struct counted_send
{
    customer_id customer;
    usage::window_id window;
};

using round_trip_time = std::optional<std::chrono::microseconds>;

// Counts a send that starts now to a server at this distance. Returns nullopt
// if usage is not accounted for.
std::optional<counted_send> count_usage(usage_meter& meter,
                                        const customer_id& customer,
                                        const round_trip_time& round_trip,
                                        boot_time now);

// Returns whether the server may have begun to run the request. `refused` tells
// that the server has answered that it did not execute it.
bool was_run(const proxy::call_result& result, bool refused);

// Corrects the count of a send that has ended now: takes it back if the request
// has not run, and moves it to the window in which it was written otherwise.
void correct_usage(usage_meter& meter, const counted_send& counted,
                   const proxy::call_result& result, bool has_run,
                   const round_trip_time& round_trip, boot_time now);

// Returns and forgets the changes. Call at a regular interval, which also
// compares the clocks.
usage::window_counts collect_usage(usage_meter& meter, boot_time now,
                                   usage::unix_time wall);

} // namespace parsleyplank::edge

#endif
