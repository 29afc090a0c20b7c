#include <parsleyplank/proxy/connection_memory.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::proxy
{

namespace
{

// A connection at rest: two coroutines, the state and the smallest buffer.
constexpr std::size_t connection_bytes = 12'288;
constexpr std::size_t smallest_buffer_bytes = 4'096;
// The node of a field in the HTTP library, with what the allocator adds.
constexpr std::size_t field_bytes = 96;
// An exchange with the state of the request flow.
constexpr std::size_t exchange_bytes = 1'024;
// The record of an unreceived response.
constexpr std::size_t unreceived_bytes = 64;

} // namespace

std::size_t memory_of(const http::fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& it : fields)
        bytes += field_bytes + it.name_string().size() + it.value().size();
    return bytes;
}

std::size_t memory_of_request(const http::fields& fields)
{
    return exchange_bytes + 2 * memory_of(fields);
}

std::size_t memory_of_response(const response_message& response,
                               bool body_is_reserved)
{
    return memory_of(static_cast<const http::fields&>(response)) +
           (body_is_reserved ? 0 : response.body().capacity());
}

std::size_t memory_of(const connection_use& use)
{
    const auto buffer = std::max(use.buffer_bytes, smallest_buffer_bytes);
    return connection_bytes - smallest_buffer_bytes + buffer +
           use.incoming_bytes + use.pending_bytes +
           use.unreceived * unreceived_bytes;
}

bool must_pause(const connection_use& use,
                const connection_memory_options& options)
{
    return use.pending_bytes > options.max_pending_bytes ||
           use.unreceived >= options.max_unreceived;
}

bool may_close(const caller_progress& progress,
               const connection_memory_options& options)
{
    const std::chrono::duration<double> send_time = progress.send_time;
    const bool sends_slowly = progress.sending &&
                              progress.send_time > options.slow_time &&
                              static_cast<double>(progress.sent_bytes) <
                                  options.min_send_rate * send_time.count();
    return sends_slowly ||
           (progress.receiving && progress.blocked_time > options.slow_time);
}

std::size_t limit_for(std::size_t held, std::size_t limit,
                      const connection_memory_options& options)
{
    return held > options.max_small_bytes ? limit / 4 * 3 : limit;
}

} // namespace parsleyplank::proxy
