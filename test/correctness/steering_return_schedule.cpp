// Guards the return of refused callers: a crowd that is refused in one moment
// must not return in one moment, callers told to return must find room, and
// callers that ask again and again must not pass those that wait.

#include <parsleyplank/steering/return_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

class steering_return_schedule : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_return_schedule);
    CPPUNIT_TEST(a_refused_crowd_returns_within_the_expected_room);
    CPPUNIT_TEST(urgent_ranks_return_before_others_told_earlier);
    CPPUNIT_TEST(those_who_waited_return_before_new_callers);
    CPPUNIT_TEST(no_return_is_told_beyond_what_callers_honour);
    CPPUNIT_TEST(repeaters_take_places_behind_those_told_before);
    CPPUNIT_TEST(places_expire_after_a_pause);
    CPPUNIT_TEST(the_time_that_a_server_has_named_is_waited_for);
    CPPUNIT_TEST_SUITE_END();

    const return_options options{};
    time_point now{std::chrono::hours(1)};
    return_schedule schedule;

    void place_requests(int per_second)
    {
        // Several half-lives of the measured rate.
        for (int i = 0; i < 60; ++i)
        {
            for (int n = 0; n < per_second / 10; ++n)
                count_placed(schedule);
            now += milliseconds(100);
            // Measures the rate without a place in the near future.
            refused_caller none;
            schedule_return(schedule, none, 0, options, now);
        }
        schedule.told.fill(0);
    }

    return_time tell(double rank = 0, double age = 0,
                     milliseconds left = milliseconds(6'000))
    {
        return schedule_return(schedule,
                               {left, milliseconds(300), {}, rank, age}, 0.5,
                               options, now);
    }

    void a_refused_crowd_returns_within_the_expected_room()
    {
        place_requests(200);
        // 200 a second is room for 20 in each interval.
        std::map<std::int64_t, int> returns;
        for (int i = 0; i < 240; ++i)
            ++returns[tell().after / return_schedule::interval];
        const auto most = std::ranges::max_element(
            returns, {}, [](const auto& it) { return it.second; });
        CPPUNIT_ASSERT(most->second <= 20);
        CPPUNIT_ASSERT(returns.size() >= 12);
    }

    void urgent_ranks_return_before_others_told_earlier()
    {
        place_requests(200);
        for (int i = 0; i < 120; ++i)
            tell(0.8);
        const auto urgent = tell(0);
        const auto late = tell(0.8);
        CPPUNIT_ASSERT(urgent.after < late.after);
    }

    void those_who_waited_return_before_new_callers()
    {
        place_requests(200);
        for (int i = 0; i < 160; ++i)
            tell(0, 0);
        CPPUNIT_ASSERT(tell(0, 1).after < tell(0, 0).after);
    }

    void no_return_is_told_beyond_what_callers_honour()
    {
        place_requests(20);
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(tell(0, 0, milliseconds(900)).after <=
                           milliseconds(300));
        const auto hopeless = tell(0, 0, milliseconds(330));
        CPPUNIT_ASSERT(!hopeless.in_time);
    }

    void repeaters_take_places_behind_those_told_before()
    {
        place_requests(100);
        auto last = milliseconds(0);
        for (int i = 0; i < 20; ++i)
        {
            const auto told = tell().after;
            CPPUNIT_ASSERT(told >= last);
            last = told;
        }
    }

    void places_expire_after_a_pause()
    {
        place_requests(200);
        for (int i = 0; i < 100; ++i)
            tell();
        now += std::chrono::minutes(1);
        place_requests(200);
        CPPUNIT_ASSERT(tell().after <= milliseconds(200));
    }

    void the_time_that_a_server_has_named_is_waited_for()
    {
        place_requests(200);
        const auto told = schedule_return(
            schedule,
            {milliseconds(6'000), milliseconds(300), milliseconds(700), 0, 0},
            0, options, now);
        CPPUNIT_ASSERT(told.after >= milliseconds(700));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_return_schedule);

} // namespace
