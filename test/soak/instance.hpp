#ifndef PARSLEYPLANK_TEST_SOAK_INSTANCE_HPP
#define PARSLEYPLANK_TEST_SOAK_INSTANCE_HPP

// A process of parsleyplank-edge with the ways that lead to it, and the times
// at which it was disturbed. Its ports are reserved, so that several soaks can
// run on one machine.

#include "relay.hpp"

#include <sys/types.h>

#include <optional>
#include <random>

namespace soak
{

// Ways to an instance.
enum class path_kind
{
    direct,
    delayed,
    lossy
};

struct instance_settings
{
    std::string id;
    std::string store;
    // Folder of the settings file and the log.
    std::string folder;
    milliseconds grace{6'000};
    int memory_mb = 260;
    int max_descriptors = 4'100;
};

// A span in which an instance was impaired without a plan.
struct impairment
{
    clock::time_point start;
    clock::time_point end;
};

class instance
{
public:
    // Writes the settings with reserved ports and starts the program that the
    // environment variable EDGE names. Throws std::runtime_error if that fails.
    instance(instance_settings settings, review::record& log);

    // Kills the process if it still runs.
    ~instance();

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Returns whether the process responds to its health check with 200.
    bool is_ready() const;

    // Waits until the process is ready. Returns whether it is.
    bool wait_ready(milliseconds limit) const;

    void send_signal(int number);

    // Writes the settings file again with another log level.
    void rewrite_settings();

    // Sends SIGTERM, further signals at random, and SIGKILL after the grace
    // time. Returns when the process has ended.
    void stop(std::mt19937 rng);

    // Ends the process with SIGKILL.
    void kill();

    // Stops the process for this time (SIGSTOP, SIGCONT).
    void freeze(milliseconds time);

    bool has_ended();

    // Returns the port of callers on this way to the instance.
    std::uint16_t callers_port(path_kind path) const;

    std::uint16_t directory_port() const;
    std::uint16_t readiness_port() const;
    std::uint16_t admin_port() const;
    // Port of the messages between instances, over TCP.
    std::uint16_t peer_port() const;

    pid_t process_id() const
    {
        return pid;
    }

    // Returns whether a connection from this port did not reach the process.
    bool has_refused(std::uint16_t caller_port) const;

    std::string log_file() const;

    const instance_settings& settings() const
    {
        return chosen;
    }

    // To be read by other threads once the disturbances have ended; stopped_at
    // at any time.
    std::atomic<clock::time_point> stopped_at{};
    clock::time_point ended_at{};
    std::vector<impairment> impairments;
    // Faults of the process itself.
    std::vector<std::string> faults;

private:
    void write_settings(const std::string& level) const;

    const instance_settings chosen;
    review::record& log;
    // Holds the first port of the block of this instance.
    const int reservation;
    const std::uint16_t first_port;
    // Keeps a signal from a process that has taken the id of this one.
    std::mutex mutex;
    pid_t pid = -1;
    bool ended = false;
    bool killed = false;
    std::unique_ptr<relay> delayed;
    std::unique_ptr<relay> lossy;
};

} // namespace soak

#endif
