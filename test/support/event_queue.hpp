#ifndef PARSLEYPLANK_TEST_SUPPORT_EVENT_QUEUE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_EVENT_QUEUE_HPP

// Events of a simulation by time; events of the same time keep their order.

#include <parsleyplank/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace parsleyplank::test
{

class event_queue
{
public:
    void push(time_point at, std::function<void()> run)
    {
        events.emplace(std::pair(at, next_order++), std::move(run));
    }

    // Returns the time of the next event, or the end of time if there is none.
    time_point next_at() const
    {
        return events.empty() ? time_point::max() : events.begin()->first.first;
    }

    // Removes and returns the next event.
    std::function<void()> pop()
    {
        return std::move(events.extract(events.begin()).mapped());
    }

private:
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events;
    std::uint64_t next_order = 0;
};

} // namespace parsleyplank::test

#endif
