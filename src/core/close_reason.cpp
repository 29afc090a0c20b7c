#include <parsleyplank/core/close_reason.hpp>

namespace parsleyplank
{

std::string_view to_string(close_reason reason)
{
    switch (reason)
    {
    case close_reason::caller_left:
        return "caller_left";
    case close_reason::idle_timeout:
        return "idle_timeout";
    case close_reason::receive_timeout:
        return "receive_timeout";
    case close_reason::send_timeout:
        return "send_timeout";
    case close_reason::close_timeout:
        return "close_timeout";
    case close_reason::displaced:
        return "displaced";
    case close_reason::memory:
        return "memory";
    case close_reason::stop:
        return "stop";
    case close_reason::internal_error:
        return "internal_error";
    case close_reason::exit:
        return "exit";
    }
    return "unknown";
}

} // namespace parsleyplank
