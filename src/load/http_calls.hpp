#ifndef PARSLEYPLANK_LOAD_HTTP_CALLS_HPP
#define PARSLEYPLANK_LOAD_HTTP_CALLS_HPP

// Many HTTP calls at a time on one thread, over libcurl's multi interface.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyplank::load
{

using std::chrono::milliseconds;

struct http_call
{
    std::string method;
    std::string url;
    // "Name: value"
    std::vector<std::string> headers;
    std::string body;
    milliseconds timeout{10'000};
    // libcurl sends a request again by itself when a kept connection turns out
    // to be closed. False uses a connection of its own, which excludes that.
    bool may_resend = true;
};

struct http_answer
{
    // False if no byte of the request was sent.
    bool sent = false;
    // True if a complete response was received.
    bool answered = false;
    int status = 0;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // Cause if there is no response.
    std::string problem;
};

class http_calls
{
public:
    using handler = std::function<void(const http_answer&)>;

    // Throws error if libcurl can't be set up.
    http_calls();
    ~http_calls();
    http_calls(const http_calls&) = delete;
    http_calls& operator=(const http_calls&) = delete;

    // Starts a call; done is called from a later poll.
    void start(http_call call, handler done);

    // Waits up to the limit for progress and calls the handlers of completed
    // calls. They may start others.
    void poll(milliseconds limit);

private:
    struct transfer;
    struct state;

    void complete(void* handle, int code);

    std::unique_ptr<state> calls;
};

} // namespace parsleyplank::load

#endif
