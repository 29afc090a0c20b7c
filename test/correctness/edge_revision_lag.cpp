// Tests when an instance takes it that its watch of the store misses changes.
// While many servers started, revisions came faster than instances applied
// them, and up to 300 of them listed all keys again each second.

#include <parsleyplank/edge/revision_lag.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

class edge_revision_lag : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_revision_lag);
    CPPUNIT_TEST(a_stream_of_changes_that_arrive_late_is_no_lag);
    CPPUNIT_TEST(a_missed_change_is_noticed_within_a_stream);
    CPPUNIT_TEST(an_applied_revision_ends_the_lag);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds tick{100};
    time_point now{std::chrono::hours(1)};
    revision_lag lag;

    // Returns the lag after a tick.
    milliseconds observe(std::uint64_t applied, std::uint64_t newest)
    {
        now += tick;
        return observe_lag(lag, revision(applied), revision(newest), now);
    }

public:
    // Each revision is applied 200 ms after it is known.
    void a_stream_of_changes_that_arrive_late_is_no_lag()
    {
        for (std::uint64_t n = 10; n < 200; ++n)
            CPPUNIT_ASSERT(observe(n - 2, n) <= tick * 2);
    }

    void a_missed_change_is_noticed_within_a_stream()
    {
        for (std::uint64_t n = 10; n < 15; ++n)
            observe(8, n);
        CPPUNIT_ASSERT(observe(8, 15) == tick * 5);
    }

    void an_applied_revision_ends_the_lag()
    {
        CPPUNIT_ASSERT(observe(0, 20) == milliseconds(0));
        observe(8, 20);
        CPPUNIT_ASSERT(observe(8, 20) == tick);
        CPPUNIT_ASSERT(observe(20, 20) == milliseconds(0));
        CPPUNIT_ASSERT(observe(20, 21) == milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_revision_lag);

} // namespace
