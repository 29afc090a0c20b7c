#ifndef PARSLEYPLANK_CORE_PAUSE_DETECTOR_HPP
#define PARSLEYPLANK_CORE_PAUSE_DETECTOR_HPP

// Detects that a process has not run for a while: stopped by a signal, starved
// of processor time, or suspended together with its machine. The monotonic
// clock does not count a suspension, so ages are measured by the clock that
// does.

#include <chrono>
#include <optional>

namespace parsleyplank
{

// Time since the machine was started, including the time for which it was
// suspended.
using boot_time = std::chrono::nanoseconds;

// Returns the current time of the machine's boot clock.
boot_time boot_now();

struct pause_detector
{
    // Longest time between two calls of observe_run() that is no pause.
    std::chrono::milliseconds max_gap{0};
    // Time of the last call.
    std::optional<boot_time> last_seen;
};

// Records that the process runs. Returns the time since the last call if that
// was a pause.
std::optional<std::chrono::milliseconds> observe_run(pause_detector& detector,
                                                     boot_time now);

} // namespace parsleyplank

#endif
