#ifndef PARSLEYPLANK_ENTRY_STATUS_REPORT_HPP
#define PARSLEYPLANK_ENTRY_STATUS_REPORT_HPP

// JSON bodies of the admin port: the state of this instance and the explanation
// of one request.

#include <parsleyplank/entry/decision_log.hpp>
#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/entry/quota_agent.hpp>
#include <parsleyplank/entry/rollout_agent.hpp>
#include <parsleyplank/entry/state_feed.hpp>
#include <parsleyplank/entry/upstream_pool.hpp>

#include <string>

namespace parsleyplank::entry
{

struct status_sources
{
    const node_context& context;
    const peer_contact& contact;
    const state_feed& feed;
    const quota_agent& quota;
    const upstream_pool& upstreams;
    const rollout_agent& rollouts;
    // Requests that have not ended.
    std::size_t active_requests = 0;
};

// Returns the state of the instance.
std::string status_json(const status_sources& sources);

// Returns the steps of a decision.
std::string explain_json(const decision& d);

} // namespace parsleyplank::entry

#endif
