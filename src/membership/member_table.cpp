#include <parsleyplank/membership/member_table.hpp>

#include <algorithm>

namespace parsleyplank::membership
{

namespace
{

void add_departed(member_table& table, const member& m, time_point requested_at)
{
    table.departed.push_back({m.info.id, m.info.life, requested_at});
}

void remove_departed(member_table& table, const store::listed_instance& info)
{
    std::erase_if(table.departed, [&](const departed_member& d)
                  { return d.id == info.id && d.life == info.life; });
}

// Returns whether an existing connection can be kept.
bool same_endpoint(const store::listed_instance& a,
                   const store::listed_instance& b)
{
    return a.life == b.life && a.address == b.address &&
           a.peer_port == b.peer_port;
}

// Applies one entry of the list to the table.
void merge_listed(member_table& table, const store::listed_instance& info,
                  time_point requested_at, list_changes& changes)
{
    remove_departed(table, info);
    const auto it = table.members.find(info.id);
    if (it == table.members.end())
    {
        table.members[info.id] = {info, requested_at, {}, requested_at, false};
        changes.added.push_back(info);
        return;
    }
    auto& known = it->second;
    if (info.life < known.info.life)
        return;
    if (same_endpoint(known.info, info))
    {
        known.info = info;
        return;
    }
    if (known.info.life != info.life)
        add_departed(table, known, requested_at);
    known = {info, requested_at, {}, requested_at, false};
    changes.replaced.push_back(info);
}

bool in_list(const std::vector<store::listed_instance>& list,
             const instance_id& id)
{
    return std::ranges::find(list, id, &store::listed_instance::id) !=
           list.end();
}

bool usable(const member_table& table, const member& m, time_point now)
{
    return m.last_contact && !m.draining && !m.info.leaving &&
           now - *m.last_contact <= table.times.failure_timeout;
}

template <typename Predicate>
std::vector<instance_id> select(const member_table& table, Predicate chosen)
{
    std::vector<instance_id> ids;
    std::ranges::for_each(table.members,
                          [&](const auto& it)
                          {
                              if (chosen(it.second))
                                  ids.push_back(it.first);
                          });
    return ids;
}

} // namespace

list_changes update_from_list(member_table& table,
                              const std::vector<store::listed_instance>& list,
                              time_point requested_at)
{
    list_changes changes;
    if (table.listed_at && requested_at < *table.listed_at)
        return changes;
    table.listed_at = requested_at;
    std::ranges::for_each(list,
                          [&](const store::listed_instance& info)
                          {
                              if (info.id != table.self)
                                  merge_listed(table, info, requested_at,
                                               changes);
                          });
    changes.removed = select(table, [&](const member& m)
                             { return !in_list(list, m.info.id); });
    std::ranges::for_each(changes.removed,
                          [&](const instance_id& id)
                          {
                              add_departed(table, table.members.at(id),
                                           requested_at);
                              table.members.erase(id);
                          });
    return changes;
}

bool record_contact(member_table& table, const instance_id& id,
                    incarnation life, bool draining, time_point now)
{
    const auto it = table.members.find(id);
    if (it == table.members.end() || it->second.info.life != life)
        return false;
    auto& m = it->second;
    m.last_contact = m.last_contact ? std::max(*m.last_contact, now) : now;
    m.draining = m.draining || draining;
    return true;
}

std::vector<instance_id> take_unresponsive(member_table& table, time_point now)
{
    auto unresponsive =
        select(table,
               [&](const member& m)
               {
                   const auto since = m.last_contact ? std::max(*m.last_contact,
                                                                m.connected_at)
                                                     : m.connected_at;
                   return now - since > table.times.reconnect_timeout;
               });
    std::ranges::for_each(unresponsive, [&](const instance_id& id)
                          { table.members.at(id).connected_at = now; });
    return unresponsive;
}

bool usable(const member_table& table, const instance_id& id, time_point now)
{
    const auto it = table.members.find(id);
    return it != table.members.end() && usable(table, it->second, now);
}

std::vector<instance_id> usable_members(const member_table& table,
                                        time_point now, bool include_self)
{
    auto ids =
        select(table, [&](const member& m) { return usable(table, m, now); });
    if (include_self)
        ids.insert(std::ranges::lower_bound(ids, table.self), table.self);
    return ids;
}

std::vector<instance_id> usable_in_region(const member_table& table,
                                          const region_id& region,
                                          time_point now)
{
    return select(table, [&](const member& m)
                  { return m.info.region == region && usable(table, m, now); });
}

std::vector<instance_id> listed_in_region(const member_table& table,
                                          const region_id& region)
{
    return select(table,
                  [&](const member& m) { return m.info.region == region; });
}

} // namespace parsleyplank::membership
