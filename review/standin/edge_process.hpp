#ifndef PARSLEYPLANK_REVIEW_EDGE_PROCESS_HPP
#define PARSLEYPLANK_REVIEW_EDGE_PROCESS_HPP

// A process of parsleyplank-edge, started as the deploy file says.

#include "record.hpp"

#include <sys/types.h>

#include <cstdint>
#include <optional>

namespace review
{

struct edge_settings
{
    std::string id;
    std::string region;
    std::string zone;
    // Failure domains with their regions, as lines of the settings.
    std::string zones;
    std::string store;
    // Folder of the settings file and the log.
    std::string folder;
};

class edge_process
{
public:
    // Writes the settings with free ports and starts the process.
    edge_process(const edge_settings& settings, record& log);

    // Kills the process if it still runs.
    ~edge_process();

    edge_process(const edge_process&) = delete;
    edge_process& operator=(const edge_process&) = delete;

    // Waits until the process is ready. Returns whether it is.
    bool wait_ready(milliseconds limit) const;

    // Sends SIGTERM, and SIGKILL after the grace time, as the platform does.
    // Returns when the process has ended.
    void stop(milliseconds grace);

    // Stops the process for this time (SIGSTOP, SIGCONT).
    void freeze(milliseconds time);

    std::uint16_t callers_port() const
    {
        return callers;
    }

    std::uint16_t directory_port() const
    {
        return directory;
    }

    bool has_ended();

private:
    std::string id;
    record& log;
    pid_t pid = -1;
    bool ended = false;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t directory = 0;
};

// Returns the path of the program, from the environment variable EDGE.
std::string edge_program();

} // namespace review

#endif
