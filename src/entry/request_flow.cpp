#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/entry/request_answer.hpp>
#include <parsleyplank/entry/request_dispatch.hpp>
#include <parsleyplank/entry/request_flow.hpp>

#include <utility>

namespace parsleyplank::entry
{

namespace
{

using config::execution_mode;

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

// The ticks of the quota are 200 ms apart. When an attested outage follows on
// the last confirmation, requests in between must not find the quota stale.
void refresh_quota(request_flow& flow, node_context& context)
{
    const auto until =
        freshness::fresh_until(flow.contact.fresh, context.loop.now());
    if (!until)
        return;
    quota::set_fresh_until(flow.quota.state, *until);
    flow.upstreams.slots.fresh_until = *until;
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
    refresh_quota(flow, context);
    const auto admission =
        quota::admit(flow.quota.state, customer, context.loop.now());
    if (apply_admission(flow, context, number, admission))
        return;
    note(context, flow.active.at(number), "rate", "waiting for tokens");
    flow.waiting[customer].push_back(number);
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
    refresh_quota(flow, context);
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
    if (event.type == claims::attempt_event::kind::dispatch)
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
    serve_queues(flow, context);
}

} // namespace parsleyplank::entry
