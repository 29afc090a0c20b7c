#ifndef PARSLEYPLANK_CORE_CLOSE_REASON_HPP
#define PARSLEYPLANK_CORE_CLOSE_REASON_HPP

// Why the connection of a caller is closed, as it is named in logs.

#include <string_view>

namespace parsleyplank
{

enum class close_reason
{
    // The caller closed its end, or the connection failed.
    caller_left,
    // The caller sent nothing for the idle timeout.
    idle_timeout,
    // A request did not arrive in time.
    receive_timeout,
    // The caller did not receive a response in time.
    send_timeout,
    // The caller did not close its end after the last response.
    close_timeout,
    // Room was needed for another connection.
    displaced,
    // Its memory was needed for other callers.
    memory,
    // The instance accepts no more connections.
    stop,
    // Reading or writing failed in an unforeseen way.
    internal_error,
    // The process exits.
    exit
};

std::string_view to_string(close_reason reason);

} // namespace parsleyplank

#endif
