// Callers that left before their requests were read: nothing is done for them,
// and connections that wait to be accepted do not wait for the requests of
// others. The listener's thread is the test's own, so that what callers do
// falls exactly between two events.

#include <cppunit/extensions/HelperMacros.h>
#include <support/listener_fixture.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class proxy_departed_callers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_departed_callers);
    CPPUNIT_TEST(a_request_whose_caller_left_the_listen_queue_is_not_handled);
    CPPUNIT_TEST(a_request_whose_caller_left_before_it_was_read_is_not_handled);
    CPPUNIT_TEST(pipelined_requests_of_a_caller_that_left_are_not_handled);
    CPPUNIT_TEST(a_request_of_a_caller_that_stays_is_handled);
    CPPUNIT_TEST(waiting_connections_are_accepted_before_requests_are_handled);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<listener_fixture> front;

    // Asserts that the first request to be handled is that of a caller that
    // comes now.
    void assert_next_caller_is_first()
    {
        raw_connection next(front->port);
        next.send("GET /next HTTP/1.1\r\nHost: a.example\r\n\r\n");
        front->react_until([this] { return !front->handled.empty(); });
        front->react();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), front->handled.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             front->listener.open_connections());
        CPPUNIT_ASSERT_EQUAL(
            std::string("/next"),
            std::string(front->handled.front()->request.target()));
    }

public:
    void setUp() override
    {
        front = std::make_unique<listener_fixture>();
    }

    void tearDown() override
    {
        front.reset();
    }

    // Guards against work for callers that gave up while their connections
    // waited to be accepted.
    void a_request_whose_caller_left_the_listen_queue_is_not_handled()
    {
        raw_connection caller(front->port);
        caller.send(get_request);
        caller.close();
        assert_next_caller_is_first();
    }

    // Guards against work for callers that gave up while their requests lay in
    // the receive buffer of an accepted connection.
    void a_request_whose_caller_left_before_it_was_read_is_not_handled()
    {
        raw_connection caller(front->port);
        front->react();
        caller.send(get_request);
        caller.close();
        assert_next_caller_is_first();
    }

    // Guards against work for callers whose close stands behind further
    // requests that have not been read.
    void pipelined_requests_of_a_caller_that_left_are_not_handled()
    {
        constexpr int beyond_one_read = 200;
        raw_connection caller(front->port);
        for (int i = 0; i < beyond_one_read; ++i)
            caller.send(get_request);
        caller.close();
        assert_next_caller_is_first();
    }

    void a_request_of_a_caller_that_stays_is_handled()
    {
        raw_connection caller(front->port);
        caller.send(get_request + get_request);
        front->react_until([this] { return front->handled.size() == 2; });
        front->respond_to_all();
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
    }

    // Guards against a listen queue that grows while requests are handled: one
    // accept for each turn of the event loop is too slow for a crowd.
    void waiting_connections_are_accepted_before_requests_are_handled()
    {
        constexpr int crowd = 64;
        std::vector<std::unique_ptr<raw_connection>> callers;
        for (int i = 0; i < crowd; ++i)
        {
            callers.push_back(std::make_unique<raw_connection>(front->port));
            callers.back()->send(get_request);
        }
        front->react_until([this] { return front->handled.size() == crowd; });
        CPPUNIT_ASSERT(std::ranges::all_of(
            front->handled, [this](const proxy::exchange_ptr& it)
            { return it->connection_start <= front->first_handled; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_departed_callers);

} // namespace
