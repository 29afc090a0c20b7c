#ifndef PARSLEYPLANK_EDGE_REQUEST_FLOW_HPP
#define PARSLEYPLANK_EDGE_REQUEST_FLOW_HPP

// Processing of one request: route, API key, quota, choice of a backend server,
// the call, retries where they are safe, and the response. Runs on the traffic
// thread.

#include <parsleyplank/core/pause_detector.hpp>
#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/edge/server_capacity_state.hpp>
#include <parsleyplank/edge/server_placement.hpp>
#include <parsleyplank/edge/token_exchange.hpp>
#include <parsleyplank/proxy/upstream_call.hpp>
#include <parsleyplank/telemetry/metrics.hpp>

#include <log4cplus/logger.h>

namespace parsleyplank::edge
{

// State that is shared by all requests and outlives them.
struct flow_context
{
    traffic_state& state;
    const adapter& platform;
    proxy::upstream_pool& pool;
    token_exchange& token_peers;
    telemetry::metrics& counters;
    log4cplus::Logger log;
    // Time at which the control thread last ran; empty if it has not started.
    std::optional<boot_time> control_run;
};

// Returns whether the state may be used on which requests are decided: not
// before the first configuration, nor after a pause until the control thread
// has confirmed it.
bool state_usable(const flow_context& context);

class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(flow_context& shared, proxy::exchange_ptr served);

    // Responds to the exchange, at the latest shortly after the deadline.
    proxy::asio::awaitable<void> run();

private:
    enum class next_step
    {
        done,
        try_again
    };

    bool admit();
    bool admit_customer();
    // Takes a token of the customer, from the pool if there is none here.
    proxy::asio::awaitable<bool> take_token();
    // Requests a token from the pool, or from that of another region. Nullopt
    // if it does not answer.
    proxy::asio::awaitable<std::optional<bool>> request_token();
    proxy::asio::awaitable<bool> request_token_elsewhere();
    void return_token();
    // Refuses the request if its rank is not admitted. Returns whether it is.
    bool admit_rank();
    admission_request make_admission_request() const;
    // Refuses the request for lack of room; `known` is the time after which
    // there is room, if a server has named it.
    void refuse_for_room(refusal_reason reason,
                         std::optional<milliseconds> known);
    // Returns whether the API keys known here are recent enough to be accepted.
    bool keys_fresh() const;
    void set_deadline();
    // Returns the server of the request, or refuses the request.
    std::optional<server_placement> place();
    placement_request make_placement_request() const;
    // Returns whether this process may end before the response of the server.
    // Assumes a slow response for a request that must not be repeated.
    bool would_be_cut_off(const server_placement& placed) const;
    proxy::asio::awaitable<next_step> attempt(const server_placement& placed);
    proxy::expected_response
    make_expectation(const server_placement& placed) const;
    // Returns whether the request may be sent to another server if its call,
    // which is about to begin, fails.
    bool could_try_another() const;
    next_step handle_result(const server_placement& placed,
                            proxy::call_result& result);
    next_step handle_answer(const server_placement& placed,
                            proxy::call_result& result);
    next_step handle_failure(const server_placement& placed,
                             const proxy::call_result& result);
    // Counts the send for the customer, if usage is accounted for.
    std::optional<counted_send>
    count_send_usage(const server_placement& placed);
    // Returns whether the call ended because this process is about to exit,
    // which says nothing about the server.
    bool ended_by_stop(const proxy::call_result& result) const;
    // Updates the state of the server with the result of a call.
    void record_call(const server_placement& placed,
                     const proxy::call_result& result);
    steering::request_result record_answer(const server_placement& placed,
                                           const proxy::call_result& result);
    // Records what the server asks of its callers, and logs changes of it.
    void record_notice(const server_placement& placed,
                       const proxy::call_result& result);
    void record_success(const server_placement& placed,
                        const proxy::call_result& result,
                        const std::optional<steering::reported_load>& report);
    void log_limit(const server_placement& placed,
                   const limit_change& change) const;
    void mark_unreachable(const server_placement& placed);
    bool may_retry(retry_reason reason, bool reached_server);
    proxy::request_view make_request(const server_placement& placed) const;
    void deliver(proxy::response_message response);
    // Responds that the request has not run and will not run.
    void refuse(refusal_reason reason, milliseconds retry_after);
    // Ends a request that is not retried: with the failure response of a server
    // if there is one, as unknown if a server may have run the request, else as
    // not run.
    void give_up(refusal_reason reason);
    void give_up(refusal_reason reason, milliseconds retry_after);
    // Responds that the request may have run.
    void fail(refusal_reason reason, unsigned status);
    // Ends a request whose connection is closed.
    void end_cancelled();
    void end(unsigned status, std::string_view outcome,
             std::string_view reason);
    bool idempotent() const;
    // Deadline for a server, which ends before this process does.
    time_point server_deadline() const;
    // Returns the time until server_deadline().
    milliseconds remaining() const;
    // Returns the part of the log line that tells what time was left, if the
    // instance drains.
    std::string describe_drain() const;

    flow_context& context;
    proxy::exchange_ptr ex;
    // Owns the route and the customer.
    std::shared_ptr<const steering::routing_table> routing;
    const steering::traffic_route* route = nullptr;
    const steering::traffic_customer* customer = nullptr;
    service_id service;
    std::string affinity_key;
    // Earlier of the route's timeout and of caller_limit.
    time_point deadline;
    // Time until which the caller waits.
    time_point caller_limit;
    // Latest time of the response to the caller.
    time_point answer_by;
    std::vector<backend_server_id> tried;
    std::uint32_t sends = 0;
    bool may_have_run = false;
    // Failure response of a server, held while another server is tried.
    std::optional<proxy::response_message> failure_response;
    bool token_taken = false;
    std::shared_ptr<proxy::upstream_call> call;
    // Set if the refusal tells the caller a place in the order of return.
    std::optional<steering::return_time> return_at;
    std::string last_detail;
    // Ranking of the last choice of a server.
    steering::ranked_server rank;
    std::chrono::microseconds server_latency{0};
};

} // namespace parsleyplank::edge

#endif
