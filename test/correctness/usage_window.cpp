// Tests the windows of usage accounting: guards against requests that are
// counted in the wrong window.

#include <parsleyplank/edge/usage_meter.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::usage;

namespace
{

constexpr milliseconds length{5'000};
const customer_id shop("shop");

class usage_window : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_window);
    CPPUNIT_TEST(a_window_begins_a_multiple_of_its_length_after_1970);
    CPPUNIT_TEST(a_short_step_of_the_wall_clock_moves_no_request);
    CPPUNIT_TEST(a_lasting_step_of_the_wall_clock_is_followed);
    CPPUNIT_TEST(a_suspension_of_the_machine_is_no_step);
    CPPUNIT_TEST(a_request_counts_when_it_is_sent);
    CPPUNIT_TEST(a_request_that_did_not_run_is_taken_back);
    CPPUNIT_TEST(a_request_that_may_have_run_stays_counted);
    CPPUNIT_TEST(a_request_written_in_the_next_window_is_moved);
    CPPUNIT_TEST(nothing_is_counted_without_the_duty);
    CPPUNIT_TEST_SUITE_END();

    // 100 ms before the end of window 10.
    static constexpr unix_time start{milliseconds(54'900)};
    boot_time now{std::chrono::hours(1)};
    edge::usage_meter meter;

    std::int64_t count(std::uint64_t window)
    {
        const auto it = meter.changes.find(window_id(window));
        return it == meter.changes.end() ? 0 : it->second[shop];
    }

    edge::counted_send send()
    {
        return *edge::count_usage(meter, shop, std::nullopt, now);
    }

    // Ends a send that was written this long ago.
    void end(const edge::counted_send& counted, proxy::call_outcome outcome,
             milliseconds latency, bool refused = false)
    {
        proxy::call_result result;
        result.outcome = outcome;
        result.latency = latency;
        edge::correct_usage(meter, counted, result,
                            edge::was_run(result, refused), std::nullopt, now);
    }

public:
    void setUp() override
    {
        meter = {};
        meter.enabled = true;
        meter.window_length = length;
        observe_clocks(meter.clock, now, start);
    }

    void a_window_begins_a_multiple_of_its_length_after_1970()
    {
        CPPUNIT_ASSERT(window_at(milliseconds(54'999), length) ==
                       window_id(10));
        CPPUNIT_ASSERT(window_at(milliseconds(55'000), length) ==
                       window_id(11));
        CPPUNIT_ASSERT(window_end(window_id(10), length) ==
                       milliseconds(55'000));
    }

    void a_short_step_of_the_wall_clock_moves_no_request()
    {
        const auto step = std::chrono::seconds(60);
        now += milliseconds(50);
        observe_clocks(meter.clock, now, start + milliseconds(50) + step);
        send();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(10));
        // The step is taken back before it is followed.
        now += meter.clock.options.step_delay / 2;
        observe_clocks(meter.clock, now,
                       start + milliseconds(50) +
                           meter.clock.options.step_delay / 2);
        now += meter.clock.options.step_delay / 2;
        observe_clocks(meter.clock, now,
                       start + milliseconds(50) +
                           meter.clock.options.step_delay + step);
        CPPUNIT_ASSERT(wall_at(meter.clock, now) ==
                       start + milliseconds(50) +
                           meter.clock.options.step_delay);
    }

    void a_lasting_step_of_the_wall_clock_is_followed()
    {
        const auto step = std::chrono::seconds(60);
        observe_clocks(meter.clock, now, start + step);
        now += meter.clock.options.step_delay;
        const auto wall = start + step + meter.clock.options.step_delay;
        observe_clocks(meter.clock, now, wall);
        CPPUNIT_ASSERT(wall_at(meter.clock, now) == wall);
    }

    void a_suspension_of_the_machine_is_no_step()
    {
        // Both clocks count it.
        now += std::chrono::minutes(5);
        observe_clocks(meter.clock, now, start + std::chrono::minutes(5));
        CPPUNIT_ASSERT(!meter.clock.step_since);
    }

    void a_request_counts_when_it_is_sent()
    {
        const auto counted = send();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(10));
        now += milliseconds(2'000);
        end(counted, proxy::call_outcome::answered, milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), count(11));
    }

    void a_request_that_did_not_run_is_taken_back()
    {
        end(send(), proxy::call_outcome::answered, milliseconds(1), true);
        end(send(), proxy::call_outcome::not_sent, milliseconds(0));
        end(send(), proxy::call_outcome::no_resources, milliseconds(0));
        // The caller left while the connection was being opened.
        end(send(), proxy::call_outcome::cancelled, milliseconds(0));
        CPPUNIT_ASSERT(meter.changes.empty());
    }

    void a_request_that_may_have_run_stays_counted()
    {
        for (const auto outcome :
             {proxy::call_outcome::lost, proxy::call_outcome::timed_out,
              proxy::call_outcome::cancelled})
            end(send(), outcome, milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), count(10));
    }

    // The connection took longer to open than the rest of the window.
    void a_request_written_in_the_next_window_is_moved()
    {
        const auto counted = send();
        now += milliseconds(500);
        end(counted, proxy::call_outcome::answered, milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), count(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(11));
    }

    void nothing_is_counted_without_the_duty()
    {
        edge::usage_settings settings;
        settings.platform.port = 1;
        settings.duties = "other,usage_reports";
        CPPUNIT_ASSERT(
            !edge::make_usage_meter(settings, "usage_report").enabled);
        settings.duties = "other,usage_report";
        CPPUNIT_ASSERT(
            edge::make_usage_meter(settings, "usage_report").enabled);
        settings.platform.port = 0;
        meter = edge::make_usage_meter(settings, "usage_report");
        CPPUNIT_ASSERT(!edge::count_usage(meter, shop, std::nullopt, now));
        CPPUNIT_ASSERT(meter.changes.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_window);

} // namespace
