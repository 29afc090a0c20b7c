#ifndef PARSLEYPLANK_ENTRY_DECISION_LOG_HPP
#define PARSLEYPLANK_ENTRY_DECISION_LOG_HPP

// Keeps the steps of the latest requests' decisions with their reasons, so that
// `parsleyplank-ctl explain REQUEST-ID` can show them. Never holds an API key,
// a header value or a body.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyplank::entry
{

struct decision_step
{
    // Since the request arrived.
    std::chrono::microseconds after{0};
    // E.g. "customer", "quota", "claim", "region", "server".
    std::string step;
    // What was decided and why.
    std::string text;
};

struct decision
{
    request_id id;
    wall_time arrived;
    std::vector<decision_step> steps;
};

class decision_log
{
public:
    explicit decision_log(std::size_t capacity);

    // Adds a finished decision and drops the oldest if the log is full.
    void add(decision d);

    // Returns the decision, or nullptr if it is unknown or was dropped. Valid
    // until the next add().
    const decision* find(const request_id& id) const;

private:
    std::size_t capacity;
    std::deque<request_id> order;
    std::unordered_map<request_id, decision> by_id;
};

} // namespace parsleyplank::entry

#endif
