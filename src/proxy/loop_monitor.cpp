#include <parsleyplank/proxy/loop_monitor.hpp>

#include <algorithm>

namespace parsleyplank::proxy
{

namespace
{

// Time between the events whose delay is measured: the longest for which a
// delay that has ended is still reported.
constexpr milliseconds interval{50};

} // namespace

loop_monitor::loop_monitor(asio::io_context& io) : timer(io)
{
    schedule();
}

std::chrono::microseconds loop_monitor::delay() const
{
    const auto overdue = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - timer.expiry());
    return std::max(last_delay, overdue);
}

void loop_monitor::schedule()
{
    timer.expires_after(interval);
    timer.async_wait(
        [this](const error_code& ec)
        {
            if (ec)
                return;
            last_delay = std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now() - timer.expiry());
            schedule();
        });
}

} // namespace parsleyplank::proxy
