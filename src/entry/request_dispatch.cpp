#include <parsleyplank/entry/request_answer.hpp>
#include <parsleyplank/entry/request_dispatch.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

// Tries of one request, the first included.
constexpr int max_tries = 3;
// An idempotent read on a silent connection is sent again after this time.
constexpr milliseconds hedge_after{1'000};
// Longest time in the queue of an upstream without a free slot.
constexpr milliseconds max_queue_wait{500};
// Assumed size of a response for the link budget.
constexpr double expected_response_bytes = 4'096;

using config::execution_mode;

bool shed_before_work(const dataplane::call_result& result)
{
    const auto* not_run = dataplane::find_header(result.headers, "x-not-run");
    return result.status == 503 && not_run != nullptr && *not_run == "true";
}

struct try_verdict
{
    // Nothing if the response is passed on.
    std::optional<refusal_reason> failure;
    retry_reason retry = retry_reason::connection_lost;
    bool surely_not_run = false;
    server_result server = server_result::success;
};

try_verdict judge_try(const dataplane::call_result& result)
{
    using dataplane::call_outcome;
    switch (result.outcome)
    {
    case call_outcome::response:
        if (shed_before_work(result))
            return {refusal_reason::backend_shed, retry_reason::backend_shed,
                    true, server_result::neutral};
        return {{},
                retry_reason::backend_shed,
                false,
                result.status >= 500 ? server_result::failure
                                     : server_result::success};
    case call_outcome::not_sent:
        return {refusal_reason::backend_failed, retry_reason::connect_failed,
                true, server_result::failure};
    case call_outcome::lost:
        return {refusal_reason::backend_incomplete,
                retry_reason::connection_lost, !result.maybe_sent,
                server_result::failure};
    case call_outcome::deadline:
        return {refusal_reason::deadline, retry_reason::unresponsive_connection,
                !result.maybe_sent, server_result::failure};
    case call_outcome::cancelled:
        break;
    }
    return {refusal_reason::draining, retry_reason::connection_lost,
            !result.maybe_sent, server_result::neutral};
}

bool may_retry(request_flow& flow, node_context& context,
               const active_request& r, const try_verdict& verdict)
{
    const bool allowed =
        verdict.surely_not_run ||
        r.routed.route->execution == execution_mode::idempotent;
    auto& upstream = flow.upstreams.upstreams.at(r.routed.route->upstream);
    return allowed && r.tries < max_tries && context.loop.now() < r.deadline &&
           placement::take_retry(upstream.retries);
}

void finish_try(request_flow& flow, node_context& context, std::uint64_t number,
                const dataplane::call_result& result);

// Tells whether the key still belongs to the customer. A withdrawal may have
// arrived while the request waited.
bool key_in_force(node_context& context, const active_request& r)
{
    if (r.routed.route->open)
        return true;
    const auto snapshot = context.snapshot.load();
    const auto* owner = snapshot->tables->keys.find(r.routed.api_key);
    return owner != nullptr && *owner == r.routed.customer->id;
}

dataplane::backend_call make_call(const active_request& r, bool hedging_allowed)
{
    const auto& routed = r.routed;
    dataplane::backend_call call;
    call.upstream = routed.route->upstream;
    call.address = r.place->server.address;
    call.port = r.place->server.port;
    call.method = routed.in.method;
    call.target = *dataplane::filter_target(routed.in.path, routed.in.query,
                                            routed.api_key);
    call.headers =
        dataplane::filter_request_headers(routed.in.headers, routed.api_key);
    call.body = routed.body;
    call.id = routed.id;
    call.deadline = r.deadline;
    const bool idempotent =
        routed.route->execution == execution_mode::idempotent;
    call.fresh_connection = !idempotent;
    if (idempotent && hedging_allowed)
        call.hedge_after = hedge_after;
    return call;
}

void dispatch(request_flow& flow, node_context& context, std::uint64_t number)
{
    auto& r = flow.active.at(number);
    ++r.tries;
    note(context, r, "dispatch",
         r.place->server.id.value + " in " + r.place->region.value +
             ", version " + r.place->server.version.value + ", try " +
             std::to_string(r.tries));
    const auto& budget =
        flow.upstreams.upstreams.at(r.routed.route->upstream).retries;
    flow.backends.send(
        make_call(r, budget.available >= 1),
        [&flow, &context, number](dataplane::call_result result)
        {
            context.loop.post(
                [&flow, &context, number, result = std::move(result)]
                { finish_try(flow, context, number, result); });
        });
}

void give_back_place(request_flow& flow, node_context& context,
                     active_request& r)
{
    release(flow.upstreams, context, r.routed.route->upstream, *r.place,
            server_result::neutral, {});
    r.place.reset();
}

// Repeats the checks that may have changed while the request waited, right
// before it leaves.
std::optional<refusal_reason>
last_check(request_flow& flow, node_context& context, const active_request& r)
{
    const auto now = context.loop.now();
    if (now >= r.deadline)
        return refusal_reason::deadline;
    if (forbidden_by_staleness(flow, context, r))
        return refusal_reason::stale_state;
    if (!key_in_force(context, r))
        return refusal_reason::unknown_key;
    if (now >= r.admitted_until)
        return refusal_reason::customer_rate;
    if (r.attempt && r.tries == 0 &&
        !claims::start_dispatch(flow.claims.attempts, *r.attempt, now))
        return refusal_reason::claim_timeout;
    return std::nullopt;
}

void dispatch_checked(request_flow& flow, node_context& context,
                      std::uint64_t number)
{
    auto& r = flow.active.at(number);
    const auto refusal = last_check(flow, context, r);
    if (!refusal)
    {
        dispatch(flow, context, number);
        return;
    }
    give_back_place(flow, context, r);
    refuse_unsent(flow, context, number, *refusal);
}

void enqueue(request_flow& flow, node_context& context, active_request& r,
             refusal_reason reason)
{
    const auto now = context.loop.now();
    auto& queue = flow.upstreams.upstreams.at(r.routed.route->upstream).queue;
    note(context, r, "queue", std::string(to_string(reason)));
    static const customer_id anonymous("");
    const auto* customer = r.routed.customer;
    const auto number = r.number;
    const auto dropped = placement::push(
        queue, {number, customer == nullptr ? anonymous : customer->id,
                customer == nullptr ? 1 : customer->weight,
                std::min(r.deadline, now + max_queue_wait)});
    if (dropped)
        refuse_unsent(flow, context, dropped->number,
                      refusal_reason::no_capacity);
}

bool may_wait_for(refusal_reason reason)
{
    return reason == refusal_reason::no_capacity ||
           reason == refusal_reason::shift_cap ||
           reason == refusal_reason::link_bandwidth;
}

place_result place_on(request_flow& flow, node_context& context,
                      const active_request& r, const version_id* version)
{
    return place(
        flow.upstreams, context,
        {r.routed.route->upstream, r.deadline,
         static_cast<double>(r.routed.body->size()) + expected_response_bytes,
         &r.tried, version});
}

// Places a request while a rollout runs. The other version takes it if the
// drawn one has no free server; otherwise a version with few servers would
// refuse requests that the other could serve.
place_result place_by_version(request_flow& flow, node_context& context,
                              active_request& r, const version_choice& drawn)
{
    r.version = drawn;
    auto result = place_on(flow, context, r, &r.version->version);
    if (result.where)
        return result;
    r.version = other_version(flow.rollouts, r.routed.route->upstream, drawn);
    return place_on(flow, context, r, &r.version->version);
}

bool try_place(request_flow& flow, node_context& context, active_request& r,
               refusal_reason& refusal)
{
    const auto drawn =
        choose_version(flow.rollouts, context, r.routed.route->upstream);
    const auto result = drawn ? place_by_version(flow, context, r, *drawn)
                              : place_on(flow, context, r, nullptr);
    refusal = result.refusal;
    if (!result.where)
        return false;
    r.place = result.where;
    r.tried.insert(result.where->server.id);
    return true;
}

// A hedge is charged to the retry budget when it is known to have been made.
// Calls that were under way together may overdraw the budget; the debt keeps
// later calls from hedging.
void charge_hedge(request_flow& flow, node_context& context, active_request& r,
                  const dataplane::call_result& result)
{
    if (!result.hedged)
        return;
    flow.upstreams.upstreams.at(r.routed.route->upstream).retries.available -=
        1;
    context.counters.count_retry(retry_reason::unresponsive_connection);
    note(context, r, "retry",
         "the connection was silent; sent again on a new one");
}

// Reports the try to the rollout, if one runs. A try that says nothing about
// the server says nothing about its version either. A new version with a small
// share meets most servers over new connections, where the old one has kept
// ones: the latencies of such requests are not compared.
void record_version(request_flow& flow, node_context& context,
                    const active_request& r, const try_verdict& verdict,
                    const dataplane::call_result& result)
{
    if (!r.version || verdict.server == server_result::neutral)
        return;
    const auto& route = *r.routed.route;
    const bool keeps_connections =
        route.execution == execution_mode::idempotent;
    const bool comparable = !(keeps_connections && result.new_connection);
    record_result(
        flow.rollouts, route.upstream, route.id,
        {r.version->is_new, verdict.server == server_result::failure,
         comparable && warm(flow.upstreams, context, route.upstream, *r.place),
         result.duration});
}

void finish_try(request_flow& flow, node_context& context, std::uint64_t number,
                const dataplane::call_result& result)
{
    auto& r = flow.active.at(number);
    const auto verdict = judge_try(result);
    charge_hedge(flow, context, r, result);
    record_version(flow, context, r, verdict, result);
    release(flow.upstreams, context, r.routed.route->upstream, *r.place,
            verdict.server, result.duration);
    r.place.reset();
    r.version.reset();
    note(context, r, "backend",
         std::string(dataplane::to_string(result.outcome)) +
             (result.detail.empty() ? "" : ": " + result.detail));
    if (!verdict.failure)
    {
        pass_response(flow, context, number, result);
        return;
    }
    r.maybe_run = r.maybe_run || !verdict.surely_not_run;
    if (!may_retry(flow, context, r, verdict))
    {
        refuse_unsent(flow, context, number, *verdict.failure);
        return;
    }
    context.counters.count_retry(verdict.retry);
    note(context, r, "retry", std::string(to_string(verdict.retry)));
    place_request_now(flow, context, number);
}

void expire_queues(request_flow& flow, node_context& context)
{
    const auto now = context.loop.now();
    std::ranges::for_each(flow.upstreams.upstreams,
                          [&](auto& it)
                          {
                              std::ranges::for_each(
                                  placement::expire(it.second.queue, now),
                                  [&](const placement::queued_request& q) {
                                      refuse_unsent(
                                          flow, context, q.number,
                                          refusal_reason::no_capacity);
                                  });
                          });
}

// Gives free slots to queued requests in fair order.
void serve_queue(request_flow& flow, node_context& context,
                 const upstream_id& id, upstream_state& upstream)
{
    while (has_room(flow.upstreams, context, id))
    {
        const auto next = placement::pop(upstream.queue);
        if (!next)
            return;
        auto& r = flow.active.at(next->number);
        refusal_reason refusal{};
        if (!try_place(flow, context, r, refusal))
        {
            placement::push(upstream.queue, *next);
            return;
        }
        dispatch_checked(flow, context, next->number);
    }
}

} // namespace

bool forbidden_by_staleness(const request_flow& flow, node_context& context,
                            const active_request& r)
{
    return !r.routed.route->open &&
           r.routed.route->when_stale == config::stale_policy::refuse &&
           freshness::evaluate(flow.contact.fresh, context.loop.now()) ==
               freshness::verdict::stale;
}

void place_request_now(request_flow& flow, node_context& context,
                       std::uint64_t number)
{
    auto& r = flow.active.at(number);
    refusal_reason refusal{};
    if (try_place(flow, context, r, refusal))
        dispatch_checked(flow, context, number);
    else if (may_wait_for(refusal) && r.tries == 0)
        enqueue(flow, context, r, refusal);
    else
        refuse_unsent(flow, context, number, refusal);
}

void serve_queues(request_flow& flow, node_context& context)
{
    expire_queues(flow, context);
    std::ranges::for_each(flow.upstreams.upstreams, [&](auto& it)
                          { serve_queue(flow, context, it.first, it.second); });
}

} // namespace parsleyplank::entry
