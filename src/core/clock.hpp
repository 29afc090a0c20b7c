#ifndef PARSLEYPLANK_CORE_CLOCK_HPP
#define PARSLEYPLANK_CORE_CLOCK_HPP

// Time points and the clock interface. The decision libraries take the current
// time as an argument and never read a clock. Processes read the clock through
// this interface, and tests pass a manual clock.

#include <chrono>

namespace parsleyplank
{

using std::chrono::milliseconds;

// Monotonic time of this process. Values of different machines are not
// comparable.
using time_point = std::chrono::steady_clock::time_point;
// Calendar time, used only for retention and display.
using wall_time = std::chrono::system_clock::time_point;

// Source of the current time.
class clock
{
public:
    virtual ~clock() = default;

    // Returns the monotonic time.
    virtual time_point now() const = 0;

    // Returns the calendar time.
    virtual wall_time wall_now() const = 0;
};

// Reads the clocks of this machine.
class system_clock final : public clock
{
public:
    time_point now() const override;
    wall_time wall_now() const override;
};

} // namespace parsleyplank

#endif
