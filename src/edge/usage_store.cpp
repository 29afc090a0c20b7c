#include <parsleyplank/edge/usage_store.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

std::string fence_key()
{
    return std::string(usage_prefix) + "fence";
}

std::string report_prefix()
{
    return std::string(usage_prefix) + "report/";
}

// Returns whether the process may replace the record of the holder.
bool may_replace(const usage::duty_state& duty,
                 const std::optional<usage::holder_record>& holder)
{
    return !holder || (holder->holder == duty.self &&
                       holder->started_ms == duty.started_ms &&
                       !usage::may_adopt(duty, *holder));
}

} // namespace

std::string usage_holder_key()
{
    return std::string(usage_prefix) + "holder";
}

usage_keys read_usage_keys(const store::list_result& keys)
{
    usage_keys found;
    for (const auto& it : keys.entries)
        if (it.key == usage_holder_key())
        {
            found.holder = unpack_value<usage::holder_record>(it.value, it.key);
            found.holder_revision = it.key_revision;
        }
        else if (it.key == fence_key())
        {
            found.highest_token =
                unpack_value<usage::fence_record>(it.value, it.key).highest;
            found.fence_revision = it.key_revision;
        }
        else if (it.key.starts_with(report_prefix()))
        {
            const auto report =
                unpack_value<usage::window_report>(it.value, it.key);
            found.reports[report.window] = report;
        }
    return found;
}

store::list_result claim_duty(store::lease_store& store, store::lease_id lease,
                              const usage::duty_state& duty,
                              usage::unix_time now)
{
    const std::string prefix(usage_prefix);
    auto keys = store.list(prefix);
    const auto found = read_usage_keys(keys);
    if (lease == store::lease_id(0) || !may_replace(duty, found.holder))
        return keys;
    const auto highest = std::max(found.highest_token,
                                  duty.refused.value_or(usage::fence_token(0)));
    const auto token = usage::next_token(
        highest, std::chrono::duration_cast<milliseconds>(now).count(),
        duty.self);
    const usage::holder_record record{duty.self, duty.started_ms, token};
    const auto outcome =
        store.commit({{{usage_holder_key(), found.holder_revision},
                       {fence_key(), found.fence_revision}},
                      {{usage_holder_key(), pack_value(record), lease},
                       {fence_key(), pack_value(usage::fence_record{token}),
                        store::lease_id(0)}},
                      {}});
    return outcome == store::commit_outcome::applied ? store.list(prefix)
                                                     : keys;
}

std::optional<usage::window_report>
store_report(store::lease_store& store, std::uint64_t place,
             revision holder_revision, const usage::window_report& report)
{
    const auto key = report_prefix() + std::to_string(place);
    const auto found = store.get(key).found;
    if (found)
    {
        const auto stored =
            unpack_value<usage::window_report>(found->value, key);
        if (stored.window >= report.window)
            return stored;
    }
    const auto outcome =
        store.commit({{{usage_holder_key(), holder_revision},
                       {key, found ? found->key_revision : revision(0)}},
                      {{key, pack_value(report), store::lease_id(0)}},
                      {}});
    return outcome == store::commit_outcome::applied ? std::optional(report)
                                                     : std::nullopt;
}

} // namespace parsleyplank::edge
