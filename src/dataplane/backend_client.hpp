#ifndef PARSLEYPLANK_DATAPLANE_BACKEND_CLIENT_HPP
#define PARSLEYPLANK_DATAPLANE_BACKEND_CLIENT_HPP

// HTTP client for backend servers over libcurl. Each upstream has one traffic
// thread with a connection cache of its own, which makes the bound of
// connections per upstream exact.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/dataplane/header_filter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace parsleyplank::dataplane
{

struct backend_call
{
    upstream_id upstream;
    // IP address of the backend server.
    std::string address;
    std::uint16_t port = 0;
    std::string method = "GET";
    // Path and query, starting with '/'.
    std::string target = "/";
    // Sent as they are; run header_filter first. Names and values with control
    // characters make the call fail as not_sent.
    header_list headers;
    // May be null. Shared, so that a retry does not copy it.
    std::shared_ptr<const std::string> body;
    // Sent as X-Request-Id.
    request_id id;
    // The remaining time is sent as X-Deadline-Ms.
    time_point deadline;
    // Uses a connection of its own and closes it. Needed for every request that
    // must not run twice: libcurl re-sends a request, a POST too, if a reused
    // connection closes before a response.
    bool fresh_connection = false;
    // An idempotent GET or HEAD without a first response byte after this time
    // is sent again on a fresh connection, once. 0 means never.
    milliseconds hedge_after{0};
};

enum class call_outcome
{
    response, // a complete response to this very request
    not_sent, // no byte of the request was sent
    lost,     // sent or partly sent, no complete response
    deadline, // the deadline passed first
    cancelled // cancel() or the client's destruction came first
};

// Returns the name, e.g. "not_sent".
std::string_view to_string(call_outcome outcome);

struct call_result
{
    call_outcome outcome = call_outcome::lost;
    // False only if surely no byte of the request was sent; then the request
    // has not run, also with outcome deadline or cancelled.
    bool maybe_sent = true;
    // Set with outcome response.
    int status = 0;
    header_list headers;
    std::string body;
    // Cause of a failure, for logs.
    std::string detail;
    // Whether a second, hedging attempt was made.
    bool hedged = false;
    // Whether a connection was made for the call. The latency then includes
    // what the server spends on a new connection.
    bool new_connection = false;
    // From the start of the call to its end.
    std::chrono::microseconds duration{0};
};

// Called exactly once per call, on a traffic thread; must not block.
using call_callback = std::function<void(call_result)>;

struct client_options
{
    // Connections per upstream, idle ones included. Calls beyond it wait until
    // their deadline.
    std::size_t connections_per_upstream = 32;
    milliseconds connect_timeout{1'000};
    // An unused connection is closed after this time.
    std::chrono::seconds idle_connection_age{60};
    // A larger response counts as lost.
    std::size_t max_response_bytes = 20'000'000;
};

class backend_client
{
public:
    using call_number = std::uint64_t;

    // Throws error if libcurl can't be started.
    explicit backend_client(const client_options& options);

    // Cancels the outstanding calls and waits for their callbacks.
    ~backend_client();

    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    // Starts a call; thread-safe. Returns its number for cancel.
    call_number send(backend_call call, call_callback callback);

    // Ends a call early, if it has not ended; its connection is closed. The
    // callback still runs, once.
    void cancel(call_number number);

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace parsleyplank::dataplane

#endif
