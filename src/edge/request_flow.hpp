#ifndef PARSLEYPLANK_EDGE_REQUEST_FLOW_HPP
#define PARSLEYPLANK_EDGE_REQUEST_FLOW_HPP

// The way of one request: route, API key, quota, choice of a backend server,
// the call, a repeat where that is safe, and the response. Belongs to the
// traffic thread.

#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/edge/token_exchange.hpp>
#include <parsleyplank/edge/traffic_state.hpp>
#include <parsleyplank/proxy/upstream_call.hpp>
#include <parsleyplank/telemetry/metrics.hpp>

#include <log4cplus/logger.h>

namespace parsleyplank::edge
{

// What requests use; outlives all of them.
struct flow_context
{
    traffic_state& state;
    const adapter& platform;
    proxy::upstream_pool& pool;
    token_exchange& token_peers;
    telemetry::metrics& counters;
    log4cplus::Logger log;
};

class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(flow_context& shared, proxy::exchange_ptr served);

    // Answers the exchange, at the latest shortly after the deadline.
    proxy::asio::awaitable<void> run();

private:
    enum class next_step
    {
        done,
        try_again
    };

    bool admit();
    bool admit_customer();
    // Takes a token of the customer, from the instance that holds it if it is
    // not this one.
    proxy::asio::awaitable<bool> take_token();
    void return_token();
    // Whether the API keys held here may still be used.
    bool keys_fresh() const;
    void set_deadline();
    // Returns where the request goes, or refuses it.
    std::optional<server_placement> place();
    placement_request make_placement_request() const;
    proxy::asio::awaitable<next_step> attempt(const server_placement& placed);
    next_step handle_result(const server_placement& placed,
                            proxy::call_result& result);
    next_step handle_answer(const server_placement& placed,
                            proxy::call_result& result);
    next_step handle_failure(const server_placement& placed,
                             const proxy::call_result& result);
    // Learns from the end of a call what it tells of the server.
    void record_call(const server_placement& placed,
                     const proxy::call_result& result);
    steering::request_result record_answer(const server_placement& placed,
                                           const proxy::call_result& result);
    void record_success(const server_placement& placed,
                        const proxy::call_result& result);
    void mark_unreachable(const server_placement& placed);
    bool may_retry(retry_reason reason, bool reached_server);
    proxy::request_message make_request(const server_placement& placed) const;
    void deliver(proxy::response_message response);
    // The request has not run and will not.
    void refuse(refusal_reason reason, milliseconds retry_after);
    // Ends a request that is not sent again: with the failure that a server has
    // answered, as unknown if a server may have run it, else as not run.
    void give_up(refusal_reason reason);
    // The request may have run.
    void fail(refusal_reason reason, unsigned status);
    void end(unsigned status, std::string_view outcome,
             std::string_view reason);
    bool idempotent() const;
    milliseconds remaining() const;

    flow_context& context;
    proxy::exchange_ptr ex;
    // Keeps the route and the customer alive.
    std::shared_ptr<const steering::routing_table> routing;
    const steering::traffic_route* route = nullptr;
    const steering::traffic_customer* customer = nullptr;
    service_id service;
    std::string affinity_key;
    std::string id;
    // What backend servers are given.
    time_point deadline;
    // When the caller is answered at the latest.
    time_point answer_by;
    std::vector<backend_server_id> tried;
    std::uint32_t sends = 0;
    bool may_have_run = false;
    // A server's answer of failure, while another server is tried.
    std::optional<proxy::response_message> failure_response;
    bool token_taken = false;
    // The instance that granted the token, unless it is this one.
    std::optional<steering::server_endpoint> token_granted_by;
    std::shared_ptr<proxy::upstream_call> call;
    std::string last_detail;
    // What the last choice of a server went by.
    steering::ranked_server rank;
    std::chrono::microseconds server_latency{0};
};

} // namespace parsleyplank::edge

#endif
