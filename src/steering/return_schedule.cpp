#include <parsleyplank/steering/return_schedule.hpp>

#include <algorithm>

namespace parsleyplank::steering
{

namespace
{

// Callers honour a Retry-After up to this part of the time that they have left.
constexpr int honoured_part = 3;

std::int64_t interval_of(time_point when)
{
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()) /
           return_schedule::interval;
}

std::size_t place_of(std::int64_t interval)
{
    return static_cast<std::size_t>(interval) % return_schedule::intervals;
}

// Clears the intervals that have passed since the last call.
void advance(return_schedule& schedule, time_point now)
{
    const auto current = interval_of(now);
    constexpr auto all = static_cast<std::int64_t>(return_schedule::intervals);
    const auto passed =
        std::clamp<std::int64_t>(current - schedule.first, 0, all);
    for (std::int64_t i = 0; i < passed; ++i)
        schedule.told[place_of(current - 1 - i)] = 0;
    schedule.first = std::max(schedule.first, current);
}

// Returns the callers per interval for which there is room.
double room_per_interval(return_schedule& schedule,
                         const return_options& options, time_point now)
{
    const auto rate =
        now - schedule.measured >= return_schedule::interval
            ? measure_demand(schedule.placed, options.rate_half_life, now)
            : schedule.placed.per_second;
    if (now - schedule.measured >= return_schedule::interval)
        schedule.measured = now;
    const std::chrono::duration<double> span = return_schedule::interval;
    return rate * options.return_part * span.count();
}

// Intervals among which a place is looked for, and the callers for which each
// has room.
struct interval_range
{
    std::int64_t begin;
    std::int64_t end;
    double room;
};

// Returns the first interval with a free place, or the end of the range. At a
// low rate an interval has room for a fraction of a caller, so a place is free
// if all callers up to it have room together.
std::int64_t find_place(const return_schedule& schedule,
                        const interval_range& range)
{
    double told = 0;
    double places = 0;
    for (auto it = schedule.first; it < range.end; ++it)
    {
        const auto here = schedule.told[place_of(it)];
        told += here;
        places += range.room;
        if (it >= range.begin && told + 1 <= places &&
            here < std::max(1.0, range.room))
            return it;
    }
    return range.end;
}

} // namespace

void count_placed(return_schedule& schedule)
{
    count_demand(schedule.placed);
}

return_time schedule_return(return_schedule& schedule,
                            const refused_caller& caller, double spread,
                            const return_options& options, time_point now)
{
    advance(schedule, now);
    const auto room = room_per_interval(schedule, options, now);
    const auto honoured =
        std::max(milliseconds(0),
                 caller.time_left / honoured_part - options.answer_time);
    const auto reserved = caller.rank * options.reserved_by_rank +
                          (1 - caller.age) * options.reserved_by_age;
    const interval_range range{
        interval_of(now + caller.min_wait),
        std::min(interval_of(now + honoured),
                 schedule.first +
                     static_cast<std::int64_t>(return_schedule::intervals) - 1),
        room * (1 - reserved)};
    const auto chosen = find_place(schedule, range);
    ++schedule.told[place_of(chosen)];
    const auto at = time_point(chosen * return_schedule::interval) +
                    std::chrono::duration_cast<milliseconds>(
                        return_schedule::interval * spread);
    const auto min_wait = std::min(caller.min_wait, honoured);
    return_time found;
    found.after = min_wait + std::chrono::duration_cast<milliseconds>(
                                 (honoured - min_wait) * spread);
    if (chosen != range.end)
        found.after =
            std::clamp(std::chrono::duration_cast<milliseconds>(at - now),
                       min_wait, honoured);
    found.in_time = caller.time_left - found.after >= caller.work;
    return found;
}

} // namespace parsleyplank::steering
