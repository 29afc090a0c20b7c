#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/server_limits.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace parsleyplank::edge
{

namespace
{

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

} // namespace

steering::notice_state* find_notice(traffic_state& state,
                                    const steering::backend_server& server)
{
    const auto it = state.notices.find(server.id);
    return it != state.notices.end() &&
                   it->second.started_ms == server.started_ms
               ? &it->second
               : nullptr;
}

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

} // namespace parsleyplank::edge
