// Guards the decision to ask a second server: only for the few requests that
// take much longer than their kind does, and not under overload.

#include <parsleyplank/steering/long_tail.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank::steering;

namespace
{

class steering_long_tail : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_long_tail);
    CPPUNIT_TEST(a_long_request_gets_a_second_server);
    CPPUNIT_TEST(even_response_times_need_none);
    CPPUNIT_TEST(overload_gets_none);
    CPPUNIT_TEST(a_cold_second_server_must_still_be_quicker);
    CPPUNIT_TEST(cancelled_calls_do_not_shorten_the_tail);
    CPPUNIT_TEST(few_responses_decide_nothing);
    CPPUNIT_TEST_SUITE_END();

    const tail_options options{};
    response_tail tail;

    void record(int n, double ratio, bool completed = true)
    {
        for (int i = 0; i < n; ++i)
            record_call_time(tail, ratio, completed, options);
    }

    void know_warm_second()
    {
        for (int i = 0; i < 60; ++i)
            record_second_time(tail, 1.1, options);
    }

public:
    // 3% of requests take seven times as long: the second server must be asked
    // early enough to answer in about half of that.
    void a_long_request_gets_a_second_server()
    {
        record(97, 1);
        record(3, 7);
        know_warm_second();
        const auto after = second_request_after(tail, options);
        CPPUNIT_ASSERT(after.has_value());
        CPPUNIT_ASSERT(*after + 1.1 < 4);
        CPPUNIT_ASSERT(*after >= 1.25);
    }

    // Guards against second requests where the first ends soon anyway.
    void even_response_times_need_none()
    {
        record(60, 0.9);
        record(30, 1.1);
        record(6, 1.3);
        record(4, 1.6);
        know_warm_second();
        CPPUNIT_ASSERT(!second_request_after(tail, options));
    }

    // Guards an overloaded service: most requests are late there, and second
    // ones would make all later.
    void overload_gets_none()
    {
        record(60, 1);
        record(40, 6);
        know_warm_second();
        CPPUNIT_ASSERT(!second_request_after(tail, options));
    }

    void a_cold_second_server_must_still_be_quicker()
    {
        record(97, 1);
        record(3, 3.6);
        for (int i = 0; i < 60; ++i)
            record_second_time(tail, 3.3, options);
        CPPUNIT_ASSERT(!second_request_after(tail, options));
        know_warm_second();
        CPPUNIT_ASSERT(second_request_after(tail, options));
    }

    // Guards against a decision that removes its own evidence: once second
    // servers answer, the first calls are cancelled early.
    void cancelled_calls_do_not_shorten_the_tail()
    {
        record(97, 1);
        record(3, 7);
        know_warm_second();
        const auto before = second_request_after(tail, options);
        record(97, 1);
        record(3, 3, false);
        CPPUNIT_ASSERT(before == second_request_after(tail, options));
    }

    void few_responses_decide_nothing()
    {
        record(20, 1);
        record(1, 7);
        know_warm_second();
        CPPUNIT_ASSERT(!second_request_after(tail, options));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_long_tail);

} // namespace
