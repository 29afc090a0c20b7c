// A process that did not run for some seconds, stopped or suspended together
// with its machine: it must not use permissions that ran out meanwhile.

#include <parsleyplank/edge/state_confirmation.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using namespace parsleyplank::test;

namespace
{

class edge_pause : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_pause);
    CPPUNIT_TEST(a_late_timer_is_no_pause);
    CPPUNIT_TEST(after_a_pause_the_store_is_read_before_the_state_is_used);
    CPPUNIT_TEST(a_read_that_began_before_the_pause_confirms_nothing);
    CPPUNIT_TEST(without_an_answer_of_the_store_the_known_state_is_used);
    CPPUNIT_TEST(requests_wait_for_the_confirmation);
    CPPUNIT_TEST(requests_wait_for_the_control_thread);
    CPPUNIT_TEST_SUITE_END();

    const boot_time start = std::chrono::hours(1);
    const milliseconds max_gap{2'200};
    const milliseconds pause{6'000};
    state_confirmation state;

    static int status_of_read(const edge_fixture& edge)
    {
        raw_connection caller(edge.config.callers.port);
        caller.send(edge_fixture::request("GET", "/read/1", "a"));
        return caller.receive().status;
    }

    static void add_server(edge_fixture& edge)
    {
        edge.add_server(
            [](const std::string& request) {
                return scripted_response{echo_response(request, "ok"), false};
            });
    }

public:
    void setUp() override
    {
        state = {};
        state.pauses.max_gap = max_gap;
        CPPUNIT_ASSERT(!observe_control(state, start));
    }

    void a_late_timer_is_no_pause()
    {
        CPPUNIT_ASSERT(!observe_control(state, start + max_gap));
        CPPUNIT_ASSERT(is_confirmed(state));
    }

    void after_a_pause_the_store_is_read_before_the_state_is_used()
    {
        CPPUNIT_ASSERT(observe_control(state, start + pause) == pause);
        CPPUNIT_ASSERT(!is_confirmed(state));
        confirm(state, state.pause_number);
        CPPUNIT_ASSERT(is_confirmed(state));
    }

    void a_read_that_began_before_the_pause_confirms_nothing()
    {
        const auto before = state.pause_number;
        observe_control(state, start + pause);
        confirm(state, before);
        CPPUNIT_ASSERT(!is_confirmed(state));
    }

    void without_an_answer_of_the_store_the_known_state_is_used()
    {
        observe_control(state, start + pause);
        const auto given_up = start + pause + state.max_wait;
        CPPUNIT_ASSERT(!observe_control(state, given_up));
        CPPUNIT_ASSERT(!is_confirmed(state));
        CPPUNIT_ASSERT(!observe_control(state, given_up + milliseconds(1)));
        CPPUNIT_ASSERT(is_confirmed(state));
    }

    void requests_wait_for_the_confirmation()
    {
        edge_fixture edge;
        add_server(edge);
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(edge));
        edge.confirmed = false;
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(503, status_of_read(edge));
        edge.confirmed = true;
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(edge));
    }

    // The traffic thread may run before the control thread after a pause, and
    // still has the old snapshot then.
    void requests_wait_for_the_control_thread()
    {
        edge_fixture edge;
        add_server(edge);
        edge.publish();
        edge.plane->note_control_run(boot_now() - pause);
        CPPUNIT_ASSERT_EQUAL(503, status_of_read(edge));
        edge.plane->note_control_run(boot_now());
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(edge));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_pause);

} // namespace
