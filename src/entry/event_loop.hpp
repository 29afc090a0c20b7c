#ifndef PARSLEYPLANK_ENTRY_EVENT_LOOP_HPP
#define PARSLEYPLANK_ENTRY_EVENT_LOOP_HPP

// The control thread: runs posted functions and timers one after the other, so
// that control state needs no locks.

#include <parsleyplank/core/clock.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <vector>

namespace parsleyplank::entry
{

class event_loop
{
public:
    using task = std::function<void()>;

    // The clock must outlive the loop.
    explicit event_loop(const clock& time);

    // Queues a task; any thread may call. Tasks run in the order of posting.
    void post(task t);

    // Runs the task at this time or later. Only from the loop's thread, or
    // before run().
    void call_at(time_point when, task t);

    // Runs the task now and then each interval, until the loop stops. An
    // interval that was missed while a task ran or the process was paused is
    // skipped. Only from the loop's thread, or before run().
    void call_every(milliseconds interval, task t);

    // Runs tasks until stop(). An exception that a task lets out is logged and
    // the loop goes on.
    void run();

    // Ends run() after the current task; any thread may call.
    void stop();

    time_point now() const;

    // Returns the number of posted tasks that wait.
    std::size_t backlog() const;

private:
    struct timer
    {
        time_point when;
        std::uint64_t order;
        task run;
    };

    struct later
    {
        bool operator()(const timer& a, const timer& b) const
        {
            return std::pair(a.when, a.order) > std::pair(b.when, b.order);
        }
    };

    std::vector<task> take_posted();
    void run_due_timers();

    const clock& time;
    std::priority_queue<timer, std::vector<timer>, later> timers;
    std::uint64_t next_order = 0;

    mutable std::mutex guard;
    std::condition_variable wake;
    std::vector<task> posted;
    bool stopping = false;
};

} // namespace parsleyplank::entry

#endif
