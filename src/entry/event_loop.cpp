#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/event_loop.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

// Bounds the wait when no timer is set.
constexpr milliseconds idle_wait{1'000};

void run_guarded(const event_loop::task& t)
{
    try
    {
        t();
    }
    catch (const std::exception& ec)
    {
        LOG4CPLUS_ERROR(component_logger("control"),
                        "Task failed: " << ec.what());
    }
}

} // namespace

event_loop::event_loop(const clock& time) : time(time)
{
}

void event_loop::post(task t)
{
    {
        const std::lock_guard lock(guard);
        if (stopping)
            return;
        posted.push_back(std::move(t));
    }
    wake.notify_one();
}

void event_loop::call_at(time_point when, task t)
{
    timers.push({when, next_order++, std::move(t)});
}

void event_loop::call_every(milliseconds interval, task t)
{
    auto repeat = [this, interval, t = std::move(t)]
    {
        run_guarded(t);
        call_every(interval, t);
    };
    call_at(now() + interval, std::move(repeat));
}

std::vector<event_loop::task> event_loop::take_posted()
{
    std::unique_lock lock(guard);
    const auto until = timers.empty() ? now() + idle_wait : timers.top().when;
    wake.wait_until(lock, until,
                    [this] { return stopping || !posted.empty(); });
    return std::exchange(posted, {});
}

void event_loop::run_due_timers()
{
    while (!timers.empty() && timers.top().when <= now())
    {
        const auto t = timers.top().run;
        timers.pop();
        run_guarded(t);
    }
}

void event_loop::run()
{
    const auto stop_asked = [this]
    {
        const std::lock_guard lock(guard);
        return stopping;
    };
    while (!stop_asked())
    {
        std::ranges::for_each(take_posted(), run_guarded);
        run_due_timers();
    }
    // What waits for these tasks must not wait for ever.
    std::vector<task> dropped;
    const std::lock_guard lock(guard);
    dropped.swap(posted);
}

void event_loop::stop()
{
    {
        const std::lock_guard lock(guard);
        stopping = true;
    }
    wake.notify_one();
}

time_point event_loop::now() const
{
    return time.now();
}

std::size_t event_loop::backlog() const
{
    const std::lock_guard lock(guard);
    return posted.size();
}

} // namespace parsleyplank::entry
