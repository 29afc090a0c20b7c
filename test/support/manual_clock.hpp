#ifndef PARSLEYPLANK_TEST_SUPPORT_MANUAL_CLOCK_HPP
#define PARSLEYPLANK_TEST_SUPPORT_MANUAL_CLOCK_HPP

// A clock that moves only when the test says so.

#include <parsleyplank/core/clock.hpp>

namespace parsleyplank::test
{

class manual_clock final : public clock
{
public:
    time_point now() const override
    {
        return mono;
    }

    wall_time wall_now() const override
    {
        return wall;
    }

    void advance(milliseconds by)
    {
        mono += by;
        wall += by;
    }

private:
    // Starts well after the epoch so that subtracting an age stays positive.
    time_point mono{std::chrono::hours(1)};
    wall_time wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace parsleyplank::test

#endif
