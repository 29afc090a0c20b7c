// Times of a planned stop, for grace times from 2 s to a minute.

#include <parsleyplank/edge/drain_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

class edge_drain_schedule : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_drain_schedule);
    CPPUNIT_TEST(servers_stop_before_the_last_response);
    CPPUNIT_TEST(servers_are_waited_for_until_the_last_sixth);
    CPPUNIT_TEST_SUITE_END();

    static constexpr time_point signalled{milliseconds(100'000)};
    static constexpr std::array grace_times{
        milliseconds(2'000), milliseconds(6'000), milliseconds(10'000),
        milliseconds(20'000), milliseconds(60'000)};

public:
    // Guards against responses of servers, and refusals, that come too late to
    // reach their callers before the process exits or is killed.
    void servers_stop_before_the_last_response()
    {
        for (const auto grace : grace_times)
        {
            const auto plan = plan_drain(signalled, grace, {});
            const std::array times{plan.signalled,
                                   plan.accept_until,
                                   plan.late_from,
                                   last_server_deadline(plan.stop_at),
                                   last_response_at(plan.stop_at),
                                   plan.stop_at,
                                   signalled + grace};
            CPPUNIT_ASSERT(std::ranges::is_sorted(times));
            CPPUNIT_ASSERT(std::ranges::adjacent_find(times) == times.end());
        }
    }

    // Guards against a silent server whose request is given up sooner than the
    // grace time requires.
    void servers_are_waited_for_until_the_last_sixth()
    {
        for (const auto grace : grace_times)
        {
            const auto plan = plan_drain(signalled, grace, {});
            CPPUNIT_ASSERT(last_response_at(plan.stop_at) >
                           signalled + grace * 5 / 6);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_drain_schedule);

} // namespace
