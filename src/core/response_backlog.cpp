#include <parsleyplank/core/response_backlog.hpp>
#include <parsleyplank/core/socket_queue.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank
{

namespace
{

// Number of responses from which on those that were received are removed with
// each further one.
constexpr std::size_t max_unchecked_responses = 32;

} // namespace

void add_response(response_backlog& backlog, int descriptor,
                  std::string request_id, time_point started)
{
    request_id.resize(std::min(request_id.size(), max_logged_id));
    backlog.responses.push_back(
        {std::move(request_id), started, backlog.written});
    if (backlog.responses.size() > max_unchecked_responses)
        remove_received(backlog, descriptor);
}

std::uint64_t received_bytes(const response_backlog& backlog, int descriptor)
{
    return backlog.written -
           std::min<std::uint64_t>(unacknowledged_bytes(descriptor),
                                   backlog.written);
}

bool remove_received(response_backlog& backlog, int descriptor)
{
    auto& responses = backlog.responses;
    if (responses.empty())
        return true;
    const auto received = received_bytes(backlog, descriptor);
    responses.erase(responses.begin(),
                    std::ranges::find_if(responses,
                                         [&](const written_response& it)
                                         { return it.end > received; }));
    return responses.empty();
}

} // namespace parsleyplank
