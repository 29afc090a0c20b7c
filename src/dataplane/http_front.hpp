#ifndef PARSLEYPLANK_DATAPLANE_HTTP_FRONT_HPP
#define PARSLEYPLANK_DATAPLANE_HTTP_FRONT_HPP

// HTTP server for callers and for the admin port. Pistache supplies sockets and
// event loops. Request framing is checked here, because
// Pistache 0.0.5 accepts two different Content-Lengths and loses the second of
// two requests in one TCP segment.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/cut_off.hpp>
#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/dataplane/header_filter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace parsleyplank::dataplane
{

struct front_options
{
    // IP address to listen on.
    std::string address = "127.0.0.1";
    // 0 takes an ephemeral port; see http_front::port.
    std::uint16_t port = 0;
    int threads = 2;
    // Open connections; a further one is closed at once.
    std::size_t max_connections = 4'096;
    // Request line and headers of one request.
    std::size_t max_head_bytes = 16'384;
    // Body of one request; a larger one gets 413.
    std::size_t max_body_bytes = 20'000'000;
    // All request bodies together; one more gets 503 with reason body_memory.
    std::size_t max_body_memory = 200'000'000;
    // From the first byte of a request to the end of its headers.
    milliseconds head_timeout{10'000};
    // Longest time without a further byte of the body. A whole body may take
    // this time plus one second for each 16 KiB.
    milliseconds body_timeout{10'000};
    // Between two requests of a connection.
    milliseconds idle_timeout{60'000};
    // Until a caller has received its response, plus one second for each 16 KiB
    // of it; and until it closes a connection that this server has finished
    // with, or stops sending on it.
    milliseconds write_timeout{30'000};
    // During a stop: until a caller closes such a connection.
    milliseconds close_timeout{1'000};
};

struct inbound_request
{
    std::string method;
    // Path without the query, as received (still percent-encoded).
    std::string path;
    // Text after '?', without it.
    std::string query;
    // All fields as received, with lower-case names. A field that appears twice
    // is kept twice, except for the ones that must be unique (400).
    header_list headers;
    std::string body;
    // IP address of the caller.
    std::string peer_address;
    // When the request was complete.
    time_point arrival;
    // Holds the body's part of max_body_memory until the last copy is gone.
    std::shared_ptr<void> body_memory;
};

struct outbound_response
{
    int status = 200;
    // Content-Length and Connection are set by the server.
    header_list headers;
    std::string body;
};

// Returns the response of a refusal: the status of the reason, the headers
// X-Parsleyplank-Reason and X-Parsleyplank-Outcome, and a short text body.
outbound_response make_refusal(refusal_reason reason, run_outcome outcome);

// Completes one request, from any thread. Copies share the one request.
class responder
{
public:
    class state;

    explicit responder(std::shared_ptr<state> request_state);

    // Sends the response. Returns false, without effect, if the request was
    // completed before or its caller has disconnected. If every copy is
    // destroyed before a call, the caller gets 500 with outcome "unknown".
    bool complete(const outbound_response& response) const;

    // Sets the id by which the request is named in logs.
    void name_request(const std::string& id) const;

    // Returns whether the caller has disconnected. A request that has not been
    // dispatched need not be run then.
    bool caller_gone() const;

private:
    std::shared_ptr<state> shared;
};

using request_handler = std::function<void(inbound_request, responder)>;

// Counters since start.
struct front_counters
{
    std::uint64_t requests = 0;
    std::uint64_t bad_requests = 0;
    std::uint64_t body_memory_refusals = 0;
    std::uint64_t early_requests = 0;
    std::uint64_t timeouts = 0;
    std::size_t connections = 0;
    std::size_t outstanding = 0;
    std::size_t body_bytes = 0;
    bool stopping = false;
    // Requests that closes of this server cut off.
    cut_counts cut;
};

class http_front
{
public:
    // Starts to listen. The handler is called on a server thread and must not
    // block; an exception from it gives 500. Throws error if the address can't
    // be bound.
    http_front(const front_options& options, request_handler handler);

    // Stops without waiting for outstanding requests.
    ~http_front();

    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    // Returns the port in use.
    std::uint16_t port() const;

    // From now on responses close their connection, so that callers move to
    // other instances. Requests are still served.
    void drain();

    // Refuses new connections; requests that still arrive on open ones get 503
    // with reason draining. Waits up to the grace time until every outstanding
    // request and every one that is being received has been completed and the
    // callers have received the responses, and closes. Returns whether all that
    // happened.
    bool stop(milliseconds grace);

    front_counters counters() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace parsleyplank::dataplane

#endif
