#ifndef PARSLEYPLANK_USAGE_WINDOW_HPP
#define PARSLEYPLANK_USAGE_WINDOW_HPP

// Windows of the wall clock in which the requests of customers are counted.
// Window k begins k times its length after the start of 1970.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/pause_detector.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace parsleyplank::usage
{

using window_id = number_id<struct window_tag>;

// Time since the start of 1970.
using unix_time = std::chrono::nanoseconds;

// Requests of each customer; without customers whose count is zero.
using customer_counts = std::map<customer_id, std::int64_t>;
using window_counts = std::map<window_id, customer_counts>;

// Returns the window that contains the time. The length must be positive.
window_id window_at(unix_time at, milliseconds length);

// Returns the end of a window.
unix_time window_end(window_id window, milliseconds length);

// Adds to the count of one customer, or the counts of other windows.
void add_count(window_counts& counts, window_id window,
               const customer_id& customer, std::int64_t change);
void add_counts(window_counts& counts, const window_counts& more);

// Removes the windows before this one.
void remove_before(window_counts& counts, window_id first);

struct clock_options
{
    // Largest change of the wall clock against the boot clock that is followed
    // at once. Larger ones are steps, which may be wrong.
    milliseconds max_change{1'000};
    // Time after which a step is followed.
    milliseconds step_delay{30'000};
};

// The wall clock, read through the boot clock, so that a step of the wall clock
// that is soon taken back moves no request into another window.
struct window_clock
{
    clock_options options;
    // Difference between the wall clock and the boot clock; unset before the
    // first observation.
    std::optional<std::chrono::nanoseconds> offset;
    // Start of a step that is not followed yet.
    std::optional<boot_time> step_since;
};

// Compares the clocks. Call at a regular interval.
void observe_clocks(window_clock& clock, boot_time boot, unix_time wall);

// Returns the wall time at a time of the boot clock, or zero before the first
// observation.
unix_time wall_at(const window_clock& clock, boot_time boot);

} // namespace parsleyplank::usage

#endif
