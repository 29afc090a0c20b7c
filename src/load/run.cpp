#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/http_calls.hpp>
#include <parsleyplank/load/lookup_cache.hpp>
#include <parsleyplank/load/run.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <utility>

namespace parsleyplank::load
{

namespace
{

// A repeat waits this long times the number of repeats so far.
constexpr milliseconds repeat_pause{200};
constexpr int most_repeats = 8;
// Look-ups that no instance answers are tried again this often.
constexpr int most_lookup_rounds = 10;
constexpr milliseconds longest_wait{100};
constexpr microseconds short_wait{50};

struct open_request
{
    const arrival* source = nullptr;
    std::vector<endpoint> untried;
    int repeats_left = most_repeats;
    int lookups_left = most_lookup_rounds;
    bool may_have_run = false;
    std::uint64_t attempts = 0;
    completion end;
};

using request_ptr = std::shared_ptr<open_request>;

class runner
{
public:
    runner(const scenario& plan, const run_settings& with)
        : s(plan), settings(with), schedule(make_schedule(plan)),
          lookups(calls, with.entries), results(make_results(plan)),
          random(plan.seed)
    {
    }

    run_results run();

private:
    void start_due();
    void wait();
    void begin(const arrival& a);
    void find_instances(const request_ptr& r);
    void send(const request_ptr& r);
    void receive(const request_ptr& r, const http_answer& response);
    void finish(const request_ptr& r, run_outcome outcome,
                const std::string& reason);
    void call_fault(const fault_call& fault);
    void call_later(time_point due, std::function<void()> action);
    std::string key_of(const arrival& a) const;
    http_call make_call(const arrival& a, const endpoint& to) const;
    const route_load& route_of(const arrival& a) const;

    const scenario& s;
    const run_settings& settings;
    const std::vector<arrival> schedule;
    http_calls calls;
    lookup_cache lookups;
    run_results results;
    std::mt19937_64 random;
    time_point started;
    std::size_t next_arrival = 0;
    std::map<const arrival*, request_ptr> open;
    std::multimap<time_point, std::function<void()>> timers;
};

time_point now()
{
    return std::chrono::steady_clock::now();
}

microseconds since(time_point start)
{
    return std::chrono::duration_cast<microseconds>(now() - start);
}

double machine_load()
{
    double load = 0;
    return getloadavg(&load, 1) == 1 ? load : 0;
}

attempt_result to_result(const http_answer& response)
{
    const auto header = [&](const char* name)
    {
        const auto it = response.headers.find(name);
        return it == response.headers.end() ? std::string() : it->second;
    };
    attempt_result result;
    result.sent = response.sent;
    result.answered = response.answered;
    result.status = response.status;
    if (!response.sent || !response.answered)
    {
        result.outcome =
            response.sent ? run_outcome::unknown : run_outcome::not_run;
        result.reason =
            response.sent ? "connection_lost" : "connection_refused";
        return result;
    }
    const auto outcome = header("x-parsleyplank-outcome");
    result.reason = header("x-parsleyplank-reason");
    result.replayed = header("x-parsleyplank-replayed") == "true";
    if (outcome == to_string(run_outcome::result))
        result.outcome = run_outcome::result;
    else if (outcome == to_string(run_outcome::not_run))
        result.outcome = run_outcome::not_run;
    else if (result.reason.empty())
        result.reason = "status_" + std::to_string(response.status);
    return result;
}

run_results runner::run()
{
    results.machine_load[0] = machine_load();
    started = now();
    std::ranges::for_each(
        s.faults,
        [&](const fault_call& fault)
        {
            const auto at = std::chrono::duration_cast<microseconds>(
                std::chrono::duration<double>(fault.at_s));
            call_later(started + at, [this, &fault] { call_fault(fault); });
        });
    const auto last = schedule.empty() ? microseconds(0) : schedule.back().at;
    const auto limit = started + last + settings.grace;
    while ((next_arrival < schedule.size() || !open.empty()) && now() < limit)
    {
        start_due();
        wait();
    }
    const auto left = std::exchange(open, {});
    std::ranges::for_each(
        left, [&](const auto& item)
        { finish(item.second, run_outcome::unknown, "unfinished"); });
    results.machine_load[1] = machine_load();
    return results;
}

void runner::start_due()
{
    while (!timers.empty() && timers.begin()->first <= now())
    {
        const auto action = timers.begin()->second;
        timers.erase(timers.begin());
        action();
    }
    while (next_arrival < schedule.size() &&
           started + schedule[next_arrival].at <= now())
        begin(schedule[next_arrival++]);
}

void runner::wait()
{
    auto due = now() + longest_wait;
    if (!timers.empty())
        due = std::min(due, timers.begin()->first);
    if (next_arrival < schedule.size())
        due = std::min<time_point>(due, started + schedule[next_arrival].at);
    const auto limit = std::chrono::duration_cast<milliseconds>(due - now());
    calls.poll(std::max(limit, milliseconds(0)));
    // libcurl waits whole milliseconds; the rest is waited in short steps.
    if (limit < milliseconds(1) && now() < due)
        std::this_thread::sleep_for(short_wait);
}

void runner::begin(const arrival& a)
{
    results.largest_start_delay =
        std::max(results.largest_start_delay, since(started) - a.at);
    auto r = std::make_shared<open_request>();
    r->source = &a;
    open.emplace(&a, r);
    find_instances(r);
}

void runner::find_instances(const request_ptr& r)
{
    const auto& a = *r->source;
    lookups.find(s.regions[a.region].address, s.customers[a.customer].id,
                 [this, r](const lookup_answer* answer)
                 {
                     if (answer != nullptr)
                     {
                         r->untried = order_to_try(*answer, random);
                         send(r);
                     }
                     else if (r->lookups_left-- > 0)
                         call_later(now() + repeat_pause,
                                    [this, r] { find_instances(r); });
                     else
                         finish(r,
                                r->may_have_run ? run_outcome::unknown
                                                : run_outcome::not_run,
                                "no_lookup_answer");
                 });
}

void runner::send(const request_ptr& r)
{
    const auto to = r->untried.front();
    r->untried.erase(r->untried.begin());
    ++r->attempts;
    calls.start(make_call(*r->source, to),
                [this, r](const http_answer& response)
                { receive(r, response); });
}

void runner::receive(const request_ptr& r, const http_answer& response)
{
    const auto result = to_result(response);
    const auto step = decide({route_of(*r->source).kind, r->may_have_run,
                              r->untried.size(), r->repeats_left},
                             result);
    r->end.cut_off_attempts += result.sent && !result.answered ? 1 : 0;
    r->may_have_run |= result.outcome == run_outcome::unknown;
    r->end.replayed = result.replayed;
    switch (step)
    {
    case next_step::finish:
        finish(r, result.outcome, result.reason);
        break;
    case next_step::give_up:
        finish(r, run_outcome::unknown, result.reason);
        break;
    case next_step::next_instance:
        send(r);
        break;
    case next_step::repeat:
        const int n = most_repeats - --r->repeats_left;
        call_later(now() + repeat_pause * n, [this, r] { find_instances(r); });
        break;
    }
}

void runner::finish(const request_ptr& r, run_outcome outcome,
                    const std::string& reason)
{
    const auto& a = *r->source;
    open.erase(&a);
    r->end.outcome = outcome;
    r->end.reason = reason;
    r->end.latency = since(started) - a.at;
    r->end.further_attempts = r->attempts > 0 ? r->attempts - 1 : 0;
    add(results.counts[a.customer][a.route], a, r->end);
    if (settings.on_order && route_of(a).kind == execution::at_most_once)
        settings.on_order(key_of(a), r->end);
}

void runner::call_fault(const fault_call& fault)
{
    http_call call;
    call.method = fault.method;
    call.url = fault.url;
    call.body = fault.body;
    calls.start(std::move(call),
                [this, &fault](const http_answer& response)
                {
                    const bool done =
                        response.answered && response.status / 100 == 2;
                    results.faults_failed += done ? 0 : 1;
                    const auto seen =
                        response.answered
                            ? "status " + std::to_string(response.status)
                            : response.problem;
                    if (settings.on_fault)
                        settings.on_fault("fault " + fault.method + " " +
                                          fault.url + ": " + seen);
                });
}

void runner::call_later(time_point due, std::function<void()> action)
{
    timers.emplace(due, std::move(action));
}

std::string runner::key_of(const arrival& a) const
{
    return settings.run_id + "-" + s.customers[a.customer].id + "-" +
           std::to_string(a.number);
}

const route_load& runner::route_of(const arrival& a) const
{
    return s.routes[a.route];
}

http_call runner::make_call(const arrival& a, const endpoint& to) const
{
    const auto& route = route_of(a);
    http_call call;
    call.method = route.method;
    call.url = base_url(to) + route.path;
    call.timeout = route.timeout;
    call.body.assign(route.body_bytes, 'x');
    call.may_resend =
        route.kind == execution::idempotent && route.keep_connections;
    if (!route.open)
        call.headers.push_back("X-Api-Key: " + s.customers[a.customer].api_key);
    if (route.kind == execution::at_most_once)
        call.headers.push_back("Idempotency-Key: " + key_of(a));
    if (route.body_bytes > 0)
        call.headers.emplace_back("Content-Type: application/octet-stream");
    return call;
}

} // namespace

endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint e;
    if (colon != std::string::npos && colon > 0)
    {
        const char* const end = text.data() + text.size();
        const auto [it, ec] =
            std::from_chars(text.data() + colon + 1, end, e.port);
        if (ec == std::errc() && it == end && e.port > 0)
        {
            e.address = text.substr(0, colon);
            return e;
        }
    }
    throw error("'" + text + "' is not ADDRESS:PORT");
}

run_results run_scenario(const scenario& s, const run_settings& settings)
{
    if (settings.entries.empty())
        throw error("a run needs at least one entry");
    return runner(s, settings).run();
}

} // namespace parsleyplank::load
