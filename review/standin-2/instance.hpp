#ifndef PARSLEYPLANK_REVIEW_2_INSTANCE_HPP
#define PARSLEYPLANK_REVIEW_2_INSTANCE_HPP

// A process of parsleyplank-edge with settings as deploy/settings.toml.in gives
// them, on loopback addresses.

#include "platform_store.hpp"
#include "record.hpp"

#include <sys/resource.h>
#include <sys/types.h>

namespace review2
{

// What the settings say of a machine and the bounds of its site.
struct machine
{
    int memory_mb;
    int descriptors;
    std::string contact;
    std::string drain;
    std::string grace;
    int retry_slack;
};

inline const machine skuffe_glb{260, 4'100, "4000ms", "2500ms", "6s", 58};
inline const machine tokachi_coop_grown{160,      4'100, "4000ms",
                                        "4000ms", "6s",  160};
inline const machine tokachi_coop_large{160,      4'100, "5000ms",
                                        "4000ms", "10s", 630};

class instance
{
public:
    // Writes the settings and the log into the folder.
    instance(std::string name, const std::string& zone,
             const platform_store& store, const std::string& folder,
             record& log, const machine& on = skuffe_glb);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Starts the process. Its log goes on.
    void start();
    // Sends a signal and waits for the end of the process.
    void end(int signal);
    void send(int signal) const;
    // Returns whether the process has ended.
    bool has_ended();
    // Waits until the process says that it is ready.
    bool wait_ready(milliseconds limit) const;

    const std::string& name() const;
    pid_t process() const;
    std::uint16_t callers_port() const;

private:
    const std::string id;
    const std::string folder;
    const rlim_t descriptors;
    record& log;
    pid_t pid = -1;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
};

// A new temporary folder, which is removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::string& path() const;

private:
    std::string name;
};

} // namespace review2

#endif
