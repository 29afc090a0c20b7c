#include <parsleyplank/core/cut_off.hpp>
#include <parsleyplank/core/socket_queue.hpp>

#include <algorithm>
#include <span>
#include <string_view>

namespace parsleyplank
{

namespace
{

// Maximum number of request ids in one line of the log.
constexpr std::size_t ids_per_line = 16;

// Returns the ids separated by commas.
std::string join_ids(std::span<const std::string> ids)
{
    std::string text;
    for (const auto& it : ids)
    {
        if (!text.empty())
            text += ',';
        text += it.empty() ? "-" : it;
    }
    return text;
}

void log_stage(const log4cplus::Logger& logger, const cut_connection& cut,
               std::string_view stage, std::span<const std::string> ids)
{
    while (!ids.empty())
    {
        const auto part = ids.first(std::min(ids.size(), ids_per_line));
        ids = ids.subspan(part.size());
        LOG4CPLUS_WARN(logger,
                       "event=requests_cut_off reason="
                           << to_string(cut.reason) << " stage=" << stage
                           << " requests=" << join_ids(part)
                           << " unacknowledged_bytes="
                           << unacknowledged_bytes(cut.descriptor)
                           << " unread_bytes=" << unread_bytes(cut.descriptor)
                           << " connection_ms=" << cut.age.count()
                           << " draining=" << cut.draining);
    }
}

} // namespace

void log_cut_off(const log4cplus::Logger& logger, const cut_connection& cut)
{
    log_stage(logger, cut, "unanswered", cut.unanswered);
    log_stage(logger, cut, "unreceived", cut.unreceived);
}

void add_cut_off(cut_counts& counts, const cut_connection& cut)
{
    counts.unanswered += cut.unanswered.size();
    counts.unreceived += cut.unreceived.size();
}

} // namespace parsleyplank
