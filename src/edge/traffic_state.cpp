#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/traffic_state.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <sstream>

namespace parsleyplank::edge
{

namespace
{

const std::vector<steering::server_ptr>& servers_of(const traffic_state& state,
                                                    const service_id& service)
{
    static const std::vector<steering::server_ptr> none;
    const auto it = state.snapshot->servers.find(service);
    return it == state.snapshot->servers.end() ? none : it->second;
}

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

// Returns what the server has asked for; nothing if it has been started again
// since.
steering::notice_state& notice_of(traffic_state& state,
                                  const steering::backend_server& server)
{
    auto& it = state.notices[server.id];
    if (it.started_ms != server.started_ms)
        it = {.started_ms = server.started_ms};
    it.limit.in_own_region = server.region == state.config.region;
    return it;
}

// Returns what the current process of the server has asked for, or nullptr if
// nothing is known of it.
steering::notice_state* find_notice(traffic_state& state,
                                    const steering::backend_server& server)
{
    const auto it = state.notices.find(server.id);
    return it != state.notices.end() &&
                   it->second.started_ms == server.started_ms
               ? &it->second
               : nullptr;
}

// Returns the peers among which the limit of the server is divided: those of
// its region, unless they say that they have no requests for it, and those of
// other regions that claim a part. So the instances of the region need not hear
// from each other before they use a new limit.
std::vector<steering::fleet_member>
find_claimants(const traffic_state& state,
               const steering::backend_server& server)
{
    static const peer_limit none;
    const auto& snapshot = *state.snapshot;
    const auto it = snapshot.limits.find(server_number(server));
    const auto& reported = it == snapshot.limits.end() ? none : it->second;
    std::vector<steering::fleet_member> found;
    std::ranges::copy_if(snapshot.members, std::back_inserter(found),
                         [&](const steering::fleet_member& peer)
                         {
                             return peer.region == server.region &&
                                    !reported.without_requests.contains(
                                        peer.id);
                         });
    std::ranges::copy_if(reported.claimants, std::back_inserter(found),
                         [&](const steering::fleet_member& peer)
                         { return peer.region != server.region; });
    return found;
}

// Updates the budget with this instance's part of the server's limit and
// returns whether it allows a request now.
bool limit_allows(const traffic_state& state,
                  const steering::backend_server& server,
                  steering::server_limit& limit, time_point now)
{
    // The peers reckon neither with an instance that is draining nor with one
    // whose claim they don't know yet.
    if (state.snapshot->draining ||
        !steering::has_claim(limit, state.options.claim_time,
                             state.snapshot->claim_delay, now))
        return false;
    const auto share = steering::divide_limit(
        server, limit,
        {state.config.id, state.config.domain, state.config.region, {}},
        find_claimants(state, server), now);
    auto& budget = limit.budget;
    if (budget.refilled == time_point{})
    {
        const bool from_start = limit.wanted_since == time_point{};
        budget = {share.rate, share.burst,
                  from_start ? share.first_level : tokens(0), now};
    }
    quota::resize(budget, share.rate, share.burst, now);
    return budget.level >= tokens(1);
}

// Takes over the limits that peers have heard of since this instance did.
void adopt_limits(traffic_state& state, time_point now)
{
    const auto& limits = state.snapshot->limits;
    if (limits.empty())
        return;
    for (const auto& [service, servers] : state.snapshot->servers)
        for (const auto& server : servers)
        {
            const auto reported = limits.find(server_number(*server));
            if (reported == limits.end())
                continue;
            auto& limit = notice_of(state, *server).limit;
            if (reported->second.heard > limit.heard)
                steering::set_limit(limit, reported->second.rate,
                                    reported->second.heard, now);
        }
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
             steering::served_recently(load, object, state.options.health, now),
             // Few requests of others are at a server with a limit, however
             // many the other servers of its region have.
             limited ? 0 : per_slot * server->slots});
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

// Returns the part of all callers that is in the region. They are distributed
// like the registered instances; 0 if none is registered.
double part_of_callers(const steering_snapshot& snapshot,
                       const region_id& region)
{
    std::size_t all = 0;
    for (const auto& [id, count] : snapshot.registered)
        all += count;
    const auto it = snapshot.registered.find(region);
    return it == snapshot.registered.end()
               ? 0
               : static_cast<double>(it->second) / static_cast<double>(all);
}

// Returns the initial shift from this region's part of the instances, which are
// distributed like the callers, and its part of the slots of all services.
steering::region_shift initial_shift(const traffic_state& state, time_point now)
{
    const auto& own = state.config.region;
    double slots = 0;
    double own_slots = 0;
    for (const auto& [service, servers] : state.snapshot->servers)
        for (const auto& it : servers)
        {
            slots += it->slots;
            own_slots += it->region == own ? it->slots : 0;
        }
    const auto callers_part = part_of_callers(*state.snapshot, own);
    if (slots <= 0)
        return steering::initial_shift(0, 0, now);
    return steering::initial_shift(callers_part, own_slots / slots, now);
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

// Returns the key of the object of the request; empty if its route has no
// affinity.
std::string_view object_of(const placement_request& request)
{
    return request.route.affinity ? std::string_view(request.affinity_key)
                                  : std::string_view();
}

// Returns the region that serves the object if it leaves this one: a region
// with surplus slots, else one whose deficit is no larger than that of this
// region, or any region if this one has no server for the request. Empty if
// there is none.
region_id find_overflow_region(
    const traffic_state& state, const placement_request& request,
    std::span<const steering::candidate> remote_candidates, bool must_leave)
{
    const auto known = state.surplus.find(request.service);
    if (known == state.surplus.end())
        return {};
    std::map<region_id, double> slots;
    for (const auto& it : remote_candidates)
        slots[it.server->region] += it.server->slots;
    double own = std::numeric_limits<double>::lowest();
    std::vector<steering::region_surplus> others;
    for (const auto& it : known->second)
        if (it.region == state.config.region && !must_leave)
            own = it.slots;
        else if (slots.contains(it.region))
            others.push_back(it);
    auto found = steering::choose_overflow_region(object_of(request), others);
    if (!found.value.empty())
        return found;
    for (auto& it : others)
        it.slots = it.slots >= own ? slots[it.region] : 0;
    return steering::choose_overflow_region(object_of(request), others);
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

// Returns whether the request goes to the server of the other region.
bool leaves_region(traffic_state& state, const placement_request& request,
                   const server_placement& local,
                   const server_placement& remote, time_point now)
{
    if (!state.shift)
        state.shift = initial_shift(state, now);
    std::optional<double> position;
    if (const auto object = object_of(request); !object.empty())
        position = steering::object_position(object);
    return steering::shift_request(*state.shift,
                                   local.rank.cost_ms - remote.rank.cost_ms,
                                   position, state.options.shift, now);
}

// Returns the slots of each region beyond its share of the callers, who are
// distributed like the instances.
std::vector<steering::region_surplus>
find_surplus(const steering_snapshot& snapshot,
             const std::vector<steering::server_ptr>& servers)
{
    std::map<region_id, double> slots;
    double all = 0;
    for (const auto& it : servers)
    {
        slots[it->region] += it->slots;
        all += it->slots;
    }
    std::vector<steering::region_surplus> found;
    found.reserve(slots.size());
    for (const auto& [region, n] : slots)
        found.push_back({region, n - all * part_of_callers(snapshot, region)});
    return found;
}

// Returns the limits that this instance has heard of itself lately, of which it
// claims a part, or of which peers take it to claim a part.
std::vector<known_limit> report_limits(traffic_state& state, time_point now)
{
    std::vector<known_limit> found;
    for (const auto& [service, servers] : state.snapshot->servers)
        for (const auto& server : servers)
        {
            const auto* notice = find_notice(state, *server);
            if (notice == nullptr)
                continue;
            const auto& limit = notice->limit;
            const bool wanted =
                limit.in_force &&
                steering::has_claim(limit, state.options.claim_time,
                                    milliseconds(0), now);
            const bool known =
                limit.heard != time_point{} &&
                now - notice->answered <= state.options.limit_report_time;
            // Peers take it that an instance of the region has requests for the
            // server, unless it says otherwise.
            const bool counted_on = limit.in_force && limit.in_own_region;
            if (wanted || known || counted_on)
                found.push_back(
                    {server_number(*server),
                     limit.in_force ? std::optional(limit.rate) : std::nullopt,
                     limit.heard, wanted});
        }
    return found;
}

} // namespace

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
    const auto overflow_region =
        find_overflow_region(state, request, {first_remote, candidates.end()},
                             local_servers.empty());
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
    if (local && remote && leaves_region(state, request, *local, *remote, now))
        local.reset();
    else if (local && remote && remote->rank.cost_ms < local->rank.cost_ms)
        decision.reason = refusal_reason::shift_cap;
    decision.placed = local ? std::move(local) : std::move(remote);
    if (!decision.placed)
        return decision;
    decision.rank = decision.placed->rank;
    if (decision.rank.queueing > milliseconds(0) &&
        decision.rank.expected > request.time_left)
        decision.placed = choose_among(state, request, local_servers,
                                       overflow_region, true, now);
    if (decision.placed)
        decision.rank = decision.placed->rank;
    return decision;
}

void take_report(traffic_state& state, const steering::backend_server& server,
                 const steering::reported_load& report, time_point now)
{
    auto& load = state.loads[server.id];
    steering::record_report(load, report, now);
    steering::record_region_load(
        state.region_loads[{server.service, server.region}],
        load.others / static_cast<double>(std::max(1U, server.slots)),
        state.options.health, now);
}

std::string take_notice(traffic_state& state,
                        const steering::backend_server& server,
                        const steering::server_notice& notice, time_point sent,
                        time_point now)
{
    const bool asks = notice.limit || notice.leaving || notice.pause;
    const auto known = state.notices.find(server.id);
    if (!asks && known == state.notices.end())
        return {};
    // A late response of an earlier process says nothing about this one.
    if (known != state.notices.end() &&
        known->second.started_ms > server.started_ms)
        return {};
    auto& it = notice_of(state, server);
    const auto before = it;
    steering::record_notice(it, notice, sent, now);
    std::ostringstream changes;
    if (it.limit.in_force &&
        (!before.limit.in_force || it.limit.rate != before.limit.rate))
        changes << " limit=" << it.limit.rate.value;
    if (!it.limit.in_force && before.limit.in_force)
        changes << " limit=none";
    if (it.leaving && !before.leaving)
        changes << " leaving=1";
    if (it.paused_until > before.paused_until)
        changes << " pause_ms="
                << std::chrono::duration_cast<milliseconds>(it.paused_until -
                                                            now)
                       .count();
    return changes.str();
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

void count_result(traffic_state& state, const server_placement& placed,
                  bool failed, bool slow)
{
    const auto& server = *placed.server;
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
    return report;
}

} // namespace parsleyplank::edge
