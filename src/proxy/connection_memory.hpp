#ifndef PARSLEYPLANK_PROXY_CONNECTION_MEMORY_HPP
#define PARSLEYPLANK_PROXY_CONNECTION_MEMORY_HPP

// What the connection of a caller costs in memory, and when it is paused or may
// be closed for that. Bodies are counted apart if they have reservations of
// their own. docs/design/caller-memory.md has the reasons.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/proxy/messages.hpp>

namespace parsleyplank::proxy
{

struct connection_memory_options
{
    // Memory of pending requests and responses, in bytes, and number of
    // unreceived responses, from which a connection is not read.
    std::size_t max_pending_bytes = 131'072;
    std::size_t max_unreceived = 512;
    // A connection that holds more, in bytes, may fill only three quarters of
    // the memory of all connections.
    std::size_t max_small_bytes = 65'536;
    // Time after which a caller counts as slow if it has sent less than this
    // rate, in bytes per second, or has received nothing.
    milliseconds slow_time{1'000};
    double min_send_rate = 16'384;
};

// What one connection holds.
struct connection_use
{
    // Capacity of the buffer of what is read ahead.
    std::size_t buffer_bytes = 0;
    // Memory of the request that is being received.
    std::size_t incoming_bytes = 0;
    // Memory of the pending requests and their responses.
    std::size_t pending_bytes = 0;
    // Number of written responses that the caller may not have received.
    std::size_t unreceived = 0;
};

// What a caller has done lately.
struct caller_progress
{
    // Whether a request has been received in part and none is pending.
    bool sending = false;
    // Time since the start of its header or of its body, and bytes of that.
    milliseconds send_time{0};
    std::size_t sent_bytes = 0;
    // Whether a response is being written.
    bool receiving = false;
    // Time since the last part of a response could be written.
    milliseconds blocked_time{0};
};

// Returns the memory of decoded header fields, in bytes.
std::size_t memory_of(const http::fields& fields);

// Returns the memory of a request that is handed on, in bytes: the copy for
// the server holds the fields once more.
std::size_t memory_of_request(const http::fields& fields);

// Returns the memory of a response, in bytes, without a body that has a
// reservation of its own.
std::size_t memory_of_response(const response_message& response,
                               bool body_is_reserved);

// Returns the memory of a connection, in bytes.
std::size_t memory_of(const connection_use& use);

// Returns whether no further request is read until the connection holds less.
bool must_pause(const connection_use& use,
                const connection_memory_options& options);

// Returns whether the connection may be closed for others: the caller owes the
// rest of a request or the receipt of a response.
bool may_close(const caller_progress& progress,
               const connection_memory_options& options);

// Returns the total that the memory of all connections may reach by one that
// holds this much, in bytes.
std::size_t limit_for(std::size_t held, std::size_t limit,
                      const connection_memory_options& options);

} // namespace parsleyplank::proxy

#endif
