#include <parsleyplank/edge/drain_schedule.hpp>
#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/request_flow.hpp>
#include <parsleyplank/edge/response_headers.hpp>
#include <parsleyplank/edge/server_capacity_state.hpp>
#include <parsleyplank/edge/server_limits.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <log4cplus/loggingmacros.h>

namespace parsleyplank::edge
{

namespace
{

using proxy::header_value;

// Time allowed for a response after the route's timeout, so that a backend
// server that stops at the timeout can report so itself.
constexpr milliseconds deadline_grace{120};
// Time that is reserved for sending the response before the caller's own
// deadline.
constexpr milliseconds answer_margin{15};
// Maximum number of unreachable servers that one request tries.
constexpr std::size_t max_unreachable = 3;
// Maximum number of times that one request asks for a token if there is no
// answer.
constexpr int max_token_requests = 3;
// Time in which the response may follow a message that names no request, if
// the request could be sent to another server instead.
constexpr milliseconds short_patience{20};
// Maximum random time that is added to Retry-After, so that the retries of
// refused callers are spread, and the default Retry-After.
constexpr milliseconds retry_after_jitter{400};
constexpr milliseconds default_retry_after{250};
// Other servers may be added before a long pause of a server ends.
constexpr milliseconds max_retry_after{5'000};

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;
constexpr unsigned first_server_error = 500;

// Returns whether callers take the status as a promise that their request has
// not run and will not run.
bool promises_not_run(unsigned status)
{
    constexpr unsigned request_timeout = 408;
    return status == request_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

milliseconds until(time_point when)
{
    return std::chrono::duration_cast<milliseconds>(when - now());
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number n{};
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return n;
}

} // namespace

bool state_usable(const flow_context& context)
{
    const auto& state = context.state;
    const bool control_paused =
        context.control_run && boot_now() - *context.control_run >
                                   contact_timeout(state.config.bounds);
    return state.snapshot->routing && state.snapshot->confirmed &&
           !control_paused;
}

request_flow::request_flow(flow_context& shared, proxy::exchange_ptr served)
    : context(shared), ex(std::move(served)),
      affinity_key(
          header_value(ex->request, shared.platform.headers.affinity_key))
{
    ex->request_id =
        header_value(ex->request, shared.platform.headers.request_id);
}

bool request_flow::idempotent() const
{
    return route->repeat == steering::repeat_rule::idempotent;
}

time_point request_flow::server_deadline() const
{
    const auto& stop_at = context.state.snapshot->stop_at;
    return stop_at ? std::min(deadline, last_server_deadline(*stop_at))
                   : deadline;
}

milliseconds request_flow::remaining() const
{
    return until(server_deadline());
}

void request_flow::set_deadline()
{
    const auto given = parse_number<std::int64_t>(
        header_value(ex->request, context.platform.headers.time_left_ms));
    deadline = ex->received + route->timeout;
    answer_by = deadline + deadline_grace;
    caller_limit = deadline;
    if (!given || *given < 0)
        return;
    // The caller waits no longer than the time in its header.
    caller_limit = ex->received + milliseconds(*given);
    deadline = std::min(deadline, caller_limit);
    answer_by = std::min(answer_by, caller_limit - answer_margin);
}

bool request_flow::admit()
{
    if (!state_usable(context))
    {
        refuse(refusal_reason::stale_state, default_retry_after);
        return false;
    }
    routing = context.state.snapshot->routing;
    const auto host = ex->request[proxy::http::field::host];
    const auto target = ex->request.target();
    route = steering::find_route(*routing, {host.data(), host.size()},
                                 {target.data(), target.size()});
    if (route == nullptr)
    {
        refuse(refusal_reason::no_route, milliseconds(0));
        return false;
    }
    set_deadline();
    return admit_customer();
}

bool request_flow::keys_fresh() const
{
    const auto& bounds = context.state.config.bounds;
    return !bounds.strict_keys ||
           now() - context.state.snapshot->last_store_contact <= bounds.revoke;
}

bool request_flow::admit_customer()
{
    if (!route->open && routing->config->keys_required)
    {
        if (!keys_fresh())
        {
            refuse(refusal_reason::stale_state, default_retry_after);
            return false;
        }
        const std::string key(
            header_value(ex->request, context.platform.headers.api_key));
        customer = steering::find_customer(*routing, key);
        if (customer == nullptr)
        {
            refuse(key.empty() ? refusal_reason::missing_key
                               : refusal_reason::unknown_key,
                   milliseconds(0));
            return false;
        }
    }
    service = next_service(context.state, *route);
    return true;
}

proxy::asio::awaitable<std::optional<bool>> request_flow::request_token()
{
    auto& pools = context.state.tokens;
    const auto request = make_pool_request(pools, customer->id, now());
    const token_count wanted{request.customer, request.count};
    const auto granted =
        co_await context.token_peers.request_tokens(request.to, wanted);
    if (!granted)
    {
        note_silence(pools, request.pool, now());
        co_return std::nullopt;
    }
    note_answer(pools, request.pool);
    if (*granted == 0)
    {
        note_refusal(pools, customer->id, now());
        co_return false;
    }
    add_own(pools, request.customer, *granted - 1);
    co_return true;
}

proxy::asio::awaitable<bool> request_flow::request_token_elsewhere()
{
    auto& pools = context.state.tokens;
    const auto request = make_other_region_request(pools, customer->id, now());
    if (!request)
        co_return false;
    const token_count wanted{request->customer, request->count};
    const auto granted =
        co_await context.token_peers.request_elsewhere(request->to, wanted);
    if (granted.value_or(0) > 0)
        co_return true;
    note_other_region_refusal(pools, customer->id, now());
    co_return false;
}

proxy::asio::awaitable<bool> request_flow::take_token()
{
    if (customer == nullptr || customer->rate.value <= 0)
        co_return true;
    auto& pools = context.state.tokens;
    count_request(pools, customer->id);
    std::optional<bool> granted;
    for (int i = 0; i < max_token_requests && !granted; ++i)
    {
        const auto source = edge::take_token(pools, customer->id, now());
        if (source == token_source::pool)
            granted = co_await request_token();
        else
            granted = source == token_source::taken;
    }
    token_taken = granted.value_or(false);
    if (granted && !token_taken)
        token_taken = co_await request_token_elsewhere();
    co_return token_taken;
}

void request_flow::return_token()
{
    token_taken = false;
    add_own(context.state.tokens, customer_number(customer->id), 1);
}

admission_request request_flow::make_admission_request() const
{
    return {*route, customer, service, affinity_key, until(caller_limit)};
}

bool request_flow::admit_rank()
{
    const auto unix_ms = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const auto level = refuse_by_rank(context.state, make_admission_request(),
                                      unix_ms.count(), now());
    if (!level)
        return true;
    last_detail = "level " + steering::to_string(level->boundary) + " part " +
                  std::to_string(level->part);
    refuse_for_room(refusal_reason::admission_level, std::nullopt);
    return false;
}

void request_flow::refuse_for_room(refusal_reason reason,
                                   std::optional<milliseconds> known)
{
    const auto wait =
        std::min(max_retry_after, known.value_or(default_retry_after));
    // A caller that gets the response of a failure does not return.
    if (!failure_response && !may_have_run)
        return_at =
            choose_return(context.state, make_admission_request(), wait, now());
    give_up(reason, return_at ? return_at->after : wait);
}

placement_request request_flow::make_placement_request() const
{
    const auto waited =
        std::chrono::duration_cast<milliseconds>(now() - ex->received);
    return {*route,       customer, service,
            affinity_key, tried,    route->target_latency - waited,
            remaining()};
}

bool request_flow::would_be_cut_off(const server_placement& placed) const
{
    const auto& state = context.state;
    const auto& stop_at = state.snapshot->stop_at;
    if (!stop_at)
        return false;
    // Response times vary too much for an estimate.
    if (state.snapshot->late_from && ex->received > *state.snapshot->late_from)
        return deadline > *stop_at;
    const std::chrono::duration<double> expected = placed.rank.expected;
    const auto factor = idempotent() ? 1.0 : state.options.ranking.slow_factor;
    return now() + expected * factor > last_server_deadline(*stop_at);
}

std::optional<server_placement> request_flow::place()
{
    // The process may have been paused since the request was admitted.
    if (!state_usable(context))
    {
        give_up(refusal_reason::stale_state);
        return std::nullopt;
    }
    if (remaining() <= milliseconds(0))
    {
        give_up(now() < deadline ? refusal_reason::draining
                                 : refusal_reason::deadline);
        return std::nullopt;
    }
    const auto decision =
        place_request(context.state, make_placement_request(), now());
    rank = decision.rank;
    if (!decision.placed)
    {
        note_unmet(context.state, service, now());
        refuse_for_room(sends > 0 ? refusal_reason::backend_shed
                                  : decision.reason,
                        decision.retry_after);
        return std::nullopt;
    }
    if (would_be_cut_off(*decision.placed))
    {
        give_up(refusal_reason::draining);
        return std::nullopt;
    }
    confirm_placement(context.state, *decision.placed, now());
    note_placed(context.state, service);
    return decision.placed;
}

proxy::request_view
request_flow::make_request(const server_placement& placed) const
{
    const auto& names = context.platform.headers;
    proxy::request_view request(ex->request.base());
    request.body() = {ex->request.body().data(), ex->request.body().size()};
    proxy::remove_connection_headers(request);
    request.erase(names.api_key);
    request.erase(names.customer);
    request.set(names.time_left_ms,
                std::to_string(std::max<std::int64_t>(1, remaining().count())));
    request.set(names.expected_server, placed.server->id.value);
    if (customer != nullptr)
        request.set(names.customer, customer->id.value);
    constexpr unsigned http_1_1 = 11;
    request.version(http_1_1);
    request.prepare_payload();
    return request;
}

proxy::asio::awaitable<void> request_flow::run()
{
    const auto self = shared_from_this();
    if (!admit())
        co_return;
    const bool allowed = co_await take_token();
    if (ex->cancelled)
    {
        end_cancelled();
        co_return;
    }
    if (!allowed)
    {
        refuse(refusal_reason::customer_rate,
               token_wait(context.state.tokens, customer->id));
        co_return;
    }
    ex->on_cancel = [weak = weak_from_this()]
    {
        const auto flow = weak.lock();
        if (flow && flow->call)
            flow->call->cancel();
    };
    if (!admit_rank())
        co_return;
    count_send(context.state, service);
    auto step = next_step::try_again;
    while (step == next_step::try_again && !ex->cancelled)
    {
        const auto placed = place();
        if (!placed)
            co_return;
        step = co_await attempt(*placed);
    }
    if (ex->cancelled)
        end_cancelled();
}

proxy::asio::awaitable<request_flow::next_step>
request_flow::attempt(const server_placement& placed)
{
    auto& state = context.state;
    const auto number = state.next_call++;
    const auto& server = placed.server;
    tried.push_back(server->id);
    auto request = make_request(placed);
    state.loads[server->id].in_flight[number] = {now(), placed.rank.expected};
    const auto counted = count_send_usage(placed);
    call = std::make_shared<proxy::upstream_call>(context.pool, server);
    // Named variables, because GCC 12 destroys temporaries of a co_await twice.
    auto expected = make_expectation(placed);
    std::shared_ptr<const void> body_owner = ex;
    auto result = co_await call->run(std::move(request), std::move(body_owner),
                                     idempotent(), std::move(expected));
    call.reset();
    auto& load = state.loads[server->id];
    load.in_flight.erase(number);
    if (result.outcome != proxy::call_outcome::not_sent &&
        result.outcome != proxy::call_outcome::no_resources)
        ++sends;
    record_call(placed, result);
    if (counted)
        correct_usage(
            state.usage, *counted, result,
            was_run(result, !header_value(result.response,
                                          context.platform.headers.not_executed)
                                 .empty()),
            load.round_trip, boot_now());
    if (ex->cancelled)
        co_return next_step::done;
    co_return handle_result(placed, result);
}

bool request_flow::could_try_another() const
{
    return idempotent() && sends + 1 < route->max_attempts &&
           std::ranges::any_of(
               servers_of(context.state, service),
               [&](const steering::server_ptr& it)
               { return std::ranges::find(tried, it->id) == tried.end(); });
}

proxy::expected_response
request_flow::make_expectation(const server_placement& placed) const
{
    const auto patience =
        could_try_another()
            ? short_patience
            : steering::unresponsive_time(context.state.options.health,
                                          placed.rank.expected);
    return {marks_of(context.platform.headers), ex->request_id, answer_by,
            patience};
}

std::optional<counted_send>
request_flow::count_send_usage(const server_placement& placed)
{
    if (customer == nullptr)
        return std::nullopt;
    return count_usage(context.state.usage, customer->id,
                       context.state.loads[placed.server->id].round_trip,
                       boot_now());
}

bool request_flow::ended_by_stop(const proxy::call_result& result) const
{
    // Servers are told their deadline in whole milliseconds, rounded down.
    constexpr milliseconds resolution{1};
    const auto& stop_at = context.state.snapshot->stop_at;
    const auto at = now();
    if (!stop_at || at + resolution < last_server_deadline(*stop_at) ||
        at >= answer_by)
        return false;
    return result.outcome == proxy::call_outcome::timed_out ||
           (result.outcome == proxy::call_outcome::answered &&
            result.response.result_int() == status_timeout);
}

void request_flow::record_call(const server_placement& placed,
                               const proxy::call_result& result)
{
    using proxy::call_outcome;
    auto& load = context.state.loads[placed.server->id];
    if (result.connect_time)
        load.round_trip = *result.connect_time;
    if (ended_by_stop(result))
        return;
    auto verdict = steering::request_result::neutral;
    if (result.outcome == call_outcome::answered)
        verdict = record_answer(placed, result);
    else if (result.outcome != call_outcome::cancelled &&
             result.outcome != call_outcome::no_resources)
    {
        verdict = steering::request_result::bad;
        if (result.outcome != call_outcome::not_sent)
            count_result(context.state, *placed.server, true, false);
        else
            mark_unreachable(placed);
    }
    if (steering::record_result(load, verdict, context.state.options.health,
                                now()))
        LOG4CPLUS_INFO(context.log, "server=" << placed.server->id.value
                                              << " event=ejected failure_level="
                                              << load.failure_level);
}

steering::request_result
request_flow::record_answer(const server_placement& placed,
                            const proxy::call_result& result)
{
    auto& state = context.state;
    const auto& names = context.platform.headers;
    state.loads[placed.server->id].last_received = now();
    const auto report = read_load(names, result.response);
    if (report)
        take_report(state, *placed.server, *report, now());
    const auto status = result.response.result_int();
    const bool refused =
        !header_value(result.response, names.not_executed).empty();
    // The response of a server that has taken over the address says nothing
    // about the one that the request was for.
    if (status == status_misdirected)
        return steering::request_result::bad;
    record_notice(placed, result);
    if (refused)
        return report && report->running < report->slots
                   ? steering::request_result::bad
                   : steering::request_result::neutral;
    if (status >= first_server_error)
    {
        count_result(state, *placed.server, true, false);
        return steering::request_result::bad;
    }
    record_success(placed, result, report);
    return steering::request_result::good;
}

void request_flow::record_notice(const server_placement& placed,
                                 const proxy::call_result& result)
{
    const auto& server = *placed.server;
    const auto read = read_notice(context.platform.headers, result.response);
    if (!read.problem.empty())
        context.counters.count_unknown_value();
    const auto at = now();
    const auto change = take_notice(context.state, server, read.notice,
                                    at - result.latency, at);
    if (change.empty() && read.problem.empty())
        return;
    LOG4CPLUS_INFO(context.log,
                   "server=" << server.id.value << " event=server_notice"
                             << " request=" << ex->request_id << change
                             << (read.problem.empty()
                                     ? ""
                                     : " ignored=\"" + read.problem + "\""));
}

void request_flow::log_limit(const server_placement& placed,
                             const limit_change& change) const
{
    context.counters.count_limit_change(change.after < change.before);
    LOG4CPLUS_INFO(context.log,
                   "server=" << placed.server->id.value
                             << " event=server_limit request=" << ex->request_id
                             << " before=" << change.before
                             << " after=" << change.after
                             << " slots=" << placed.server->slots
                             << " time_ratio=" << change.time_ratio);
}

void request_flow::record_success(
    const server_placement& placed, const proxy::call_result& result,
    const std::optional<steering::reported_load>& report)
{
    auto& state = context.state;
    auto& load = state.loads[placed.server->id];
    auto& times = times_of(state, *route, service);
    const auto object = steering::object_hash(route->id, affinity_key);
    const auto learned =
        learn_from_response(state,
                            {*placed.server, placed.rank, *route, object,
                             report, result.latency, placed.cold},
                            now());
    const bool slow =
        !placed.cold &&
        steering::is_slow_response(times, placed.rank, learned.known_warm,
                                   learned.latency, state.options.ranking);
    count_result(state, *placed.server, false, slow);
    steering::record_object(load, object, retention_of(state, service), now());
    if (!placed.cold)
        note_wait(state, service, placed.rank, result.latency);
    if (learned.change)
        log_limit(placed, *learned.change);
    steering::record_size(
        times, ex->request.body().size() + result.response.body().size(),
        state.options.ranking);
}

void request_flow::mark_unreachable(const server_placement& placed)
{
    // The server may return as a new process, which is cold.
    auto& load = context.state.loads[placed.server->id];
    load.ejected_until = now() + context.state.options.unreachable_pause;
    const auto known = routing->services.find(service);
    const auto warmup = known == routing->services.end()
                            ? milliseconds(0)
                            : known->second->warmup;
    load.cold_until = load.ejected_until + warmup;
    load.capacity = {};
    context.pool.drop(placed.server->id);
}

bool request_flow::may_retry(retry_reason reason, bool reached_server)
{
    if (reached_server && sends >= route->max_attempts)
        return false;
    if (!reached_server && tried.size() >= max_unreachable)
        return false;
    const auto& times = times_of(context.state, *route, service);
    if (static_cast<double>(remaining().count()) < times.warm_ms)
        return false;
    if (reached_server && !take_retry_budget(context.state, service))
        return false;
    context.counters.count_retry(reason);
    return true;
}

request_flow::next_step
request_flow::handle_result(const server_placement& placed,
                            proxy::call_result& result)
{
    last_detail = result.detail;
    server_latency = result.latency;
    if (result.fault)
        context.counters.count_response_fault(to_string(*result.fault));
    if (result.outcome == proxy::call_outcome::answered)
        return handle_answer(placed, result);
    return handle_failure(placed, result);
}

request_flow::next_step
request_flow::handle_answer(const server_placement& /*placed*/,
                            proxy::call_result& result)
{
    const auto status = result.response.result_int();
    const bool refused =
        !header_value(result.response, context.platform.headers.not_executed)
             .empty();
    const bool echoes_id =
        !header_value(result.response, context.platform.headers.request_id)
             .empty();
    // It may be a late response to another request.
    if ((refused || status == status_misdirected) && !echoes_id &&
        result.reused)
        may_have_run = true;
    if ((refused || status == status_misdirected) && !idempotent() &&
        !echoes_id)
    {
        last_detail = "refusal with " + std::to_string(status) +
                      " that does not name the request";
        fail(refusal_reason::backend_incomplete, status_bad_gateway);
        return next_step::done;
    }
    if (refused || status == status_misdirected)
    {
        last_detail = "refused with " + std::to_string(status);
        if (may_retry(retry_reason::backend_shed, true))
            return next_step::try_again;
        // A faulty server may refuse requests with slots free.
        const auto report =
            read_load(context.platform.headers, result.response);
        if (report && report->running < report->slots)
        {
            give_up(refusal_reason::backend_shed);
            return next_step::done;
        }
        note_unmet(context.state, service, now());
        refuse_for_room(refusal_reason::backend_shed, std::nullopt);
        return next_step::done;
    }
    if (status >= first_server_error && idempotent() &&
        may_retry(retry_reason::incomplete_response, true))
    {
        failure_response = std::move(result.response);
        ex->response_memory = std::move(result.memory);
        return next_step::try_again;
    }
    if (!idempotent() && promises_not_run(status))
    {
        last_detail = "status " + std::to_string(status) +
                      " without the mark of a request that has not run";
        fail(refusal_reason::backend_failed, status_bad_gateway);
        return next_step::done;
    }
    ex->response_memory = std::move(result.memory);
    deliver(std::move(result.response));
    return next_step::done;
}

request_flow::next_step
request_flow::handle_failure(const server_placement& /*placed*/,
                             const proxy::call_result& result)
{
    using proxy::call_outcome;
    switch (result.outcome)
    {
    case call_outcome::not_sent:
        if (may_retry(retry_reason::connect_failed, false))
            return next_step::try_again;
        give_up(refusal_reason::no_capacity);
        break;
    case call_outcome::no_resources:
        // Another server can't be connected to either.
        give_up(refusal_reason::no_capacity);
        break;
    case call_outcome::lost:
        may_have_run = true;
        if (idempotent() &&
            may_retry(result.fault ? retry_reason::incomplete_response
                                   : retry_reason::connection_lost,
                      true))
            return next_step::try_again;
        fail(refusal_reason::backend_incomplete, status_bad_gateway);
        break;
    case call_outcome::timed_out:
        fail(ended_by_stop(result) ? refusal_reason::draining
                                   : refusal_reason::deadline,
             status_timeout);
        break;
    case call_outcome::answered:
    case call_outcome::cancelled:
        break;
    }
    return next_step::done;
}

void request_flow::deliver(proxy::response_message response)
{
    const auto& names = context.platform.headers;
    const auto status = response.result_int();
    const std::string length(response[proxy::http::field::content_length]);
    proxy::remove_connection_headers(response);
    if (ex->request.method() == proxy::http::verb::head && !length.empty())
        response.set(proxy::http::field::content_length, length);
    response.erase(names.server_load);
    end(status, to_string(run_outcome::result), "answered");
    proxy::respond(*ex, std::move(response));
}

void request_flow::refuse(refusal_reason reason, milliseconds retry_after)
{
    unsigned status = status_unavailable;
    if (reason == refusal_reason::no_route)
        status = status_not_found;
    else if (reason == refusal_reason::missing_key ||
             reason == refusal_reason::unknown_key)
        status = status_unauthorized;
    else if (reason == refusal_reason::customer_rate)
        status = status_too_many;
    if (token_taken)
        return_token();
    auto response = proxy::make_response(status, to_string(reason));
    if (retry_after > milliseconds(0))
    {
        constexpr double ms_per_s = 1'000;
        // A place in the order of return is spread already.
        std::uniform_int_distribution<std::int64_t> spread(
            0, return_at ? 0 : retry_after_jitter.count());
        const auto ms = retry_after.count() + spread(context.state.rng);
        std::array<char, 32> buf{};
        const auto n = std::snprintf(buf.data(), buf.size(), "%.3f",
                                     static_cast<double>(ms) / ms_per_s);
        response.set(proxy::http::field::retry_after,
                     std::string(buf.data(), static_cast<std::size_t>(n)));
    }
    context.counters.count_refusal(reason);
    end(status, to_string(run_outcome::not_run), to_string(reason));
    proxy::respond(*ex, std::move(response));
}

void request_flow::give_up(refusal_reason reason)
{
    give_up(reason, default_retry_after);
}

void request_flow::give_up(refusal_reason reason, milliseconds retry_after)
{
    if (failure_response)
        deliver(std::move(*failure_response));
    else if (may_have_run)
        fail(refusal_reason::backend_incomplete, status_bad_gateway);
    else
        refuse(reason, retry_after);
}

void request_flow::fail(refusal_reason reason, unsigned status)
{
    context.counters.count_refusal(reason);
    end(status, to_string(run_outcome::unknown), to_string(reason));
    proxy::respond(*ex, proxy::make_response(status, to_string(reason)));
}

void request_flow::end_cancelled()
{
    if (ex->closed_by == close_reason::caller_left)
    {
        context.counters.count_caller_gone();
        end(0, "cancelled", "caller_gone");
        return;
    }
    last_detail = to_string(ex->closed_by);
    end(0, "cancelled", "cut_off");
}

std::string request_flow::describe_drain() const
{
    const auto& stop_at = context.state.snapshot->stop_at;
    if (!stop_at || route == nullptr)
        return {};
    return " exit_in_ms=" + std::to_string(until(*stop_at).count()) +
           " caller_left_ms=" + std::to_string(until(deadline).count());
}

void request_flow::end(unsigned status, std::string_view outcome,
                       std::string_view reason)
{
    const auto at = now();
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
        at - ex->received);
    if (route != nullptr)
        context.counters.count_request(route->id,
                                       outcome == "result" ? run_outcome::result
                                       : outcome == "not-run"
                                           ? run_outcome::not_run
                                           : run_outcome::unknown,
                                       took);
    const auto connection_age = std::chrono::duration_cast<milliseconds>(
        ex->received - ex->connection_start);
    const auto state_age = std::chrono::duration_cast<milliseconds>(
        at - context.state.snapshot->last_store_contact);
    LOG4CPLUS_INFO(
        context.log,
        "request="
            << ex->request_id
            << " method=" << proxy::http::to_string(ex->request.method())
            << " route=" << (route == nullptr ? "-" : route->id.value)
            << " customer=" << (customer == nullptr ? "-" : customer->id.value)
            << " service=" << (service.value.empty() ? "-" : service.value)
            << " object=" << affinity_key << " server="
            << (tried.empty() ? "-" : tried.back().value) << " sends=" << sends
            << " status=" << status << " outcome=" << outcome
            << " reason=" << reason << " ms=" << took.count() / 1'000
            << " connection_ms=" << connection_age.count()
            << " server_ms=" << server_latency.count() / 1'000
            << " expected_ms=" << rank.expected.count()
            << " queue=" << rank.queue_factor << " warm=" << rank.warm
            << " limit=" << rank.limit << " pace=" << rank.pace << " rank="
            << (route == nullptr
                    ? "-"
                    : steering::to_string(rank_of(*route, customer)))
            << (return_at
                    ? " return_ms=" + std::to_string(return_at->after.count()) +
                          " return_in_time=" +
                          std::to_string(int(return_at->in_time))
                    : "")
            << " config=" << (routing ? routing->config->version.value : 0)
            << " state_age_ms=" << state_age.count() << describe_drain()
            << (last_detail.empty() ? "" : " detail=\"" + last_detail + "\""));
}

} // namespace parsleyplank::edge
