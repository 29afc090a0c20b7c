// Bounds on the connections of a listener: idle callers make room for new ones,
// what does not fit is refused at once, and a late event loop serves the
// connections that are open before it accepts further ones.

#include <cppunit/extensions/HelperMacros.h>
#include <support/listener_fixture.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class proxy_connection_limits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_connection_limits);
    CPPUNIT_TEST(the_connection_idle_longest_makes_room_for_a_new_one);
    CPPUNIT_TEST(a_request_beyond_the_limit_is_refused_at_once);
    CPPUNIT_TEST(a_connection_far_beyond_the_limit_is_closed);
    CPPUNIT_TEST(a_late_event_loop_accepts_one_connection_a_turn);
    CPPUNIT_TEST(a_caller_that_leaves_while_reading_is_paused_is_noticed);
    CPPUNIT_TEST_SUITE_END();

    using callers = std::vector<std::unique_ptr<raw_connection>>;

    // An event loop that does not run, and is later all the time.
    proxy::asio::io_context stalled{1};
    std::unique_ptr<listener_fixture> front;

    void listen(proxy::front_options options)
    {
        front = std::make_unique<listener_fixture>(std::move(options));
    }

    void limit_connections(std::size_t number)
    {
        proxy::front_options options;
        options.max_connections = number;
        listen(std::move(options));
    }

    // Opens connections with a request each, each after the request of the one
    // before has been handled and, if it is, responded to.
    callers open_callers(std::size_t number)
    {
        callers opened;
        while (opened.size() < number)
        {
            opened.push_back(std::make_unique<raw_connection>(front->port));
            opened.back()->send(get_request);
            front->react_until(
                [&] { return front->handled.size() == opened.size(); });
            if (front->responding)
                front->respond_to_all();
        }
        return opened;
    }

public:
    void tearDown() override
    {
        front.reset();
    }

    // Guards against idle callers that keep all descriptors, so that nobody
    // else is accepted.
    void the_connection_idle_longest_makes_room_for_a_new_one()
    {
        constexpr std::size_t limit = 4;
        limit_connections(limit);
        const auto opened = open_callers(limit + 1);
        CPPUNIT_ASSERT_EQUAL(limit + 1, front->handled.size());
        CPPUNIT_ASSERT(front->listener.open_connections() <= limit);
        for (const auto& it : opened)
            CPPUNIT_ASSERT_EQUAL(200, it->receive().status);
        CPPUNIT_ASSERT_EQUAL(std::string(), opened.front()->receive_to_end());
        opened[1]->send(get_request);
        front->react_until([this]
                           { return front->handled.size() == limit + 2; });
        front->respond_to_all();
        CPPUNIT_ASSERT_EQUAL(200, opened[1]->receive().status);
    }

    // Guards against requests that wait unread because no connection is free.
    void a_request_beyond_the_limit_is_refused_at_once()
    {
        constexpr std::size_t limit = 4;
        limit_connections(limit);
        front->responding = false;
        const auto opened = open_callers(limit);
        raw_connection refused(front->port);
        refused.send(get_request);
        front->react_until([this]
                           { return front->listener.counts().refused == 1; });
        front->react_until(
            [this] { return front->listener.open_requests() == limit; });
        CPPUNIT_ASSERT_EQUAL(limit, front->handled.size());
        const auto response = refused.receive();
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
        CPPUNIT_ASSERT(response.head.find("Retry-After: ") !=
                       std::string::npos);
        std::ranges::for_each(
            front->handled, [](const proxy::exchange_ptr& it)
            { proxy::respond(*it, proxy::make_response(200, "ok")); });
        front->respond_to_all();
        CPPUNIT_ASSERT_EQUAL(200, opened.front()->receive().status);
    }

    void a_connection_far_beyond_the_limit_is_closed()
    {
        constexpr std::size_t limit = 4;
        constexpr std::size_t refused = 1;
        limit_connections(limit);
        front->responding = false;
        auto opened = open_callers(limit);
        for (std::size_t i = 0; i < refused + 1; ++i)
        {
            opened.push_back(std::make_unique<raw_connection>(front->port));
            front->react_until(
                [&] { return front->listener.counts().refused == i + 1; });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), opened.back()->receive_to_end());
        CPPUNIT_ASSERT_EQUAL(limit + refused,
                             front->listener.open_connections());
    }

    // Guards against a crowd of new callers that delays the requests of all.
    void a_late_event_loop_accepts_one_connection_a_turn()
    {
        constexpr std::size_t crowd = 16;
        proxy::front_options options;
        options.monitor = std::make_shared<const proxy::loop_monitor>(stalled);
        options.max_loop_delay = milliseconds(0);
        listen(std::move(options));
        callers opened;
        while (opened.size() < crowd)
        {
            opened.push_back(std::make_unique<raw_connection>(front->port));
            opened.back()->send(get_request);
        }
        front->react_until([this] { return front->handled.size() == crowd; });
        CPPUNIT_ASSERT(std::ranges::any_of(
            front->handled, [this](const proxy::exchange_ptr& it)
            { return it->connection_start > front->first_handled; }));
        CPPUNIT_ASSERT(front->listener.counts().postponed_accepts > 0);
    }

    // Guards against work for a caller that left while so many of its requests
    // were pending that none was read.
    void a_caller_that_leaves_while_reading_is_paused_is_noticed()
    {
        proxy::front_options options;
        options.max_pipelined_requests = 2;
        listen(std::move(options));
        front->responding = false;
        raw_connection caller(front->port);
        for (int i = 0; i < 4; ++i)
            caller.send(get_request);
        front->react_until([this] { return front->handled.size() == 2; });
        caller.close();
        front->respond_to_all();
        CPPUNIT_ASSERT(
            std::ranges::all_of(front->handled, &proxy::exchange::cancelled));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_connection_limits);

} // namespace
