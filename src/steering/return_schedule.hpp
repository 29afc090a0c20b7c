#ifndef PARSLEYPLANK_STEERING_RETURN_SCHEDULE_HPP
#define PARSLEYPLANK_STEERING_RETURN_SCHEDULE_HPP

// Chooses when a refused caller may return, so that those who return as told
// come spread out, in order of rank and age, and find room. See
// docs/design/return-of-refused.md.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/steering/demand_meter.hpp>

#include <array>
#include <cstdint>

namespace parsleyplank::steering
{

struct return_options
{
    // Room for returning callers relative to the requests placed lately. They
    // are admitted before new callers of their rank, so all of it is theirs.
    double return_part = 1;
    // Part of an interval's room that the most urgent rank alone may take, and
    // the part that callers who have waited alone may take.
    double reserved_by_rank = 0.5;
    double reserved_by_age = 0.25;
    // Time by which a caller has to be earlier than the latest return that it
    // honours, because the refusal takes a while to arrive.
    milliseconds answer_time{20};
    // Half-life of the measured rate of placed requests.
    milliseconds rate_half_life{1'000};
};

// Callers that were told to return, by the interval for which they were told.
// Covers the latest return that is told.
struct return_schedule
{
    static constexpr milliseconds interval{100};
    static constexpr std::size_t intervals = 50;

    std::array<std::uint32_t, intervals> told{};
    // Number of the first interval, counted from the epoch of the clock. Later
    // ones follow in a ring.
    std::int64_t first = 0;
    demand_meter placed;
    time_point measured{};
};

// A caller that is refused for lack of room.
struct refused_caller
{
    // Time that it has left.
    milliseconds time_left{0};
    // Usual time of its request, once it is placed.
    milliseconds work{0};
    // Time after which there may be room.
    milliseconds min_wait{0};
    // Its rank among all ranks of the service and its age, from 0 to 1 each; 0
    // is the most urgent rank and a new caller.
    double rank = 0;
    double age = 0;
};

struct return_time
{
    milliseconds after{0};
    // Whether the request can still be served in its time after that.
    bool in_time = false;
};

// Counts a request that was placed.
void count_placed(return_schedule& schedule);

// Returns when the caller may return and counts it there. `spread` places it
// within its interval and is from 0 to 1. Callers honour a third of the time
// that they have left at most; if no place is free until then, they are spread
// over that time.
return_time schedule_return(return_schedule& schedule,
                            const refused_caller& caller, double spread,
                            const return_options& options, time_point now);

} // namespace parsleyplank::steering

#endif
