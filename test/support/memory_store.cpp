#include <parsleyplank/store/store_era.hpp>

#include <support/memory_store.hpp>

#include <algorithm>

namespace parsleyplank::test
{

namespace
{

using guard = std::unique_lock<std::mutex>;

revision newest(const memory_store_data& data)
{
    return data.history.empty() ? store::with_era(data.era, 1)
                                : data.history.back().first;
}

// Stores or, without a value, removes a key. The caller holds the mutex.
void apply(memory_store_data& data, const std::string& key,
           const std::optional<std::string>& value)
{
    const revision next(newest(data).value + 1);
    const store::entry changed{key, value.value_or(""),
                               value ? next : revision(0)};
    if (value)
        data.entries[key] = changed;
    else
        data.entries.erase(key);
    data.leases.erase(key);
    data.history.emplace_back(next, changed);
    data.changed.notify_all();
}

} // namespace

void write_key(memory_store_data& data, const std::string& key,
               const std::string& value)
{
    const guard lock(data.mutex);
    apply(data, key, value);
}

store_copy copy_store(memory_store_data& data)
{
    const guard lock(data.mutex);
    return {data.entries, data.leases, data.live_leases, newest(data)};
}

void restore_store(memory_store_data& data, const store_copy& from)
{
    const guard lock(data.mutex);
    ++data.era;
    const auto in_new_era = [&](revision known)
    {
        return store::with_era(data.era, store::number_in_era(known));
    };
    data.entries = from.entries;
    for (auto& [key, it] : data.entries)
        it.key_revision = in_new_era(it.key_revision);
    data.leases = from.leases;
    data.live_leases = from.live_leases;
    data.history = {{in_new_era(from.newest), {}}};
    data.changed.notify_all();
}

void close_store(memory_store_data& data)
{
    const guard lock(data.mutex);
    data.closed = true;
    data.changed.notify_all();
}

void cut_off(memory_store_data& data, const store_cut& clients)
{
    const guard lock(data.mutex);
    *clients = true;
    data.changed.notify_all();
}

memory_store::memory_store(std::shared_ptr<memory_store_data> shared,
                           store_cut chosen)
    : data(std::move(shared)), cut(std::move(chosen))
{
}

bool memory_store::is_cut_off() const
{
    return cut && *cut;
}

void memory_store::check_reachable() const
{
    if (is_cut_off())
        throw store_unavailable("cut off");
}

store::read_result memory_store::get(const std::string& key)
{
    check_reachable();
    const guard lock(data->mutex);
    const auto it = data->entries.find(key);
    return {it == data->entries.end() ? std::nullopt
                                      : std::optional(it->second),
            newest(*data)};
}

store::list_result memory_store::list(const std::string& prefix)
{
    check_reachable();
    const guard lock(data->mutex);
    store::list_result result{{}, newest(*data)};
    for (const auto& [key, it] : data->entries)
        if (key.starts_with(prefix))
            result.entries.push_back(it);
    return result;
}

store::list_result memory_store::watch(const std::string& prefix,
                                       revision after, milliseconds wait)
{
    guard lock(data->mutex);
    ++data->watches;
    data->changed.wait_for(
        lock, wait,
        [&] { return data->closed || is_cut_off() || newest(*data) > after; });
    if (is_cut_off())
        data->changed.wait_for(lock, wait + call_timeout,
                               [&] { return data->closed; });
    --data->watches;
    check_reachable();
    if (data->closed)
        throw store_unavailable("closed");
    if (store::era_of(after) != data->era)
        throw store::history_lost("restored");
    store::list_result result{{}, newest(*data)};
    for (const auto& [at, it] : data->history)
        if (at > after && !it.key.empty() && it.key.starts_with(prefix))
            result.entries.push_back(it);
    return result;
}

store::commit_outcome memory_store::commit(const store::transaction& changes)
{
    check_reachable();
    if (data->before_commit)
        data->before_commit(changes);
    const guard lock(data->mutex);
    const bool matching = std::ranges::all_of(
        changes.expected,
        [&](const store::expected_revision& it)
        {
            const auto found = data->entries.find(it.key);
            return it.key_revision == (found == data->entries.end()
                                           ? revision(0)
                                           : found->second.key_revision);
        });
    if (!matching)
        return store::commit_outcome::conflict;
    const bool leased =
        std::ranges::all_of(changes.writes,
                            [&](const store::key_write& it)
                            {
                                return it.lease == store::lease_id(0) ||
                                       data->live_leases.contains(it.lease);
                            });
    if (!leased)
        return store::commit_outcome::lease_ended;
    for (const auto& it : changes.writes)
    {
        apply(*data, it.key, it.value);
        if (it.lease != store::lease_id(0))
            data->leases[it.key] = it.lease;
    }
    for (const auto& key : changes.removes)
        apply(*data, key, std::nullopt);
    return store::commit_outcome::applied;
}

store::lease_id memory_store::grant_lease(milliseconds /*ttl*/)
{
    check_reachable();
    const guard lock(data->mutex);
    ++data->newest_lease.value;
    data->live_leases.insert(data->newest_lease);
    return data->newest_lease;
}

bool memory_store::renew_lease(store::lease_id lease)
{
    check_reachable();
    const guard lock(data->mutex);
    const bool live = data->live_leases.contains(lease);
    data->renewals += live ? 1 : 0;
    return live;
}

void memory_store::end_lease(store::lease_id lease)
{
    check_reachable();
    const guard lock(data->mutex);
    data->live_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, held] : data->leases)
        if (held == lease)
            keys.push_back(key);
    for (const auto& key : keys)
        apply(*data, key, std::nullopt);
}

store::write_result memory_store::compare_and_swap(const std::string& /*key*/,
                                                   revision /*expected*/,
                                                   const std::string& /*value*/)
{
    throw store_unavailable("not used");
}

store::write_result memory_store::compare_and_delete(const std::string& /*key*/,
                                                     revision /*expected*/)
{
    throw store_unavailable("not used");
}

} // namespace parsleyplank::test
