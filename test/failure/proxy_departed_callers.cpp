// Callers that left before their requests were read: nothing is done for them,
// and connections that wait to be accepted do not wait for the requests of
// others. The listener's thread is the test's own, so that what callers do
// falls exactly between two events.

#include <parsleyplank/proxy/front_listener.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

const std::string get_request = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";

class proxy_departed_callers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_departed_callers);
    CPPUNIT_TEST(a_request_whose_caller_left_the_listen_queue_is_not_handled);
    CPPUNIT_TEST(a_request_whose_caller_left_before_it_was_read_is_not_handled);
    CPPUNIT_TEST(pipelined_requests_of_a_caller_that_left_are_not_handled);
    CPPUNIT_TEST(a_request_of_a_caller_that_stays_is_handled);
    CPPUNIT_TEST(waiting_connections_are_accepted_before_requests_are_handled);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<proxy::asio::io_context> io;
    std::unique_ptr<proxy::front_listener> listener;
    std::uint16_t port = 0;
    std::vector<proxy::exchange_ptr> handled;
    time_point first_handled;

    // Lets the listener react to what has arrived.
    void react()
    {
        io->run_for(milliseconds(50));
    }

    // Lets the listener react until the condition holds.
    void react_until(const std::function<bool()>& condition)
    {
        const auto bound =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < bound)
            io->run_for(milliseconds(1));
        CPPUNIT_ASSERT(condition());
    }

    void handle(const proxy::exchange_ptr& ex)
    {
        if (handled.empty())
            first_handled = std::chrono::steady_clock::now();
        handled.push_back(ex);
        proxy::respond(*ex, proxy::make_response(200, "ok"));
    }

    // Asserts that the first request to be handled is that of a caller that
    // comes now.
    void assert_next_caller_is_first()
    {
        raw_connection next(port);
        next.send("GET /next HTTP/1.1\r\nHost: a.example\r\n\r\n");
        react_until([this] { return !handled.empty(); });
        react();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), handled.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listener->open_connections());
        CPPUNIT_ASSERT_EQUAL(std::string("/next"),
                             std::string(handled.front()->request.target()));
    }

public:
    void setUp() override
    {
        io = std::make_unique<proxy::asio::io_context>(1);
        port = free_port();
        listener = std::make_unique<proxy::front_listener>(
            *io, steering::server_endpoint{"127.0.0.1", port},
            proxy::front_options{},
            [this](const proxy::exchange_ptr& ex) { handle(ex); });
        react();
    }

    void tearDown() override
    {
        listener.reset();
        io.reset();
        handled.clear();
    }

    // Guards against work for callers that gave up while their connections
    // waited to be accepted.
    void a_request_whose_caller_left_the_listen_queue_is_not_handled()
    {
        raw_connection caller(port);
        caller.send(get_request);
        caller.close();
        assert_next_caller_is_first();
    }

    // Guards against work for callers that gave up while their requests lay in
    // the receive buffer of an accepted connection.
    void a_request_whose_caller_left_before_it_was_read_is_not_handled()
    {
        raw_connection caller(port);
        react();
        caller.send(get_request);
        caller.close();
        assert_next_caller_is_first();
    }

    // Guards against work for callers whose close stands behind further
    // requests that have not been read.
    void pipelined_requests_of_a_caller_that_left_are_not_handled()
    {
        constexpr int beyond_one_read = 200;
        raw_connection caller(port);
        for (int i = 0; i < beyond_one_read; ++i)
            caller.send(get_request);
        caller.close();
        assert_next_caller_is_first();
    }

    void a_request_of_a_caller_that_stays_is_handled()
    {
        raw_connection caller(port);
        caller.send(get_request + get_request);
        react_until([this] { return handled.size() == 2; });
        react_until([this] { return listener->open_requests() == 0; });
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
            callers.push_back(std::make_unique<raw_connection>(port));
            callers.back()->send(get_request);
        }
        react_until([this] { return handled.size() == crowd; });
        CPPUNIT_ASSERT(std::ranges::all_of(
            handled, [this](const proxy::exchange_ptr& it)
            { return it->connection_start <= first_handled; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_departed_callers);

} // namespace
