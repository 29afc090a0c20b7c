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

std::string sums_key()
{
    return std::string(usage_prefix) + "sums";
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
        else if (it.key == sums_key())
            found.left = unpack_value<usage::sums_record>(it.value, it.key);
        else if (it.key.starts_with(report_prefix()))
        {
            const auto report =
                unpack_value<usage::window_report>(it.value, it.key);
            found.reports[report.window] = report;
        }
    // Sums that another holder has left since are not those to take over.
    const bool is_next = found.holder ? found.holder->inherits ==
                                            usage::inherited_tokens(found.left)
                                      : found.highest_token == found.left.token;
    if (!is_next)
        found.left = {};
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
    // A record that is replaced is that of this process, to which counts were
    // told after it had taken over the sums.
    const usage::holder_record record{
        duty.self, duty.started_ms, token,
        found.holder ? usage::fence_tokens()
                     : usage::inherited_tokens(found.left)};
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

void leave_duty(store::lease_store& store, revision holder_revision,
                const usage::sums_record& sums)
{
    store.commit({{{usage_holder_key(), holder_revision}},
                  {{sums_key(), pack_value(sums), store::lease_id(0)}},
                  {usage_holder_key()}});
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
