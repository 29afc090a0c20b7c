#ifndef PARSLEYPLANK_ENTRY_REQUEST_FLOW_HPP
#define PARSLEYPLANK_ENTRY_REQUEST_FLOW_HPP

// The way of one request through the decisions: customer, freshness, rate,
// claim, placement, dispatch and response. Runs on the control thread; the
// traffic threads carry the bytes.

#include <parsleyplank/dataplane/backend_client.hpp>
#include <parsleyplank/dataplane/http_front.hpp>
#include <parsleyplank/entry/claim_agent.hpp>
#include <parsleyplank/entry/decision_log.hpp>
#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/entry/quota_agent.hpp>
#include <parsleyplank/entry/rollout_agent.hpp>
#include <parsleyplank/entry/upstream_pool.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace parsleyplank::entry
{

// A request after its traffic thread has found its route and customer.
struct routed_request
{
    request_id id;
    dataplane::inbound_request in;
    std::shared_ptr<const std::string> body;
    dataplane::responder out;
    // Keeps the route and customer alive.
    std::shared_ptr<const config_tables> tables;
    const config::route* route = nullptr;
    // Null on an open route without a key.
    const config::customer* customer = nullptr;
    std::string api_key;
};

struct active_request
{
    std::uint64_t number = 0;
    routed_request routed;
    time_point deadline;
    // The rate admission must not be used after this time.
    time_point admitted_until;
    std::optional<std::uint64_t> attempt;
    // Where the present try runs.
    std::optional<placed_server> place;
    // Version that the present try goes to, while a rollout runs.
    std::optional<version_choice> version;
    std::set<backend_server_id> tried;
    int tries = 0;
    // A try ended without proof that the request did not run.
    bool maybe_run = false;
    decision steps;
};

struct request_flow
{
    peer_contact& contact;
    quota_agent& quota;
    claim_agent& claims;
    upstream_pool& upstreams;
    rollout_agent& rollouts;
    dataplane::backend_client& backends;
    decision_log& decisions;

    std::unordered_map<std::uint64_t, active_request> active;
    std::unordered_map<std::uint64_t, std::uint64_t> by_attempt;
    // Requests that wait for tokens, by customer in order of arrival.
    std::map<customer_id, std::deque<std::uint64_t>> waiting;
    std::uint64_t next_number = 1;
};

// Takes a request over and decides on it as far as possible now.
void start(request_flow& flow, node_context& context, routed_request request);

// Decides the waiting requests of a customer again.
void decide_waiting(request_flow& flow, node_context& context,
                    const customer_id& customer);

// Takes an event of an attempt that a request of this flow began.
void take_event(request_flow& flow, node_context& context,
                const claims::attempt_event& event);

// Handles timeouts and gives free slots to queued requests. Call every 10 ms.
void tick(request_flow& flow, node_context& context);

} // namespace parsleyplank::entry

#endif
