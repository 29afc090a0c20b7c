// parsleyplank-entry: an entry instance. Exits 0 after a graceful shutdown
// (SIGTERM, SIGINT or POST /drain), 2 if its arguments or settings are wrong,
// 1 after any other failure.

#include <parsleyplank/core/crash_report.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/node.hpp>

#include <pthread.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <thread>

using namespace parsleyplank;

namespace
{

// Blocks the stop signals in all threads, so that one thread can wait for them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Begins a graceful shutdown when a stop signal comes; returns once ended is
// set.
void wait_for_stop(const sigset_t& signals, entry::node& node,
                   const std::atomic<bool>& ended)
{
    const timespec poll_interval{0, 200'000'000};
    while (!ended)
        if (sigtimedwait(&signals, nullptr, &poll_interval) > 0)
            node.begin_drain();
}

void run_node(const entry::settings& settings)
{
    const auto signals = block_stop_signals();
    entry::node node(settings);
    std::atomic<bool> ended{false};
    std::thread waiter([&] { wait_for_stop(signals, node, ended); });
    node.run();
    ended = true;
    waiter.join();
}

} // namespace

int main(int argc, char** argv)
{
    install_crash_report();
    try
    {
        TCLAP::CmdLine cmd(
            "Entry instance of the parsleyplank traffic steering "
            "system",
            ' ', "0.1");
        TCLAP::UnlabeledValueArg<std::string> file(
            "settings", "TOML file with the settings of this instance", true,
            "", "FILE", cmd);
        TCLAP::SwitchArg check("", "check",
                               "only check the settings file, then exit", cmd);
        cmd.parse(argc, argv);
        const auto settings = entry::read_settings(file.getValue());
        if (check.getValue())
            return 0;
        start_logging(settings.log_level);
        run_node(settings);
        return 0;
    }
    catch (const config_error& ec)
    {
        std::cerr << "parsleyplank-entry: " << ec.what() << '\n';
        return 2;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "parsleyplank-entry: " << ec.what() << '\n';
        return 1;
    }
}
