#ifndef PARSLEYPLANK_EDGE_SIGNAL_WATCH_HPP
#define PARSLEYPLANK_EDGE_SIGNAL_WATCH_HPP

// Waits for signals on a thread of its own, so that the time of a signal is
// known even if the thread that handles it is busy.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/proxy/messages.hpp>

#include <functional>
#include <thread>

namespace parsleyplank::edge
{

class signal_watch
{
public:
    // Called on the watch's thread with the number of the signal and the time
    // at which it was noticed.
    using handler = std::function<void(int, time_point)>;

    // Handles SIGTERM, SIGINT and SIGHUP from now on.
    explicit signal_watch(handler handle);
    ~signal_watch();

    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    void wait();

    const handler handle;
    proxy::asio::io_context io;
    proxy::asio::signal_set signals;
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
