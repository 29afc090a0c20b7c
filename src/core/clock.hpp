#ifndef PARSLEYPLANK_CORE_CLOCK_HPP
#define PARSLEYPLANK_CORE_CLOCK_HPP

// Time as the decision libraries see it. They take a time_point argument and
// never read a clock; processes read the clock through this interface, and
// tests pass a manual one.

#include <chrono>

namespace parsleyplank
{

using std::chrono::milliseconds;

// Monotonic time of this process. Never compared between machines.
using time_point = std::chrono::steady_clock::time_point;
// Calendar time, for retention and for display only.
using wall_time = std::chrono::system_clock::time_point;

class clock
{
public:
    virtual ~clock() = default;

    // Returns the monotonic time.
    virtual time_point now() const = 0;

    // Returns the calendar time.
    virtual wall_time wall_now() const = 0;
};

// The clocks of this machine.
class system_clock final : public clock
{
public:
    time_point now() const override;
    wall_time wall_now() const override;
};

} // namespace parsleyplank

#endif
