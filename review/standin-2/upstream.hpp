#ifndef PARSLEYPLANK_REVIEW_2_UPSTREAM_HPP
#define PARSLEYPLANK_REVIEW_2_UPSTREAM_HPP

// An upstream on a loopback address: runs each request that names it, and
// answers with the id of the request, a seal and the whole body. It is sound
// unless it is told otherwise.

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
    // Registers itself in the store.
    upstream(std::string id, std::string service, std::string zone,
             platform_store& store, record& log);

    // Each further run takes this time.
    void set_work_time(milliseconds time);
    // Each further run is followed by these bytes and the end of the
    // connection, in place of an answer.
    void answer_with(std::string bytes);

    std::vector<run_request> runs() const;

private:
    void serve(connection& caller);
    std::string run(const message& request);

    const std::string id;
    record& log;
    std::atomic<milliseconds> work_time{milliseconds(0)};
    mutable std::mutex guard;
    std::vector<run_request> done;
    std::optional<std::string> faulty_answer;
    // The last member, since its threads use the others.
    server_loop loop;
};

} // namespace review2

#endif
