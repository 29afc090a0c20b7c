#include <parsleyplank/entry/status_report.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleyplank::entry
{

namespace
{

using nlohmann::json;

json freshness_json(const status_sources& s)
{
    const auto now = s.context.loop.now();
    const auto age = freshness::confirmation_age(s.contact.fresh, now);
    json out{{"verdict",
              freshness::to_string(freshness::evaluate(s.contact.fresh, now))},
             {"store_reachable", freshness::store_reachable(s.contact.fresh)},
             {"why_stale", freshness::explain_stale(s.contact.fresh, now)}};
    out["confirmation_age_ms"] = age ? json(age->count()) : json(nullptr);
    return out;
}

json members_json(const status_sources& s)
{
    json out = json::array();
    const auto now = s.context.loop.now();
    std::ranges::for_each(
        s.contact.members.members,
        [&](const auto& it)
        {
            const auto& info = it.second.info;
            out.push_back({{"id", info.id.value},
                           {"incarnation", info.life.value},
                           {"region", info.region.value},
                           {"leaving", info.leaving || it.second.draining},
                           {"usable", membership::usable(s.contact.members,
                                                         info.id, now)}});
        });
    return out;
}

json upstream_json(const upstream_state& u)
{
    json weights = json::object();
    std::ranges::for_each(u.shift.weights, [&](const auto& it)
                          { weights[it.first.value] = it.second; });
    json in_flight = json::object();
    std::ranges::for_each(u.regions, [&](const auto& it)
                          { in_flight[it.first.value] = it.second.in_flight; });
    return {{"weights_ppm", weights},
            {"in_flight", in_flight},
            {"queued", u.queue.size}};
}

json rollouts_json(const rollout_agent& agent)
{
    json out = json::array();
    std::ranges::for_each(
        agent.rollouts,
        [&](const auto& it)
        {
            const auto& s = it.second.state;
            out.push_back(
                {{"upstream", it.first.value},
                 {"from", it.second.wanted.from.value},
                 {"to", it.second.wanted.to.value},
                 {"phase", rollout::to_string(s.record.state)},
                 {"share_ppm", rollout::share_in_use(s).value},
                 {"late", s.record.late},
                 {"evidence", s.abort_reason.value_or(s.record.evidence)}});
        });
    return out;
}

} // namespace

std::string status_json(const status_sources& s)
{
    json upstreams = json::object();
    std::ranges::for_each(
        s.upstreams.upstreams, [&](const auto& it)
        { upstreams[it.first.value] = upstream_json(it.second); });
    const auto held = held_epochs(s.feed);
    const json out{
        {"instance", s.context.config.id.value},
        {"incarnation", s.context.config.life.value},
        {"region", s.context.config.region.value},
        {"failure_domain", s.context.config.domain.value},
        {"config_epoch", held.config.value},
        {"share_table_epoch", held.shares.value},
        {"share_ppm",
         quota::usable_share(s.feed.shares, s.quota.state.self).value},
        {"freshness", freshness_json(s)},
        {"draining", s.contact.draining},
        {"active_requests", s.active_requests},
        {"members", members_json(s)},
        {"rollouts", rollouts_json(s.rollouts)},
        {"upstreams", upstreams}};
    return out.dump();
}

std::string explain_json(const decision& d)
{
    json steps = json::array();
    std::ranges::for_each(d.steps,
                          [&](const decision_step& step)
                          {
                              steps.push_back({{"after_us", step.after.count()},
                                               {"step", step.step},
                                               {"text", step.text}});
                          });
    const auto arrived =
        std::chrono::duration_cast<milliseconds>(d.arrived.time_since_epoch());
    const json out{{"request_id", d.id.value},
                   {"arrived_unix_ms", arrived.count()},
                   {"steps", steps}};
    return out.dump();
}

} // namespace parsleyplank::entry
