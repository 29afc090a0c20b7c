// Tests when windows are closed, written and sent.

#include <parsleyplank/usage/report_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::usage;

namespace
{

const customer_id shop("shop");

class usage_ledger : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_ledger);
    CPPUNIT_TEST(a_window_is_closed_when_its_counts_have_arrived);
    CPPUNIT_TEST(a_report_is_written_before_it_is_sent);
    CPPUNIT_TEST(a_written_report_does_not_change);
    CPPUNIT_TEST(the_report_of_an_earlier_holder_is_sent);
    CPPUNIT_TEST(a_report_that_was_not_written_is_closed_anew);
    CPPUNIT_TEST(counts_are_told_again_before_the_first_window_is_closed);
    CPPUNIT_TEST(an_incomplete_window_is_missed_rather_than_reported);
    CPPUNIT_TEST(a_window_without_requests_is_reported_if_it_was_observed);
    CPPUNIT_TEST(windows_whose_reports_may_be_lost_are_left_out);
    CPPUNIT_TEST(a_call_is_repeated_with_growing_intervals_until_it_is_late);
    CPPUNIT_TEST(a_place_is_overwritten_after_its_reports_time);
    CPPUNIT_TEST_SUITE_END();

    report_ledger ledger;
    const milliseconds length = ledger.options.window_length;
    // Begin of window 100.
    unix_time now{length * 100};

    void add(std::uint64_t window, std::int64_t count)
    {
        window_counts counts;
        add_count(counts, window_id(window), shop, count);
        add_to_sums(ledger, counts);
    }

    void pass(milliseconds time)
    {
        now += time;
        step_reports(ledger, now);
    }

    // Lets window 100 end with seven requests and be closed.
    const report_state* close()
    {
        begin_reports(ledger, {}, now);
        add(100, 7);
        pass(length + ledger.options.closing_delay);
        return next_write(ledger);
    }

public:
    void setUp() override
    {
        ledger = {};
        now = length * 100;
    }

    void a_window_is_closed_when_its_counts_have_arrived()
    {
        begin_reports(ledger, {}, now);
        add(100, 7);
        pass(length + ledger.options.closing_delay - milliseconds(1));
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        add(100, 1);
        pass(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8),
                             next_write(ledger)->report.counts.at(shop));
        // Well before its time is over.
        CPPUNIT_ASSERT(ledger.options.closing_delay * 2 < ledger.options.late);
    }

    void a_report_is_written_before_it_is_sent()
    {
        const auto* closed = close();
        CPPUNIT_ASSERT(next_call(ledger, now) == nullptr);
        note_written(ledger, closed->report);
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        CPPUNIT_ASSERT(next_call(ledger, now)->report.window == window_id(100));
    }

    void a_written_report_does_not_change()
    {
        note_written(ledger, close()->report);
        add(100, 3);
        note_written(ledger, {window_id(100), {{shop, 9}}});
        pass(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
                             next_call(ledger, now)->report.counts.at(shop));
    }

    // Guards against two holders that report different counts of one window.
    void the_report_of_an_earlier_holder_is_sent()
    {
        const window_report stored{window_id(99), {{shop, 4}}};
        begin_reports(ledger, {{window_id(99), stored}}, now);
        add(99, 7);
        CPPUNIT_ASSERT(next_call(ledger, now)->report == stored);
        pass(ledger.options.closing_delay);
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        CPPUNIT_ASSERT(next_call(ledger, now)->report == stored);
    }

    void a_report_that_was_not_written_is_closed_anew()
    {
        close();
        const window_report stored{window_id(100), {{shop, 4}}};
        begin_reports(ledger, {{window_id(100), stored}}, now);
        CPPUNIT_ASSERT(next_call(ledger, now)->report == stored);
        begin_reports(ledger, {}, now);
        add(100, 8);
        pass(ledger.options.settle_delay);
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
    }

    void counts_are_told_again_before_the_first_window_is_closed()
    {
        now += ledger.options.closing_delay;
        begin_reports(ledger, {}, now);
        add(99, 1);
        pass(ledger.options.settle_delay - milliseconds(1));
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        add(99, 6);
        pass(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
                             next_write(ledger)->report.counts.at(shop));
    }

    // Guards against a report that lacks what instances have not told a holder
    // again that began shortly before the report was late.
    void an_incomplete_window_is_missed_rather_than_reported()
    {
        now += ledger.options.late - milliseconds(1'000);
        begin_reports(ledger, {}, now);
        add(99, 7);
        pass(milliseconds(999));
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        pass(ledger.options.settle_delay);
        CPPUNIT_ASSERT(!ledger.reports.contains(window_id(99)));
    }

    // A window that ended before the duty began, and of which nobody has told,
    // may have had requests.
    void a_window_without_requests_is_reported_if_it_was_observed()
    {
        begin_reports(ledger, {}, now);
        pass(length + ledger.options.closing_delay);
        CPPUNIT_ASSERT(next_write(ledger)->report.window == window_id(100));
        CPPUNIT_ASSERT(next_write(ledger)->report.counts.empty());
    }

    // Guards against a second report of a window after the store has lost the
    // first one.
    void windows_whose_reports_may_be_lost_are_left_out()
    {
        begin_reports(ledger, {}, now);
        skip_unrecorded(ledger, now);
        add(99, 7);
        add(100, 7);
        pass(ledger.options.closing_delay);
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        // Also if this process begins the duty again.
        begin_reports(ledger, {}, now);
        add(99, 7);
        pass(ledger.options.settle_delay);
        CPPUNIT_ASSERT(next_write(ledger) == nullptr);
        add(100, 7);
        pass(length);
        CPPUNIT_ASSERT(next_write(ledger)->report.window == window_id(100));
    }

    void a_call_is_repeated_with_growing_intervals_until_it_is_late()
    {
        note_written(ledger, close()->report);
        int calls = 0;
        std::vector<window_id> missed;
        while (missed.empty())
        {
            if (const auto* due = next_call(ledger, now);
                due != nullptr && due->report.window == window_id(100))
            {
                note_call(ledger, window_id(100), now);
                ++calls;
            }
            now += milliseconds(50);
            missed = step_reports(ledger, now);
        }
        CPPUNIT_ASSERT(missed.front() == window_id(100));
        CPPUNIT_ASSERT(now >= window_end(window_id(100), length) +
                                  ledger.options.late);
        CPPUNIT_ASSERT(calls >= 4 && calls <= 8);
    }

    void a_place_is_overwritten_after_its_reports_time()
    {
        const auto place = report_place(window_id(100), ledger.options);
        auto next = window_id(101);
        while (report_place(next, ledger.options) != place)
            next = window_id(next.value + 1);
        CPPUNIT_ASSERT(window_end(next, length) >=
                       window_end(window_id(100), length) +
                           ledger.options.late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_ledger);

} // namespace
