#include <parsleyplank/core/pause_detector.hpp>

#include <ctime>

namespace parsleyplank
{

boot_time boot_now()
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return std::chrono::seconds(at.tv_sec) +
           std::chrono::nanoseconds(at.tv_nsec);
}

std::optional<std::chrono::milliseconds> observe_run(pause_detector& detector,
                                                     boot_time now)
{
    const auto last = detector.last_seen;
    detector.last_seen = now;
    if (!last || now - *last <= detector.max_gap)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *last);
}

} // namespace parsleyplank
