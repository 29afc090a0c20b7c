#ifndef PARSLEYPLANK_CORE_CUT_OFF_HPP
#define PARSLEYPLANK_CORE_CUT_OFF_HPP

// Requests whose responses are cut off by a close of this process: how they are
// counted and logged.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/close_reason.hpp>
#include <parsleyplank/core/log.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyplank
{

struct cut_counts
{
    // Not answered, or the response was not written completely.
    std::uint64_t unanswered = 0;
    // The caller had not received the response that was written.
    std::uint64_t unreceived = 0;
};

struct cut_connection
{
    close_reason reason = close_reason::exit;
    int descriptor = -1;
    milliseconds age{0};
    bool draining = false;
    // Ids of the requests, cut to max_logged_id bytes; empty ones if unknown.
    std::vector<std::string> unanswered;
    std::vector<std::string> unreceived;
};

// Logs the requests in lines of bounded length, with the bytes that the kernel
// holds. To be called before the descriptor is closed or shut down.
void log_cut_off(const log4cplus::Logger& logger, const cut_connection& cut);

// Adds the number of requests to the counters.
void add_cut_off(cut_counts& counts, const cut_connection& cut);

} // namespace parsleyplank

#endif
