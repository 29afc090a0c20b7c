#include <parsleyplank/edge/signal_watch.hpp>

#include <csignal>

namespace parsleyplank::edge
{

signal_watch::signal_watch(handler handle_signal)
    : handle(std::move(handle_signal)), io(1),
      signals(io, SIGTERM, SIGINT, SIGHUP)
{
    wait();
    thread = std::thread([this] { io.run(); });
}

signal_watch::~signal_watch()
{
    io.stop();
    thread.join();
}

void signal_watch::wait()
{
    signals.async_wait(
        [this](const proxy::error_code& ec, int number)
        {
            if (ec)
                return;
            handle(number, std::chrono::steady_clock::now());
            wait();
        });
}

} // namespace parsleyplank::edge
