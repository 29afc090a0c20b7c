#ifndef PARSLEYPLANK_REVIEW_2_UPSTREAM_HPP
#define PARSLEYPLANK_REVIEW_2_UPSTREAM_HPP

// A sound upstream on a loopback address: runs each request that names it, and
// answers with the id of the request, a seal and the whole body.

#include "platform_store.hpp"
#include "record.hpp"

#include <atomic>
#include <mutex>
#include <vector>

namespace review2
{

struct run_request
{
    std::string method;
    std::string target;
    std::string id;
    std::string body;
};

class upstream
{
public:
    // Registers itself in the store, as cold if there is a warm-up.
    upstream(std::string id, std::string service, std::string zone,
             platform_store& store, record& log,
             milliseconds warmup = milliseconds(0));

    // Each further run takes this time.
    void set_work_time(milliseconds time);
    // Says in the store that it is draining.
    void drain();

    std::vector<run_request> runs() const;

private:
    void serve(connection& caller);
    std::string run(const message& request);

    void report(const std::string& state, milliseconds warmup);

    const std::string id;
    const std::string service;
    const std::string zone;
    platform_store& store;
    record& log;
    int sequence = 0;
    std::atomic<milliseconds> work_time{milliseconds(0)};
    mutable std::mutex guard;
    std::vector<run_request> done;
    // The last member, since its threads use the others.
    server_loop loop;
};

} // namespace review2

#endif
