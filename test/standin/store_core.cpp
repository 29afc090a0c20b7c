#include "standin/store_core.hpp"

#include <parsleyplank/core/error.hpp>

#include <algorithm>

namespace parsleyplank::standin
{

namespace
{

const key_space& visible(const store_core& core)
{
    return core.stale ? *core.stale : core.live;
}

store::entry to_entry(const std::string& key, const record& row)
{
    if (row.deleted)
        return {key, "", revision(0)};
    return {key, row.value, row.changed};
}

// Revision of a key as a writer sees it: 0 if it is absent.
revision live_revision(const store_core& core, const std::string& key)
{
    const auto it = core.live.records.find(key);
    if (it == core.live.records.end() || it->second.deleted)
        return revision(0);
    return it->second.changed;
}

void write_record(store_core& core, const std::string& key, record row)
{
    ++core.live.store_revision.value;
    row.changed = core.live.store_revision;
    core.live.records[key] = std::move(row);
}

// Calls a function with each key of the prefix, in key order.
template <typename Function>
void for_prefix(const key_space& space, const std::string& prefix,
                Function function)
{
    auto it = space.records.lower_bound(prefix);
    for (; it != space.records.end() && it->first.starts_with(prefix); ++it)
        function(it->first, it->second);
}

} // namespace

store::read_result get(const store_core& core, const std::string& key)
{
    const auto& space = visible(core);
    const auto it = space.records.find(key);
    store::read_result result{std::nullopt, space.store_revision};
    if (it != space.records.end() && !it->second.deleted)
        result.found = to_entry(key, it->second);
    return result;
}

store::list_result list(const store_core& core, const std::string& prefix)
{
    const auto& space = visible(core);
    store::list_result result{{}, space.store_revision};
    for_prefix(space, prefix,
               [&](const std::string& key, const record& row)
               {
                   if (!row.deleted)
                       result.entries.push_back(to_entry(key, row));
               });
    return result;
}

store::list_result changes(const store_core& core, const std::string& prefix,
                           revision after)
{
    if (core.faults.silent_watch)
        return {{}, after};
    const auto& space = visible(core);
    store::list_result result{{}, space.store_revision};
    for_prefix(space, prefix,
               [&](const std::string& key, const record& row)
               {
                   if (row.changed > after)
                       result.entries.push_back(to_entry(key, row));
               });
    return result;
}

store::write_result compare_and_swap(store_core& core, const std::string& key,
                                     revision expected,
                                     const std::string& value,
                                     std::uint64_t lease_id)
{
    const auto current = live_revision(core, key);
    const bool lease_held = lease_id == 0 || core.leases.contains(lease_id);
    if (current != expected || !lease_held)
        return {false, current, core.live.store_revision};
    write_record(core, key, {value, false, {}, lease_id});
    return {true, core.live.store_revision, core.live.store_revision};
}

store::write_result compare_and_delete(store_core& core, const std::string& key,
                                       revision expected)
{
    const auto current = live_revision(core, key);
    if (current != expected || current == revision(0))
        return {false, current, core.live.store_revision};
    write_record(core, key, {"", true, {}, 0});
    return {true, revision(0), core.live.store_revision};
}

bool take_lost_answer(store_core& core)
{
    if (core.faults.lost_answers == 0)
        return false;
    --core.faults.lost_answers;
    return true;
}

std::uint64_t grant_lease(store_core& core, milliseconds ttl, time_point now)
{
    core.leases[++core.last_lease] = {now + ttl, ttl};
    return core.last_lease;
}

bool keep_lease(store_core& core, std::uint64_t id, time_point now)
{
    lapse_due_leases(core, now);
    const auto it = core.leases.find(id);
    if (it == core.leases.end())
        return false;
    it->second.ends = now + it->second.ttl;
    return true;
}

void lapse_lease(store_core& core, std::uint64_t id)
{
    std::vector<std::string> lost;
    std::ranges::for_each(core.live.records,
                          [&](const auto& row)
                          {
                              const auto held = row.second.lease;
                              if (!row.second.deleted && held != 0 &&
                                  (id == 0 || held == id))
                                  lost.push_back(row.first);
                          });
    std::ranges::for_each(lost,
                          [&](const std::string& key) {
                              write_record(core, key, {"", true, {}, 0});
                          });
    if (id == 0)
        core.leases.clear();
    else
        core.leases.erase(id);
}

void lapse_due_leases(store_core& core, time_point now)
{
    std::vector<std::uint64_t> due;
    std::ranges::for_each(core.leases,
                          [&](const auto& held)
                          {
                              if (held.second.ends <= now)
                                  due.push_back(held.first);
                          });
    std::ranges::for_each(due,
                          [&](std::uint64_t id) { lapse_lease(core, id); });
}

void set_stale_reads(store_core& core, bool on)
{
    if (!on)
        core.stale.reset();
    else if (!core.stale)
        core.stale = core.live;
}

void put_instance(store_core& core, const store::listed_instance& entry,
                  time_point now)
{
    core.pending_changes.push_back({now, entry.id, entry});
}

void remove_instance(store_core& core, const instance_id& id, time_point now)
{
    core.pending_changes.push_back({now, id, std::nullopt});
}

std::vector<store::listed_instance> read_instances(store_core& core,
                                                   time_point now)
{
    auto& pending = core.pending_changes;
    // Changes show in the order in which they were made.
    const auto first_hidden = std::ranges::find_if(
        pending, [&](const instance_change& change)
        { return change.at + core.faults.list_lag > now; });
    if (!core.faults.list_frozen)
    {
        std::for_each(pending.begin(), first_hidden,
                      [&](const instance_change& change)
                      {
                          if (change.entry)
                              core.listed[change.id.value] = *change.entry;
                          else
                              core.listed.erase(change.id.value);
                      });
        pending.erase(pending.begin(), first_hidden);
    }
    std::vector<store::listed_instance> result;
    result.reserve(core.listed.size());
    std::ranges::for_each(core.listed, [&](const auto& row)
                          { result.push_back(row.second); });
    return result;
}

void set_fault(store_core& core, const std::string& name, std::uint64_t value)
{
    auto& faults = core.faults;
    const bool on = value != 0;
    if (name == "down")
        faults.down = on;
    else if (name == "hang")
        faults.hang = on;
    else if (name == "slow_ms")
        faults.slow = milliseconds(value);
    else if (name == "lost_answers")
        faults.lost_answers = value;
    else if (name == "stale_reads")
        set_stale_reads(core, on);
    else if (name == "silent_watch")
        faults.silent_watch = on;
    else if (name == "lapse_lease")
        lapse_lease(core, value);
    else if (name == "list_down")
        faults.list_down = on;
    else if (name == "list_frozen")
        faults.list_frozen = on;
    else if (name == "list_lag_ms")
        faults.list_lag = milliseconds(value);
    else
        throw error("no fault is named '" + name + "'");
}

} // namespace parsleyplank::standin
