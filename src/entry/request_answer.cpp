#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/request_answer.hpp>

#include <utility>

namespace parsleyplank::entry
{

namespace
{

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

} // namespace

void note(node_context& context, active_request& r, std::string step,
          std::string text)
{
    const auto after = std::chrono::duration_cast<std::chrono::microseconds>(
        context.loop.now() - r.routed.in.arrival);
    r.steps.steps.push_back({after, std::move(step), std::move(text)});
}

void refuse(request_flow& flow, node_context& context, std::uint64_t number,
            refusal_reason reason, run_outcome outcome)
{
    auto& r = flow.active.at(number);
    note(context, r, "refused", std::string(to_string(reason)));
    context.counters.count_refusal(reason);
    if (r.routed.customer != nullptr)
        context.counters.count_customer_refusal(r.routed.customer->id, reason);
    LOG4CPLUS_INFO(component_logger("request"),
                   r.routed.id.value << " refused: " << to_string(reason)
                                     << ", " << to_string(outcome) << ".");
    answer(flow, context, number, dataplane::make_refusal(reason, outcome),
           outcome);
}

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

void replay(request_flow& flow, node_context& context, std::uint64_t number,
            const claims::stored_response& kept)
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

} // namespace parsleyplank::entry
