#include <parsleyplank/usage/report_ledger.hpp>

#include <algorithm>

namespace parsleyplank::usage
{

namespace
{

// Returns the first window whose report is still in time.
window_id first_in_time(const report_ledger& ledger, unix_time now)
{
    const auto& options = ledger.options;
    return window_at(std::max(now - options.late, unix_time(0)),
                     options.window_length);
}

void close_window(report_ledger& ledger, window_id window, unix_time now)
{
    report_state state;
    state.report.window = window;
    const auto sum = ledger.sums.find(window);
    if (sum != ledger.sums.end())
    {
        state.report.counts = std::move(sum->second);
        ledger.sums.erase(sum);
    }
    // A correction may have come without the count that it corrects.
    std::erase_if(state.report.counts,
                  [](const auto& it) { return it.second <= 0; });
    state.next_call = now;
    ledger.reports.emplace(window, std::move(state));
}

} // namespace

std::uint64_t report_place(window_id window, const report_options& options)
{
    const auto places =
        static_cast<std::uint64_t>(options.late / options.window_length) + 2;
    return window.value % places;
}

void begin_reports(report_ledger& ledger,
                   const std::map<window_id, window_report>& stored,
                   unix_time now, window_counts left_sums)
{
    ledger.sums = std::move(left_sums);
    ledger.began = now;
    ledger.first = std::max(first_in_time(ledger, now), ledger.first_recorded);
    // Reports that were not written were not sent either.
    std::erase_if(ledger.reports, [](const auto& it)
                  { return it.second.phase == report_phase::closed; });
    for (const auto& [window, report] : stored)
        if (window >= first_in_time(ledger, now))
        {
            note_written(ledger, report);
            auto& state = ledger.reports.at(window);
            state.next_call = now;
            state.inherited = true;
        }
}

window_counts unwritten_sums(const report_ledger& ledger)
{
    auto sums = ledger.sums;
    for (const auto& [window, state] : ledger.reports)
        if (state.phase == report_phase::closed)
            add_counts(sums, {{window, state.report.counts}});
    return sums;
}

void skip_unrecorded(report_ledger& ledger, unix_time now)
{
    const auto current = window_at(now, ledger.options.window_length);
    ledger.first_recorded = std::max(ledger.first_recorded, current);
    ledger.first = std::max(ledger.first, current);
}

std::int64_t add_to_sums(report_ledger& ledger, const window_counts& counts)
{
    std::int64_t late = 0;
    for (const auto& [window, customers] : counts)
    {
        const auto closed = ledger.reports.find(window);
        for (const auto& [customer, count] : customers)
            if (closed == ledger.reports.end() && window >= ledger.first)
                add_count(ledger.sums, window, customer, count);
            else if (closed == ledger.reports.end() ||
                     !closed->second.inherited)
                late += count;
    }
    return late;
}

std::vector<window_id> step_reports(report_ledger& ledger, unix_time now)
{
    const auto& options = ledger.options;
    for (auto window = ledger.first;
         window_end(window, options.window_length) + options.closing_delay <=
         now;
         window = window_id(window.value + 1))
    {
        const auto end = window_end(window, options.window_length);
        const bool was_observed = end - options.window_length >= ledger.began;
        if (now - ledger.began < options.settle_delay)
            break;
        // The counts of a window that nobody has told of may be lost.
        if (!ledger.reports.contains(window) &&
            (was_observed || ledger.sums.contains(window)))
            close_window(ledger, window, now);
    }
    const auto first = first_in_time(ledger, now);
    ledger.first = std::max(ledger.first, first);
    remove_before(ledger.sums, first);
    std::vector<window_id> missed;
    while (!ledger.reports.empty() && ledger.reports.begin()->first < first)
    {
        const auto& [window, state] = *ledger.reports.begin();
        if (state.phase != report_phase::done)
            missed.push_back(window);
        ledger.reports.erase(ledger.reports.begin());
    }
    return missed;
}

const report_state* next_write(const report_ledger& ledger)
{
    const auto it = std::ranges::find_if(
        ledger.reports, [](const auto& report)
        { return report.second.phase == report_phase::closed; });
    return it == ledger.reports.end() ? nullptr : &it->second;
}

const report_state* next_call(const report_ledger& ledger, unix_time now)
{
    const auto it = std::ranges::find_if(
        ledger.reports,
        [&](const auto& report)
        {
            return report.second.phase == report_phase::written &&
                   report.second.next_call <= now;
        });
    return it == ledger.reports.end() ? nullptr : &it->second;
}

void note_written(report_ledger& ledger, const window_report& stored)
{
    auto& state = ledger.reports[stored.window];
    if (state.phase != report_phase::closed)
        return;
    state.report = stored;
    state.phase = report_phase::written;
    ledger.sums.erase(stored.window);
}

void note_call(report_ledger& ledger, window_id window, unix_time now)
{
    const auto it = ledger.reports.find(window);
    if (it == ledger.reports.end())
        return;
    auto& state = it->second;
    ++state.calls;
    state.retry_interval =
        std::clamp(state.retry_interval * 2, ledger.options.min_retry_interval,
                   ledger.options.max_retry_interval);
    state.next_call = now + state.retry_interval;
}

void note_done(report_ledger& ledger, window_id window)
{
    const auto it = ledger.reports.find(window);
    if (it != ledger.reports.end())
        it->second.phase = report_phase::done;
}

} // namespace parsleyplank::usage
