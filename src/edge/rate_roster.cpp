#include <parsleyplank/edge/rate_roster.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

bool is_in_touch(const fleet_view& fleet, const instance_id& id,
                 const fleet_options& options, time_point now)
{
    const auto it = fleet.peers.find(id);
    return it != fleet.peers.end() &&
           (it->second.registered || is_responsive(it->second, options, now));
}

} // namespace

void put_roster_member(rate_roster& roster, const instance_id& id,
                       const roster_record& record, revision key_revision,
                       time_point now)
{
    roster.members[id] = {record, key_revision};
    if (id == roster.self)
        roster.record_lost =
            roster.record_lost && record.started_ms != roster.started_ms;
    // The answer to the write may have been lost.
    if (id == roster.self && record.started_ms == roster.started_ms &&
        roster.phase == issuing_phase::outside)
    {
        roster.phase = issuing_phase::joining;
        roster.joined_at = now;
    }
}

void remove_roster_member(rate_roster& roster, const instance_id& id)
{
    roster.missing.erase(id);
    if (roster.members.erase(id) > 0 && id == roster.self)
    {
        roster.phase = issuing_phase::outside;
        // Others issue this part from now on.
        roster.issuing_since = {};
    }
}

void retain_roster_members(rate_roster& roster,
                           const std::set<instance_id>& present)
{
    roster.listed = true;
    std::vector<instance_id> gone;
    for (const auto& [id, it] : roster.members)
        if (!present.contains(id) && it.key_revision != revision(0))
            gone.push_back(id);
    std::ranges::for_each(gone, [&](const instance_id& id)
                          { remove_roster_member(roster, id); });
}

void restore_roster_members(rate_roster& roster,
                            const std::set<instance_id>& present)
{
    for (auto& [id, it] : roster.members)
        if (!present.contains(id))
            it.key_revision = revision(0);
    const auto own = roster.members.find(roster.self);
    roster.record_lost = roster.phase != issuing_phase::outside &&
                         (own == roster.members.end() ||
                          own->second.key_revision == revision(0) ||
                          own->second.record.started_ms != roster.started_ms);
}

void step_roster(rate_roster& roster, const fleet_view& fleet,
                 const fleet_options& fleet_options,
                 const store_contact& contact, time_point now)
{
    for (const auto& [id, it] : roster.members)
        if (id == roster.self || is_in_touch(fleet, id, fleet_options, now))
            roster.missing.erase(id);
        else
            roster.missing.try_emplace(id, now);
    const auto waiting_since = std::max(roster.joined_at, contact.last_outage);
    if (roster.phase == issuing_phase::joining && contact.reachable &&
        roster.missing.empty() &&
        now - waiting_since >= roster.options.join_delay)
        roster.phase = issuing_phase::issuing;
}

std::optional<roster_write> next_roster_write(const rate_roster& roster)
{
    const auto own = roster.members.find(roster.self);
    if (roster.record_lost)
        return roster_write{own == roster.members.end()
                                ? revision(0)
                                : own->second.key_revision,
                            false, true};
    if (!roster.listed || roster.phase != issuing_phase::outside)
        return std::nullopt;
    if (own != roster.members.end())
        return roster_write{own->second.key_revision, true};
    // A member that is cut off would not know of this instance.
    if (!roster.missing.empty())
        return std::nullopt;
    return roster_write{revision(0), false};
}

void note_roster_write(rate_roster& roster, const roster_write& write,
                       time_point now)
{
    if (write.restores)
    {
        roster.record_lost = false;
        return;
    }
    roster.joined_at = now;
    roster.phase =
        write.takes_over ? issuing_phase::issuing : issuing_phase::joining;
    if (write.takes_over)
        roster.issuing_since = roster.started_at;
}

std::vector<instance_id> expired_members(const rate_roster& roster,
                                         time_point now)
{
    std::vector<instance_id> expired;
    for (const auto& [id, since] : roster.missing)
        if (now - since >= roster.options.retention)
            expired.push_back(id);
    return expired;
}

bool may_issue(const rate_roster& roster, const store_contact& contact,
               time_point now)
{
    if (roster.phase != issuing_phase::issuing)
        return false;
    const std::chrono::duration<double, std::milli> max_cut =
        roster.options.retention * roster.options.max_cut_part;
    return roster.missing.empty() || now - contact.last_response < max_cut;
}

std::size_t count_issuers(const rate_roster& roster)
{
    const bool counted = roster.phase == issuing_phase::outside ||
                         roster.members.contains(roster.self);
    return std::max<std::size_t>(1,
                                 roster.members.size() + (counted ? 0U : 1U));
}

} // namespace parsleyplank::edge
