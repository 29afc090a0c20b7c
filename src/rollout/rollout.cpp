#include <parsleyplank/rollout/rollout.hpp>

#include <algorithm>
#include <array>

namespace parsleyplank::rollout
{

namespace
{

// A fault may show at once, later, or only under load: a short window finds
// what has just begun, the whole time what is rare.
constexpr std::array windows{milliseconds(10'000), milliseconds(60'000)};

// Shares after the first one. The last keeps a part on the old version to
// compare with before the move is done.
constexpr std::array<std::uint32_t, 6> later_shares{20'000,  50'000,  100'000,
                                                    250'000, 500'000, 950'000};

// Part of the duration in which all stages pass; the rest is for changes of the
// leader and a slow store.
constexpr double staged_part = 0.8;

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

milliseconds stage_time(const rollout_plan& plan)
{
    const auto whole = std::chrono::duration<double, std::milli>(plan.duration);
    return std::chrono::duration_cast<milliseconds>(
        whole * staged_part / static_cast<double>(stage_count(plan)));
}

std::optional<std::string> find_fault_in_windows(const history& past,
                                                 const counts_by_route& counts,
                                                 const judge_options& options,
                                                 time_point now)
{
    auto fault = find_fault(counts, options);
    std::ranges::for_each(
        windows,
        [&](milliseconds length)
        {
            if (!fault)
                fault = find_fault(window(past, counts, length, now), options);
        });
    return fault;
}

counts_by_route fleet_counts(const rollout_state& state)
{
    auto sum = state.own;
    std::ranges::for_each(state.reports,
                          [&](const auto& it) { add(sum, it.second); });
    return sum;
}

rollout_record changed(const rollout_record& record)
{
    auto next = record;
    ++next.number;
    return next;
}

rollout_record rolled_back(const rollout_record& record,
                           const std::string& evidence)
{
    auto next = changed(record);
    next.state = phase::rolled_back;
    next.share = share_ppm{0};
    next.evidence = evidence;
    return next;
}

rollout_record advanced(const rollout_record& record)
{
    auto next = changed(record);
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

rollout_record start_record(const order& what, const rollout_plan& plan,
                            std::int64_t now_ms)
{
    rollout_record record;
    record.what = what;
    record.share = plan.first_share;
    record.number = 1;
    record.started_ms = now_ms;
    return record;
}

void take_record(rollout_state& state, const rollout_record& record,
                 time_point now)
{
    if (state.record.what == record.what)
    {
        if (record.number <= state.record.number)
            return;
        if (record.share != state.record.share)
            state.stage_began = now;
        state.record = record;
        return;
    }
    if (record.what.started < state.record.what.started)
        return;
    const auto plan = state.plan;
    state = rollout_state{};
    state.plan = plan;
    state.record = record;
    state.stage_began = now;
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
    return state.brake ? share_ppm{0} : state.record.share;
}

bool judge_own(rollout_state& state, const judge_options& options,
               time_point now)
{
    remember(state.own_past, state.own, now);
    if (state.record.state != phase::running || state.brake)
        return false;
    state.brake =
        find_fault_in_windows(state.own_past, state.own, options, now);
    return state.brake.has_value();
}

bool brake(rollout_state& state, const std::string& evidence)
{
    if (state.record.state != phase::running || state.brake)
        return false;
    state.brake = evidence;
    return true;
}

std::optional<rollout_record> next_record(rollout_state& state, bool leads,
                                          const judge_options& options,
                                          time_point now, std::int64_t now_ms)
{
    if (state.record.state != phase::running || state.record.number == 0)
        return std::nullopt;
    const auto counts = fleet_counts(state);
    remember(state.fleet_past, counts, now);
    if (!state.brake && leads)
        state.brake =
            find_fault_in_windows(state.fleet_past, counts, options, now);
    if (state.brake)
        return rolled_back(state.record, *state.brake);
    if (!leads)
        return std::nullopt;
    const auto duration =
        std::chrono::duration_cast<milliseconds>(state.plan.duration);
    if (!state.record.late &&
        now_ms - state.record.started_ms > duration.count())
    {
        auto next = changed(state.record);
        next.late = true;
        return next;
    }
    return now - state.stage_began >= stage_time(state.plan)
               ? std::optional(advanced(state.record))
               : std::nullopt;
}

} // namespace parsleyplank::rollout
