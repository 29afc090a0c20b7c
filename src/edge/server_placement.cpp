#include <parsleyplank/edge/region_room.hpp>
#include <parsleyplank/edge/server_capacity_state.hpp>
#include <parsleyplank/edge/server_limits.hpp>
#include <parsleyplank/edge/server_placement.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

// Returns whether the next request of the service goes to the target version,
// and updates the credit of the target.
bool take_target_credit(traffic_state& state, const service_id& service,
                        share_ppm share)
{
    auto& credit = state.target_credit[service];
    credit += static_cast<double>(share.value) / ppm_total;
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

steering::distance distance_to(const settings& self,
                               const steering::backend_server& server)
{
    if (server.domain == self.domain)
        return steering::distance::same_domain;
    return server.region == self.region ? steering::distance::same_region
                                        : steering::distance::other_region;
}

// Updates the budget with this instance's part of the rate of a cold server and
// returns whether it allows a request now.
bool cold_budget_allows(traffic_state& state,
                        const steering::backend_server& server,
                        steering::server_load& load, time_point now)
{
    const auto& routing = *state.snapshot->routing;
    const auto service = routing.services.find(server.service);
    if (service == routing.services.end() || service->second->warmup_rate <= 0)
        return true;
    const auto rate =
        steering::cold_rate(server, state.config.id, state.snapshot->members,
                            service->second->warmup_rate);
    if (rate.value <= 0)
        return false;
    auto& budget = load.cold_budget;
    if (budget.refilled == time_point{})
        budget = {rate, tokens(1), tokens(1), now};
    quota::resize(budget, rate, tokens(1), now);
    return budget.level >= tokens(1);
}

bool is_cold(const steering::backend_server& server,
             const steering::server_load& load, time_point now)
{
    return now < server.cold_until || now < load.cold_until;
}

std::vector<steering::candidate>
find_candidates(traffic_state& state, const placement_request& request,
                time_point now)
{
    std::vector<steering::candidate> found;
    std::vector<steering::server_limit*> remote_limits;
    const auto object =
        steering::object_hash(request.route.id, request.affinity_key);
    const auto retention = retention_of(state, request.service);
    for (const auto& server : servers_of(state, request.service))
    {
        if (!steering::region_allowed(request.route, request.customer,
                                      server->region) ||
            std::ranges::find(request.tried, server->id) != request.tried.end())
            continue;
        auto* const notice = find_notice(state, *server);
        if (notice != nullptr &&
            (notice->leaving || now < notice->paused_until))
            continue;
        auto& load = state.loads[server->id];
        const bool cold = is_cold(*server, load, now);
        if (cold && !cold_budget_allows(state, *server, load, now))
            continue;
        const auto proximity = distance_to(state.config, *server);
        const bool limited = notice != nullptr && notice->limit.in_force;
        if (limited)
        {
            auto& limit = notice->limit;
            if (proximity == steering::distance::other_region)
                remote_limits.push_back(&limit);
            else
                steering::claim_limit(limit, state.options.claim_time, now);
            if (!limit_allows(state, *server, limit, now))
                continue;
        }
        const auto per_slot = steering::region_load_per_slot(
            state.region_loads[{server->service, server->region}],
            state.options.health, now);
        found.push_back(
            {server, &load, proximity, cold,
             steering::served_recently(load, object, retention, now),
             // Few requests of others are at a server with a limit, however
             // many the other servers of its region have.
             limited ? 0 : per_slot * server->slots});
        add_capacity(state, found.back(), now);
    }
    // Servers of other regions are needed only if this region has none.
    const bool local = std::ranges::any_of(
        found, [](const steering::candidate& it)
        { return it.proximity != steering::distance::other_region; });
    if (!local)
        std::ranges::for_each(
            remote_limits, [&](steering::server_limit* it)
            { steering::claim_limit(*it, state.options.claim_time, now); });
    return found;
}

// Returns the time until a server that the request may use takes requests
// again, if it asked for a pause or has named a limit of which this instance
// has a part; nullopt if there is no such server.
std::optional<milliseconds> find_wait(traffic_state& state,
                                      const placement_request& request,
                                      time_point now)
{
    std::optional<milliseconds> wait;
    for (const auto& server : servers_of(state, request.service))
    {
        const auto* notice = find_notice(state, *server);
        if (notice == nullptr || notice->leaving ||
            !steering::region_allowed(request.route, request.customer,
                                      server->region))
            continue;
        const auto until = std::chrono::ceil<milliseconds>(
            std::max(steering::next_token(notice->limit, now),
                     notice->paused_until) -
            now);
        if (until > milliseconds(0))
            wait = std::min(until, wait.value_or(until));
    }
    return wait;
}

// Removes the candidates of rejected versions and those of the versions that
// the request is not due to. A request that is due to the target may use other
// versions if the target has no candidate.
void filter_by_version(traffic_state& state, const service_id& service,
                       std::vector<steering::candidate>& candidates)
{
    const auto found = state.snapshot->versions.find(service);
    if (found == state.snapshot->versions.end())
        return;
    const auto& policy = found->second;
    std::erase_if(candidates, [&](const steering::candidate& it)
                  { return policy.rejected.contains(it.server->version); });
    if (!policy.target)
        return;
    const bool due = take_target_credit(state, service, policy.target_share);
    const auto others = std::stable_partition(
        candidates.begin(), candidates.end(),
        [&](const steering::candidate& it)
        { return (it.server->version == *policy.target) == due; });
    const bool matching = others != candidates.begin();
    // A request that is not due to the target must not reach it, or the target
    // would exceed its share.
    if (matching || !due)
        candidates.erase(others, candidates.end());
}

// Returns the key of the object of the request; empty if its route has no
// affinity.
std::string_view object_of(const placement_request& request)
{
    return request.route.affinity ? std::string_view(request.affinity_key)
                                  : std::string_view();
}

// Moves the candidates of this region to the front and returns the end of them.
std::vector<steering::candidate>::iterator
split_by_region(std::vector<steering::candidate>& candidates)
{
    return std::stable_partition(
        candidates.begin(), candidates.end(),
        [](const steering::candidate& it)
        { return it.proximity != steering::distance::other_region; });
}

std::optional<server_placement>
choose_among(traffic_state& state, const placement_request& request,
             std::span<const steering::candidate> candidates,
             const region_id& overflow_region, bool free_slots_only,
             time_point now)
{
    steering::object_affinity object;
    object.key = object_of(request);
    object.overflow_region = overflow_region;
    if (request.route.large_body)
        object.group = steering::object_group::domain;
    const auto chosen = steering::choose_server(
        candidates, object, times_of(state, request.route, request.service),
        state.options.ranking, state.options.health, free_slots_only, now);
    if (!chosen)
        return std::nullopt;
    const auto& it = candidates[chosen->position];
    return server_placement{it.server, *chosen, it.cold};
}

// Returns whether a request that is not expected to meet its objective may wait
// at the server all the same.
bool waits_without_harm(traffic_state& state, const placement_request& request,
                        const server_placement& placed)
{
    return has_ranks(state, request.service) &&
           steering::may_wait(state.admission.waits[request.service],
                              placed.rank, placed.server->slots,
                              times_of(state, request.route, request.service),
                              {request.time_left, request.caller_time_left,
                               request.route.target_latency,
                               is_most_urgent(state, request.service,
                                              request.route, request.customer)},
                              state.admission.wait_options);
}

} // namespace

void confirm_placement(traffic_state& state, const server_placement& placed,
                       time_point now)
{
    if (placed.cold)
        quota::take(state.loads[placed.server->id].cold_budget, tokens(1), now);
    if (auto* notice = find_notice(state, *placed.server);
        notice != nullptr && notice->limit.in_force)
        quota::take(notice->limit.budget, tokens(1), now);
}

placement_decision place_request(traffic_state& state,
                                 const placement_request& request,
                                 time_point now)
{
    auto candidates = find_candidates(state, request, now);
    filter_by_version(state, request.service, candidates);
    const auto first_remote = split_by_region(candidates);
    const std::span local_servers(candidates.begin(), first_remote);
    const auto overflow_region = find_overflow_region(
        state, request.service, object_of(request),
        {first_remote, candidates.end()}, local_servers.empty());
    const auto others =
        std::stable_partition(first_remote, candidates.end(),
                              [&](const steering::candidate& it) {
                                  return object_of(request).empty() ||
                                         it.server->region == overflow_region;
                              });
    auto local = choose_among(state, request, local_servers, overflow_region,
                              false, now);
    auto remote = choose_among(state, request, {first_remote, others},
                               overflow_region, false, now);
    if (!local && !remote)
        remote = choose_among(state, request, {others, candidates.end()},
                              overflow_region, false, now);
    placement_decision decision;
    if (candidates.empty())
        decision.retry_after = find_wait(state, request, now);
    if (local && remote &&
        leaves_region(state, object_of(request),
                      local->rank.cost_ms - remote->rank.cost_ms, now))
        local.reset();
    else if (local && remote && remote->rank.cost_ms < local->rank.cost_ms)
        decision.reason = refusal_reason::shift_cap;
    decision.placed = local ? std::move(local) : std::move(remote);
    if (!decision.placed)
        return decision;
    decision.rank = decision.placed->rank;
    if (decision.rank.queueing > milliseconds(0) &&
        decision.rank.expected > request.time_left &&
        !waits_without_harm(state, request, *decision.placed))
        decision.placed = choose_among(state, request, local_servers,
                                       overflow_region, true, now);
    if (decision.placed)
        decision.rank = decision.placed->rank;
    return decision;
}

} // namespace parsleyplank::edge
