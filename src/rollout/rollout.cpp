#include <parsleyplank/rollout/rollout.hpp>

#include <algorithm>
#include <array>

namespace parsleyplank::rollout
{

namespace
{

// Windows that are compared besides the whole time. A regression can appear at
// once, later or only under load: short windows detect one that has just begun,
// the whole time detects rare failures.
constexpr std::array windows{milliseconds(10'000), milliseconds(60'000)};

// Shares of the stages after the first one, in ppm. The last one leaves
// requests on the old version to compare with until the rollout is done.
constexpr std::array<std::uint32_t, 6> later_shares{20'000,  50'000,  100'000,
                                                    250'000, 500'000, 950'000};

// Fraction of the duration that the stages take together. The rest is a reserve
// for changes of the leader and a slow store.
constexpr double staged_fraction = 0.8;

// Returns the next share in ppm, or nullopt after the last one.
std::optional<std::uint32_t> next_share(std::uint32_t share)
{
    const auto it = std::ranges::upper_bound(later_shares, share);
    return it == later_shares.end() ? std::nullopt : std::optional(*it);
}

std::size_t stage_count(const rollout_plan& plan)
{
    const auto it =
        std::ranges::upper_bound(later_shares, plan.first_share.value);
    return 1 + static_cast<std::size_t>(later_shares.end() - it);
}

// Returns the duration of one stage.
milliseconds stage_time(const rollout_plan& plan)
{
    const auto whole = std::chrono::duration<double, std::milli>(plan.duration);
    return std::chrono::duration_cast<milliseconds>(
        whole * staged_fraction / static_cast<double>(stage_count(plan)));
}

std::optional<std::string>
find_regression_in_windows(const history& past, const counts_by_route& counts,
                           const comparison_options& options, time_point now)
{
    auto fault = find_regression(counts, options);
    std::ranges::for_each(
        windows,
        [&](milliseconds length)
        {
            if (!fault)
                fault = find_regression(
                    counts_in_window(past, counts, length, now), options);
        });
    return fault;
}

// Returns the sum of this instance's counts and the reports of the others.
counts_by_route fleet_counts(const rollout_state& state)
{
    auto sum = state.own_counts;
    std::ranges::for_each(state.reports,
                          [&](const auto& it) { add(sum, it.second); });
    return sum;
}

// Returns a copy of the record with the next number.
rollout_record next_revision(const rollout_record& record)
{
    auto next = record;
    ++next.number;
    return next;
}

rollout_record rolled_back(const rollout_record& record,
                           const std::string& evidence)
{
    auto next = next_revision(record);
    next.state = phase::rolled_back;
    next.share = share_ppm{0};
    next.evidence = evidence;
    return next;
}

// Returns the record with the next share, or done after the last one.
rollout_record advanced(const rollout_record& record)
{
    auto next = next_revision(record);
    const auto share = next_share(record.share.value);
    next.share = share_ppm{share.value_or(ppm_total)};
    if (!share)
        next.state = phase::done;
    return next;
}

} // namespace

std::string_view to_string(phase p)
{
    switch (p)
    {
    case phase::running:
        return "running";
    case phase::done:
        return "done";
    case phase::rolled_back:
        return "rolled_back";
    }
    return "running";
}

rollout_record start_record(const rollout_order& order,
                            const rollout_plan& plan, std::int64_t now_ms)
{
    rollout_record record;
    record.order = order;
    record.share = plan.first_share;
    record.number = 1;
    record.started_ms = now_ms;
    return record;
}

void take_record(rollout_state& state, const rollout_record& record,
                 time_point now)
{
    if (state.record.order == record.order)
    {
        if (record.number <= state.record.number)
            return;
        if (record.share != state.record.share)
            state.stage_started_at = now;
        state.record = record;
        return;
    }
    if (record.order.started < state.record.order.started)
        return;
    const auto plan = state.plan;
    state = rollout_state{};
    state.plan = plan;
    state.record = record;
    state.stage_started_at = now;
}

share_ppm share_in_use(const rollout_state& state)
{
    switch (state.record.state)
    {
    case phase::done:
        return share_ppm{ppm_total};
    case phase::rolled_back:
        return share_ppm{0};
    case phase::running:
        break;
    }
    return state.abort_reason ? share_ppm{0} : state.record.share;
}

bool check_own_counts(rollout_state& state, const comparison_options& options,
                      time_point now)
{
    add_snapshot(state.own_history, state.own_counts, now);
    if (state.record.state != phase::running || state.abort_reason)
        return false;
    state.abort_reason = find_regression_in_windows(
        state.own_history, state.own_counts, options, now);
    return state.abort_reason.has_value();
}

bool abort_rollout(rollout_state& state, const std::string& evidence)
{
    if (state.record.state != phase::running || state.abort_reason)
        return false;
    state.abort_reason = evidence;
    return true;
}

std::optional<rollout_record> next_record(rollout_state& state, bool is_leader,
                                          const comparison_options& options,
                                          time_point now, std::int64_t now_ms)
{
    if (state.record.state != phase::running || state.record.number == 0)
        return std::nullopt;
    const auto counts = fleet_counts(state);
    add_snapshot(state.fleet_history, counts, now);
    if (!state.abort_reason && is_leader)
        state.abort_reason = find_regression_in_windows(state.fleet_history,
                                                        counts, options, now);
    if (state.abort_reason)
        return rolled_back(state.record, *state.abort_reason);
    if (!is_leader)
        return std::nullopt;
    const auto duration =
        std::chrono::duration_cast<milliseconds>(state.plan.duration);
    if (!state.record.late &&
        now_ms - state.record.started_ms > duration.count())
    {
        auto next = next_revision(state.record);
        next.late = true;
        return next;
    }
    return now - state.stage_started_at >= stage_time(state.plan)
               ? std::optional(advanced(state.record))
               : std::nullopt;
}

} // namespace parsleyplank::rollout
