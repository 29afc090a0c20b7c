#include <parsleyplank/edge/rollout_control.hpp>
#include <parsleyplank/store/store_era.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

using steering::rollout_phase;

// Returns whether the two revisions are of one write of an order: a restored
// store has it in a later era.
bool is_same_order(revision a, revision b)
{
    return a == b || (store::era_of(a) != store::era_of(b) &&
                      store::number_in_era(a) == store::number_in_era(b));
}

// Returns whether the record belongs to the current order. Other records are
// ignored.
bool is_current(const rollout_state& rollout)
{
    return rollout.order && rollout.record &&
           rollout.record->target == rollout.order->target &&
           is_same_order(rollout.record->ordered, rollout.order->ordered);
}

// Returns whether a record of a restored store was written before the known
// one.
bool is_behind(const rollout_record& record, const rollout_record& known)
{
    const bool undone = record.phase == rollout_phase::running &&
                        (known.phase != rollout_phase::running ||
                         record.target != known.target);
    return undone || !std::ranges::includes(record.rejected, known.rejected);
}

rollout_phase phase_of(const rollout_state& rollout)
{
    return is_current(rollout) ? rollout.record->phase : rollout_phase::running;
}

milliseconds elapsed(const rollout_state& rollout, time_point now,
                     std::int64_t wall_ms)
{
    auto time =
        std::chrono::duration_cast<milliseconds>(now - rollout.first_seen_at);
    if (is_current(rollout))
        time = std::max(
            time, std::min(milliseconds(wall_ms - rollout.record->started_ms),
                           rollout.order->duration));
    return time;
}

rollout_record next_record(const rollout_state& rollout, rollout_phase phase,
                           std::int64_t wall_ms)
{
    rollout_record next;
    if (rollout.record)
        next.rejected = rollout.record->rejected;
    next.started_ms =
        is_current(rollout) ? rollout.record->started_ms : wall_ms;
    next.ordered = rollout.order->ordered;
    next.target = rollout.order->target;
    next.phase = phase;
    if (phase == rollout_phase::rolled_back)
        next.rejected.insert(next.target);
    return next;
}

// Updates the share of a running rollout and returns the phase that its record
// should have.
rollout_phase advance(rollout_state& rollout,
                      const steering::rollout_tally& tally,
                      const rollout_control_options& options, time_point now,
                      std::int64_t wall_ms)
{
    // A version that fails only under load has many good responses of a smaller
    // share, so the results since the share grew are judged by themselves, too.
    if (!rollout.fault)
        rollout.fault = steering::find_regression(tally, options.plan);
    if (!rollout.fault)
        rollout.fault = steering::find_regression(
            tally - rollout.tally_at_growth, options.plan);
    if (rollout.fault)
    {
        rollout.share = {0};
        return rollout_phase::rolled_back;
    }
    const std::chrono::duration<double> spent = elapsed(rollout, now, wall_ms);
    const std::chrono::duration<double> whole = rollout.order->duration;
    const auto part = whole.count() > 0 ? spent / whole : 1;
    const auto share = steering::planned_share(part, tally, options.plan);
    if (share.value > rollout.share.value)
        rollout.tally_at_growth = tally;
    rollout.share = share;
    const bool all = rollout.share.value == ppm_total;
    if (!all)
        rollout.full_share_since.reset();
    else if (!rollout.full_share_since)
        rollout.full_share_since = now;
    if (all &&
        steering::rollout_complete(std::chrono::duration_cast<milliseconds>(
                                       now - *rollout.full_share_since),
                                   options.settle_time))
        return rollout_phase::completed;
    if (!all && part >= options.rollback_fraction)
    {
        rollout.fault = "too few responses of the new version";
        return rollout_phase::rolled_back;
    }
    return rollout_phase::running;
}

} // namespace

void apply_order(rollout_table& table, const steering::rollout_order& order,
                 time_point now)
{
    auto& rollout = table[order.service];
    if (rollout.order && rollout.order->ordered >= order.ordered)
        return;
    const bool written_again =
        rollout.order && rollout.order->target == order.target &&
        rollout.order->duration == order.duration &&
        store::era_of(rollout.order->ordered) < store::era_of(order.ordered);
    if (written_again)
    {
        if (is_current(rollout))
            rollout.record->ordered = order.ordered;
        rollout.order = order;
        return;
    }
    rollout.order = order;
    rollout.first_seen_at = now;
    rollout.full_share_since.reset();
    rollout.fault.reset();
    rollout.share = {0};
    rollout.tally_at_growth = {};
    rollout.last_write = {};
}

void remove_order(rollout_table& table, const service_id& service)
{
    const auto it = table.find(service);
    if (it != table.end())
        it->second.order.reset();
}

void apply_record(rollout_table& table, const service_id& service,
                  const rollout_record& record, revision at)
{
    auto& rollout = table[service];
    if (rollout.record_revision >= at)
        return;
    rollout.record_revision = at;
    if (rollout.record_lost && rollout.record &&
        is_behind(record, *rollout.record))
        return;
    rollout.record = record;
    rollout.record_lost = false;
}

void note_restored_store(rollout_table& table)
{
    for (auto& [service, rollout] : table)
    {
        rollout.record_revision = revision(0);
        rollout.record_lost = rollout.record.has_value();
    }
}

std::vector<rollout_write>
step_rollouts(rollout_table& table, const tally_table& fleet,
              const std::map<service_id, std::size_t>& rank,
              const rollout_control_options& options, time_point now,
              std::int64_t wall_ms)
{
    std::vector<rollout_write> writes;
    for (auto& [service, rollout] : table)
    {
        auto phase = phase_of(rollout);
        if (!rollout.order ||
            (phase != rollout_phase::running && !rollout.record_lost))
            continue;
        if (phase == rollout_phase::running)
        {
            const auto found = fleet.find({service, rollout.order->target});
            phase = advance(rollout,
                            found == fleet.end() ? steering::rollout_tally()
                                                 : found->second,
                            options, now, wall_ms);
        }
        const bool due = !is_current(rollout) || rollout.record_lost ||
                         phase != rollout.record->phase;
        if (!due)
            continue;
        const auto at = rank.find(service);
        const auto writer_rank = at == rank.end() ? 0 : at->second;
        if (rollout.last_write == time_point{})
            rollout.last_write = now + options.write_interval *
                                           (static_cast<int>(writer_rank) - 1);
        if (now - rollout.last_write < options.write_interval)
            continue;
        rollout.last_write = now;
        writes.push_back({service, *rollout.order,
                          next_record(rollout, phase, wall_ms),
                          rollout.record_revision});
    }
    return writes;
}

void apply_peer_fault(rollout_table& table, const service_id& service,
                      const version_id& target, const std::string& source)
{
    const auto it = table.find(service);
    if (it == table.end() || !it->second.order ||
        it->second.order->target != target || it->second.fault)
        return;
    it->second.fault = "judged faulty by instance " + source;
    it->second.share = {0};
}

version_policy policy_of(const rollout_state& rollout,
                         const std::set<version_id>& versions)
{
    version_policy policy;
    if (rollout.record)
        policy.rejected = rollout.record->rejected;
    if (!rollout.order)
        return policy;
    const auto& target = rollout.order->target;
    switch (phase_of(rollout))
    {
    case rollout_phase::completed:
        std::ranges::copy_if(
            versions, std::inserter(policy.rejected, policy.rejected.end()),
            [&](const version_id& it) { return it != target; });
        policy.rejected.erase(target);
        break;
    case rollout_phase::rolled_back:
        policy.rejected.insert(target);
        break;
    case rollout_phase::running:
        policy.target = target;
        policy.target_share = rollout.share;
        policy.compared = true;
        if (rollout.fault)
            policy.rejected.insert(target);
        break;
    }
    return policy;
}

} // namespace parsleyplank::edge
