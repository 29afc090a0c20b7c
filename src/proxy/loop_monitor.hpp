#ifndef PARSLEYPLANK_PROXY_LOOP_MONITOR_HPP
#define PARSLEYPLANK_PROXY_LOOP_MONITOR_HPP

// Measures by how much an event loop is late: for how long an event that is
// due waits until it is handled. Not thread-safe: used by the loop's thread
// only.

#include <parsleyplank/proxy/messages.hpp>

namespace parsleyplank::proxy
{

class loop_monitor
{
public:
    explicit loop_monitor(asio::io_context& io);

    // Returns the delay of the last event, or that of the one which is overdue
    // now if it is longer.
    std::chrono::microseconds delay() const;

private:
    void schedule();

    asio::steady_timer timer;
    std::chrono::microseconds last_delay{0};
};

} // namespace parsleyplank::proxy

#endif
