#ifndef PARSLEYPLANK_USAGE_REPORT_LEDGER_HPP
#define PARSLEYPLANK_USAGE_REPORT_LEDGER_HPP

// The reports of the holder: sums the counts of each window, closes a window
// once its counts have arrived, and has its report written to the store before
// it is sent. A report that was written is never changed.

#include <parsleyplank/usage/window.hpp>

#include <map>
#include <optional>
#include <string>

namespace parsleyplank::usage
{

// The report of one window.
struct window_report
{
    window_id window;
    customer_counts counts;

    bool operator==(const window_report&) const = default;

    MSGPACK_DEFINE_ARRAY(window, counts)
};

struct report_options
{
    milliseconds window_length{5'000};
    // Time after its end in which a window may be reported.
    milliseconds late{10'000};
    // Time after the end of a window in which counts arrive.
    milliseconds closing_delay{3'250};
    // Time after the begin of the duty in which the instances tell it again
    // what they told the former holder.
    milliseconds settle_delay{1'500};
    // Time between two calls for one report, which doubles up to the maximum.
    milliseconds min_retry_interval{250};
    milliseconds max_retry_interval{2'000};
};

// Returns the number of the place in the store for the report of a window. Few
// enough places that the store stays small, and enough that a report is
// overwritten only after its time.
std::uint64_t report_place(window_id window, const report_options& options);

enum class report_phase
{
    // Its counts are final, but the store may not have them.
    closed,
    // The store has them.
    written,
    // The platform has accepted the report, or has refused it for good.
    done
};

struct report_state
{
    window_report report;
    report_phase phase = report_phase::closed;
    unix_time next_call{0};
    milliseconds retry_interval{0};
    int calls = 0;
    // Whether an earlier holder has closed the window.
    bool inherited = false;
};

struct report_ledger
{
    report_options options;
    // Sums of the windows that are not closed.
    window_counts sums;
    // Reports of this process, and those that it has found in the store. Kept
    // also while it does not hold the duty.
    std::map<window_id, report_state> reports;
    // Time at which the duty began.
    unix_time began{0};
    // First window that this holder may close.
    window_id first;
    // Windows before this one have reports that the store may have lost.
    window_id first_recorded;
};

// Begins the duty with the reports that the store has, and with the sums that a
// former holder has left. Windows that are not among the reports are closed if
// they end within the time of their reports.
void begin_reports(report_ledger& ledger,
                   const std::map<window_id, window_report>& stored,
                   unix_time now, window_counts left_sums = {});

// Returns the sums of the windows that have no written report, for a successor.
window_counts unwritten_sums(const report_ledger& ledger);

// Leaves out the windows that ended before this time and have no report: the
// store has come back older, and their reports may have been sent.
void skip_unrecorded(report_ledger& ledger, unix_time now);

// Adds counts to the sums; returns the number of requests that come too late
// for a window that this holder has closed.
std::int64_t add_to_sums(report_ledger& ledger, const window_counts& counts);

// Closes the windows that are due, and forgets those whose time is over.
// Returns the windows whose reports were not accepted in time.
std::vector<window_id> step_reports(report_ledger& ledger, unix_time now);

// Returns the oldest report that is closed and not written, or that is written
// and is to be sent now; nullptr if there is none.
const report_state* next_write(const report_ledger& ledger);
const report_state* next_call(const report_ledger& ledger, unix_time now);

// Records what the store has at the place of the window: the report that is to
// be sent, which may differ from the closed one.
void note_written(report_ledger& ledger, const window_report& stored);

// Records that a call began, and that the platform has accepted the report or
// refused it for good.
void note_call(report_ledger& ledger, window_id window, unix_time now);
void note_done(report_ledger& ledger, window_id window);

} // namespace parsleyplank::usage

#endif
