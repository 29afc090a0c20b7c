#ifndef PARSLEYPLANK_CORE_RESPONSE_BACKLOG_HPP
#define PARSLEYPLANK_CORE_RESPONSE_BACKLOG_HPP

// The responses that were written to a connection and that its caller may not
// have received. Not thread-safe.

#include <parsleyplank/core/clock.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace parsleyplank
{

// Number of bytes of a request's id that are kept for logs: the caller chooses
// its length.
inline constexpr std::size_t max_logged_id = 64;

struct written_response
{
    // Start of the id of the request; empty if the caller gave none.
    std::string request_id;
    // Start of the write.
    time_point started;
    // Number of bytes written to the connection up to the end of the response.
    std::uint64_t end = 0;
};

struct response_backlog
{
    // Number of all bytes written to the connection.
    std::uint64_t written = 0;
    // In the order in which they were written.
    std::deque<written_response> responses;
};

// Adds a response whose bytes are the last of those that have been written to
// the descriptor. Removes those that were received if there are many.
void add_response(response_backlog& backlog, int descriptor,
                  std::string request_id, time_point started);

// Returns the number of written bytes that the other end has acknowledged.
std::uint64_t received_bytes(const response_backlog& backlog, int descriptor);

// Removes the responses that the other end of the connection has acknowledged.
// Returns whether none is left.
bool remove_received(response_backlog& backlog, int descriptor);

} // namespace parsleyplank

#endif
