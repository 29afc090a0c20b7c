#include <parsleyplank/edge/region_room.hpp>
#include <parsleyplank/edge/server_limits.hpp>
#include <parsleyplank/edge/traffic_state.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace parsleyplank::edge
{

namespace
{

placement::retry_budget& budget_of(traffic_state& state,
                                   const service_id& service)
{
    const auto members =
        std::max<std::size_t>(1, state.snapshot->members.size());
    const auto& bounds = state.config.bounds;
    const auto used = state.options.retry_part_used;
    const auto reserve =
        bounds.retry_slack * used / static_cast<double>(members);
    const auto [it, added] = state.retries.try_emplace(service);
    auto& budget = it->second;
    budget.retry_ratio = bounds.retry_ratio * used;
    budget.max_available = std::max(1.0, reserve);
    if (added)
        budget.available = budget.max_available;
    return budget;
}

} // namespace

const std::vector<steering::server_ptr>& servers_of(const traffic_state& state,
                                                    const service_id& service)
{
    static const std::vector<steering::server_ptr> none;
    const auto it = state.snapshot->servers.find(service);
    return it == state.snapshot->servers.end() ? none : it->second;
}

void adopt_snapshot(traffic_state& state, snapshot_ptr next, time_point now)
{
    state.snapshot = std::move(next);
    if (const auto& routing = state.snapshot->routing;
        routing && routing->config)
        adopt_division(state.tokens, routing->config->customers,
                       state.snapshot->rates, state.snapshot->token_peers, now);
    state.surplus.clear();
    for (const auto& [service, servers] : state.snapshot->servers)
        state.surplus[service] = find_surplus(*state.snapshot, servers);
    std::set<backend_server_id> present;
    for (const auto& [service, servers] : state.snapshot->servers)
        std::ranges::transform(servers, std::inserter(present, present.end()),
                               [](const auto& it) { return it->id; });
    std::erase_if(
        state.loads, [&](const auto& it)
        { return it.second.in_flight.empty() && !present.contains(it.first); });
    std::erase_if(state.notices,
                  [&](const auto& it)
                  {
                      return !present.contains(it.first) &&
                             now - it.second.answered >
                                 state.options.notice_retention;
                  });
    adopt_limits(state, now);
    adopt_ranks(state);
}

const service_id& next_service(traffic_state& state,
                               const steering::traffic_route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& credit = state.splits[route.id].credit;
    double sum = 0;
    for (const auto& it : route.services)
    {
        credit[it.service] += it.weight;
        sum += it.weight;
    }
    const auto& chosen = *std::ranges::max_element(
        route.services, {},
        [&](const steering::weighted_service& it)
        { return it.weight > 0 ? credit[it.service] : -sum; });
    credit[chosen.service] -= sum;
    return chosen.service;
}

void take_report(traffic_state& state, const steering::backend_server& server,
                 const steering::reported_load& report, time_point now)
{
    auto& load = state.loads[server.id];
    steering::record_report(load, report, now);
    steering::check_process(load.capacity, server.started_ms);
    if (report.pace)
        steering::record_pace(load.capacity.pace, *report.pace,
                              state.options.capacity, now);
    steering::record_region_load(
        state.region_loads[{server.service, server.region}],
        load.others / static_cast<double>(std::max(1U, server.slots)),
        state.options.health, now);
}

void count_send(traffic_state& state, const service_id& service)
{
    placement::record_request(budget_of(state, service));
}

bool take_retry_budget(traffic_state& state, const service_id& service)
{
    return placement::take_retry(budget_of(state, service));
}

steering::service_times& times_of(traffic_state& state,
                                  const steering::traffic_route& route,
                                  const service_id& service)
{
    const auto [it, added] = state.times.try_emplace({route.id, service});
    if (added)
        it->second = steering::initial_times(route.target_latency);
    return it->second;
}

void count_result(traffic_state& state, const steering::backend_server& server,
                  bool failed, bool slow)
{
    const auto policy = state.snapshot->versions.find(server.service);
    if (policy == state.snapshot->versions.end() || !policy->second.compared ||
        !policy->second.target)
        return;
    auto& tally = state.tallies[{server.service, *policy->second.target}];
    auto& side =
        server.version == policy->second.target ? tally.target : tally.others;
    if (failed)
    {
        ++side.bad;
        return;
    }
    ++side.good;
    if (slow)
        ++side.slow;
}

traffic_report make_report(traffic_state& state, time_point now)
{
    traffic_report report;
    report.tallies = state.tallies;
    if (!state.notices.empty())
        report.limits = report_limits(state, now);
    report_admission(state, report, now);
    return report;
}

} // namespace parsleyplank::edge
