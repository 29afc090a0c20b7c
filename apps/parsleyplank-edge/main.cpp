// parsleyplank-edge: an instance on the users' platform. Serves callers, the
// directory, its health check and optionally metrics. Exits with status 0 after
// a graceful shutdown (SIGTERM, SIGINT), 2 if the settings are invalid, and 1
// after any other failure. SIGHUP reloads the settings file.

#include <parsleyplank/core/crash_report.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/edge/control_plane.hpp>

#include <malloc.h>
#include <platform/adapter.hpp>
#include <platform/platform_store.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <log4cplus/loggingmacros.h>

using namespace parsleyplank;

namespace
{

// Time without data on a connection to the store after which the connection is
// considered broken.
constexpr milliseconds store_silence_timeout{3'000};
constexpr milliseconds store_call_timeout{1'500};

// Size in bytes from which memory goes back to the system when it is released.
// By default the allocator raises it with each large body that it releases, and
// bodies then leave gaps that small blocks keep open.
constexpr int mapped_block_bytes = 131'072;

// Blocks or unblocks SIGHUP in the calling thread. Until the instance handles
// it, it would end the process.
void mask_reload_signal(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}

std::unique_ptr<store::lease_store> open_store(const edge::settings& config)
{
    store::http_settings where;
    where.address = config.store.address;
    where.port = config.store.port;
    where.call_timeout = store_call_timeout;
    where.silence_timeout = store_silence_timeout;
    where.max_response_bytes = edge::max_store_response_bytes(config);
    return std::make_unique<platform::platform_store>(where);
}

// Reads the settings again and applies the log level. All other settings take
// effect only at the next start; logs whether the addresses of callers and
// store are unchanged.
void reload(const std::string& file, const edge::settings& running)
{
    const auto log = component_logger("settings");
    try
    {
        const auto next = edge::read_settings(file);
        set_log_level(next.log_level);
        LOG4CPLUS_INFO(log, "event=reload file="
                                << file << " same_addresses="
                                << (next.callers == running.callers &&
                                    next.store == running.store));
    }
    catch (const config_error& ec)
    {
        LOG4CPLUS_ERROR(log,
                        "event=reload_failed detail=\"" << ec.what() << '"');
    }
}

void run_instance(const std::string& file, const edge::settings& config)
{
    const auto adapter = platform::make_adapter();
    telemetry::metrics counters;
    edge::traffic_plane traffic(config, adapter, counters);
    edge::control_plane control(
        config, adapter, [&] { return open_store(config); }, traffic, counters,
        edge::control_options_for(config.bounds));
    control.watch_settings(file, [&] { reload(file, config); });
    mask_reload_signal(SIG_UNBLOCK);
    control.run();
    // Exits without joining the threads that call the store: they may block for
    // the duration of a watch, which is longer than the platform gives a
    // process to end.
    stop_logging();
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
    install_crash_report();
    mask_reload_signal(SIG_BLOCK);
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    try
    {
        TCLAP::CmdLine cmd("Instance of the parsleyplank traffic steering "
                           "system on the users' platform",
                           ' ', "0.2");
        TCLAP::UnlabeledValueArg<std::string> file(
            "settings", "TOML file with the settings of this instance", true,
            "", "FILE", cmd);
        TCLAP::SwitchArg check("", "check",
                               "only check the settings file, then exit", cmd);
        cmd.parse(argc, argv);
        const auto config = edge::read_settings(file.getValue());
        if (check.getValue())
            return 0;
        start_bounded_logging(config.log_level, config.log_lines_per_s);
        run_instance(file.getValue(), config);
        return 0;
    }
    catch (const config_error& ec)
    {
        std::cerr << "parsleyplank-edge: " << ec.what() << '\n';
        return 2;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "parsleyplank-edge: " << ec.what() << '\n';
        return 1;
    }
}
