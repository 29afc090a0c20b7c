// Guards the decision whether a request waits for a slot: callers must not be
// refused because old reports show longer queues than there are, and late
// requests must not make new ones late.

#include <parsleyplank/steering/wait_decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

class steering_wait_decision : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_wait_decision);
    CPPUNIT_TEST(queues_shorter_than_reported_refuse_nobody);
    CPPUNIT_TEST(a_growing_queue_is_noticed);
    CPPUNIT_TEST(a_late_request_waits_behind_a_short_queue_only);
    CPPUNIT_TEST(a_request_that_its_caller_would_not_see_is_refused);
    CPPUNIT_TEST_SUITE_END();

    const wait_options options{};
    const milliseconds objective{500};
    wait_correction correction;

    static ranked_server queued(int work_ms, int wait_ms)
    {
        ranked_server it;
        it.expected = milliseconds(work_ms + wait_ms);
        it.queueing = milliseconds(wait_ms);
        it.queue_factor = 1;
        return it;
    }

    void learn(int work_ms, int expected_wait_ms, int actual_wait_ms,
               int samples)
    {
        for (int i = 0; i < samples; ++i)
            record_wait(correction, queued(work_ms, expected_wait_ms),
                        milliseconds(work_ms + actual_wait_ms), options);
    }

    bool waits(int work_ms, int wait_ms, int to_objective, int to_deadline,
               bool urgent = false)
    {
        service_times times;
        times.warm_ms = 200;
        times.mean_ms = 300;
        return may_wait(correction, queued(work_ms, wait_ms), 3, times,
                        {milliseconds(to_objective), milliseconds(to_deadline),
                         objective, urgent},
                        options);
    }

    // Failure scenario: servers of a small region were expected to make
    // requests wait 210 ms and made them wait 80. A fifth of the callers were
    // refused although three quarters of them would have met the objective.
    void queues_shorter_than_reported_refuse_nobody()
    {
        CPPUNIT_ASSERT(!waits(250, 300, 500, 700));
        learn(250, 210, 80, 30);
        CPPUNIT_ASSERT(waits(250, 300, 500, 700));
    }

    void a_growing_queue_is_noticed()
    {
        learn(250, 210, 80, 30);
        learn(250, 300, 450, 100);
        CPPUNIT_ASSERT(!waits(250, 300, 500, 700));
    }

    // Failure scenario: requests that were late in any case filled the queues,
    // and the new requests behind them were late as well.
    void a_late_request_waits_behind_a_short_queue_only()
    {
        CPPUNIT_ASSERT(waits(640, 100, 500, 2'000, true));
        CPPUNIT_ASSERT(!waits(640, 300, 500, 2'000, true));
        CPPUNIT_ASSERT(!waits(640, 100, 500, 2'000));
        // A caller that has returned after its objective.
        CPPUNIT_ASSERT(waits(250, 100, -300, 1'500, true));
    }

    void a_request_that_its_caller_would_not_see_is_refused()
    {
        CPPUNIT_ASSERT(!waits(640, 100, 500, 900, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_wait_decision);

} // namespace
