#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/request_flow.hpp>

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

void note(node_context& context, active_request& r, std::string step,
          std::string text)
{
    const auto after = std::chrono::duration_cast<std::chrono::microseconds>(
        context.loop.now() - r.routed.in.arrival);
    r.steps.steps.push_back({after, std::move(step), std::move(text)});
}

void add_header(dataplane::outbound_response& response, const char* name,
                std::string_view value)
{
    response.headers.push_back({name, std::string(value)});
}

// Answers the caller, records the decision and forgets the request.
void answer(request_flow& flow, node_context& context, std::uint64_t number,
            dataplane::outbound_response response, run_outcome outcome)
{
    const auto it = flow.active.find(number);
    auto& r = it->second;
    add_header(response, "x-request-id", r.routed.id.value);
    note(context, r, "response",
         std::to_string(response.status) + ", " +
             std::string(to_string(outcome)));
    context.counters.count_request(r.routed.route->id, outcome,
                                   r.steps.steps.back().after);
    r.routed.out.complete(response);
    if (r.attempt)
        flow.by_attempt.erase(*r.attempt);
    flow.decisions.add(std::move(r.steps));
    flow.active.erase(it);
}

void refuse(request_flow& flow, node_context& context, std::uint64_t number,
            refusal_reason reason, run_outcome outcome)
{
    auto& r = flow.active.at(number);
    note(context, r, "refused", std::string(to_string(reason)));
    context.counters.count_refusal(reason);
    if (r.routed.customer != nullptr)
        context.counters.count_customer_refusal(r.routed.customer->id, reason);
    LOG4CPLUS_INFO(part_logger("request"),
                   r.routed.id.value << " refused: " << to_string(reason)
                                     << ", " << to_string(outcome) << ".");
    answer(flow, context, number, dataplane::make_refusal(reason, outcome),
           outcome);
}

// Refuses a request that no server runs now. Its claim is released, unless an
// earlier try may have run.
void refuse_unsent(request_flow& flow, node_context& context,
                   std::uint64_t number, refusal_reason reason)
{
    const auto& r = flow.active.at(number);
    const auto outcome =
        r.maybe_run ? run_outcome::unknown : run_outcome::not_run;
    if (r.attempt && r.tries == 0)
        abandon(flow.claims, context, *r.attempt);
    else if (r.attempt)
        finish(flow.claims, context, *r.attempt,
               r.maybe_run ? claims::attempt_phase::outcome_unknown
                           : claims::attempt_phase::not_run,
               0, {});
    refuse(flow, context, number, reason, outcome);
}

// Tells whether state that is not fresh forbids the request.
bool forbidden_by_staleness(const request_flow& flow, node_context& context,
                            const active_request& r)
{
    return !r.routed.route->open &&
           r.routed.route->when_stale == config::stale_policy::refuse &&
           freshness::judge(flow.contact.fresh, context.loop.now()) ==
               freshness::verdict::stale;
}

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

void place_request_now(request_flow& flow, node_context& context,
                       std::uint64_t number);

void finish_try(request_flow& flow, node_context& context, std::uint64_t number,
                const dataplane::call_result& result);

dataplane::backend_call make_call(const active_request& r)
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
    call.hedge_after = idempotent ? hedge_after : milliseconds(0);
    return call;
}

void dispatch(request_flow& flow, node_context& context, std::uint64_t number)
{
    auto& r = flow.active.at(number);
    r.phase = request_phase::dispatched;
    ++r.tries;
    note(context, r, "dispatch",
         r.place->server.id.value + " in " + r.place->region.value + ", try " +
             std::to_string(r.tries));
    flow.backends.send(
        make_call(r),
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
    r.phase = request_phase::queued;
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

bool try_place(request_flow& flow, node_context& context, active_request& r,
               refusal_reason& refusal)
{
    const auto result = place(
        flow.upstreams, context,
        {r.routed.route->upstream,
         static_cast<double>(r.routed.body->size()) + expected_response_bytes,
         &r.tried});
    refusal = result.refusal;
    if (!result.where)
        return false;
    r.place = result.where;
    r.tried.insert(result.where->server.id);
    return true;
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

const std::string* idempotency_key(const active_request& r)
{
    return dataplane::find_header(r.routed.in.headers, "idempotency-key");
}

void claim(request_flow& flow, node_context& context, std::uint64_t number)
{
    auto& r = flow.active.at(number);
    if (r.routed.route->execution != execution_mode::at_most_once)
    {
        place_request_now(flow, context, number);
        return;
    }
    const auto* key = idempotency_key(r);
    if (key == nullptr || key->empty())
    {
        refuse_unsent(flow, context, number,
                      refusal_reason::missing_idempotency_key);
        return;
    }
    const auto& route = *r.routed.route;
    static const customer_id anonymous("");
    const auto& owner =
        r.routed.customer == nullptr ? anonymous : r.routed.customer->id;
    // The target is part of what the key stands for: the same body on another
    // path is another order.
    const auto content = hash64(
        *r.routed.body, hash64(r.routed.in.method + " " + r.routed.in.path +
                               "?" + r.routed.in.query));
    r.phase = request_phase::claiming;
    r.attempt = begin(flow.claims, context,
                      claims::key_hash(owner, route.id, *key), content);
    if (!r.attempt)
    {
        refuse_unsent(flow, context, number, refusal_reason::claim_timeout);
        return;
    }
    flow.by_attempt[*r.attempt] = number;
    note(context, r, "claim", "asked");
}

// Handles an admission; returns false if the request goes on waiting.
bool apply_admission(request_flow& flow, node_context& context,
                     std::uint64_t number, const quota::admission& admission)
{
    send_all(context, admission.messages);
    auto& r = flow.active.at(number);
    switch (admission.verdict)
    {
    case quota::admit_verdict::admitted:
        r.admitted_until = admission.valid_until;
        note(context, r, "rate", "admitted");
        claim(flow, context, number);
        return true;
    case quota::admit_verdict::refused:
        refuse_unsent(flow, context, number, admission.reason);
        return true;
    case quota::admit_verdict::wait:
        break;
    }
    const auto customer = r.routed.customer->id;
    context.loop.call_at(admission.decide_at, [&flow, &context, customer]
                         { decide_waiting(flow, context, customer); });
    return false;
}

void admit_request(request_flow& flow, node_context& context,
                   std::uint64_t number)
{
    auto& r = flow.active.at(number);
    if (r.routed.customer == nullptr)
    {
        r.admitted_until = time_point::max();
        claim(flow, context, number);
        return;
    }
    const auto customer = r.routed.customer->id;
    const auto admission =
        quota::admit(flow.quota.state, customer, context.loop.now());
    if (apply_admission(flow, context, number, admission))
        return;
    note(context, flow.active.at(number), "rate", "waiting for tokens");
    flow.waiting[customer].push_back(number);
}

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
        return {refusal_reason::deadline, retry_reason::silent_connection,
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

void pass_response(request_flow& flow, node_context& context,
                   std::uint64_t number, const dataplane::call_result& result)
{
    auto& r = flow.active.at(number);
    if (r.attempt)
        finish(flow.claims, context, *r.attempt,
               claims::attempt_phase::completed,
               static_cast<std::uint16_t>(result.status), result.body);
    dataplane::outbound_response response;
    response.status = result.status;
    response.headers = dataplane::filter_response_headers(result.headers);
    response.body = result.body;
    add_header(response, "x-parsleyplank-outcome",
               to_string(run_outcome::result));
    answer(flow, context, number, std::move(response), run_outcome::result);
}

void finish_try(request_flow& flow, node_context& context, std::uint64_t number,
                const dataplane::call_result& result)
{
    auto& r = flow.active.at(number);
    const auto verdict = judge_try(result);
    release(flow.upstreams, context, r.routed.route->upstream, *r.place,
            verdict.server, result.duration);
    r.place.reset();
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

void replay(request_flow& flow, node_context& context, std::uint64_t number,
            const claims::kept_response& kept)
{
    dataplane::outbound_response response;
    response.status = kept.status;
    if (kept.digest_only)
        add_header(response, "x-parsleyplank-body-sha256", kept.body);
    else
        response.body = kept.body;
    add_header(response, "x-parsleyplank-replayed", "true");
    add_header(response, "x-parsleyplank-outcome",
               to_string(run_outcome::result));
    note(context, flow.active.at(number), "claim",
         "completed before; replaying the stored response");
    answer(flow, context, number, std::move(response), run_outcome::result);
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
                 upstream_state& upstream)
{
    while (has_room(flow.upstreams, upstream))
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

void start(request_flow& flow, node_context& context, routed_request request)
{
    const auto number = flow.next_number++;
    auto [it, added] = flow.active.try_emplace(
        number, active_request{number, std::move(request)});
    auto& r = it->second;
    r.deadline = r.routed.in.arrival + r.routed.route->deadline;
    r.steps.id = r.routed.id;
    r.steps.arrived = context.time.wall_now();
    note(context, r, "route",
         r.routed.route->id.value +
             (r.routed.customer == nullptr
                  ? ", open"
                  : ", customer " + r.routed.customer->id.value));
    if (forbidden_by_staleness(flow, context, r))
    {
        note(context, r, "freshness",
             freshness::explain_stale(flow.contact.fresh, context.loop.now()));
        refuse_unsent(flow, context, number, refusal_reason::stale_state);
        return;
    }
    admit_request(flow, context, number);
}

void decide_waiting(request_flow& flow, node_context& context,
                    const customer_id& customer)
{
    // In order of arrival, and only those that wait now: a request that is
    // admitted may make others wait.
    auto numbers = std::exchange(flow.waiting[customer], {});
    while (!numbers.empty())
    {
        const auto number = numbers.front();
        const auto it = flow.active.find(number);
        if (it != flow.active.end())
        {
            const auto admission = quota::admit_waiting(
                flow.quota.state, customer, it->second.routed.in.arrival,
                context.loop.now());
            if (!apply_admission(flow, context, number, admission))
                break;
        }
        numbers.pop_front();
    }
    auto& rest = flow.waiting[customer];
    rest.insert(rest.begin(), numbers.begin(), numbers.end());
}

void take_event(request_flow& flow, node_context& context,
                const claims::attempt_event& event)
{
    const auto it = flow.by_attempt.find(event.number);
    if (it == flow.by_attempt.end())
        return;
    const auto number = it->second;
    if (event.what == claims::attempt_event::kind::dispatch)
    {
        note(context, flow.active.at(number), "claim", "granted");
        place_request_now(flow, context, number);
    }
    else if (event.outcome == run_outcome::result)
        replay(flow, context, number, event.response);
    else
        refuse(flow, context, number,
               event.reason.value_or(refusal_reason::claim_timeout),
               event.outcome);
}

void tick(request_flow& flow, node_context& context)
{
    expire_queues(flow, context);
    std::ranges::for_each(flow.upstreams.upstreams, [&](auto& it)
                          { serve_queue(flow, context, it.second); });
}

} // namespace parsleyplank::entry
