#ifndef PARSLEYPLANK_EDGE_USAGE_CALLER_HPP
#define PARSLEYPLANK_EDGE_USAGE_CALLER_HPP

// Sends usage reports to the platform on a thread of its own, one at a time, so
// that a slow platform blocks no other thread.

#include <parsleyplank/core/pause_detector.hpp>
#include <parsleyplank/edge/adapter.hpp>
#include <parsleyplank/store/http_call.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace parsleyplank::edge
{

// How a call ended.
struct usage_call_result
{
    // HTTP status; 0 if there was no response.
    int status = 0;
    // Reason for a missing response.
    std::string detail;
};

class usage_caller
{
public:
    using done_handler = std::function<void(const usage_call_result&)>;

    // Starts the thread. Does not connect.
    explicit usage_caller(store::http_settings platform);
    ~usage_caller();

    usage_caller(const usage_caller&) = delete;
    usage_caller& operator=(const usage_caller&) = delete;

    // Sends the request unless the boot clock has passed `valid_until` by then:
    // the process may have been paused. Calls back on the thread. Returns false
    // and does nothing if the last call has not ended.
    bool call(usage_request request, boot_time valid_until, done_handler done);

private:
    struct pending_call
    {
        usage_request request;
        boot_time valid_until{0};
        done_handler done;
    };

    void run();
    usage_call_result perform(const pending_call& it);

    store::http_call http;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<pending_call> pending;
    bool stopping = false;
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
