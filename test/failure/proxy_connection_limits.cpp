// Bounds on the connections of a listener: idle callers make room for new ones,
// what does not fit is refused at once, and a late event loop serves the
// connections that are open before it accepts further ones.

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

    std::unique_ptr<proxy::asio::io_context> io;
    std::unique_ptr<proxy::front_listener> listener;
    std::uint16_t port = 0;
    std::vector<proxy::exchange_ptr> handled;
    time_point first_handled;
    // Whether the handler responds, or holds the requests.
    bool responding = true;

    void listen(proxy::front_options options)
    {
        listener = std::make_unique<proxy::front_listener>(
            *io, steering::server_endpoint{"127.0.0.1", port},
            std::move(options),
            [this](const proxy::exchange_ptr& ex) { handle(ex); });
        react();
    }

    void limit_connections(std::size_t number)
    {
        proxy::front_options options;
        options.max_connections = number;
        listen(std::move(options));
    }

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
        if (responding)
            proxy::respond(*ex, proxy::make_response(200, "ok"));
    }

    // Opens connections with a request each, each after the request of the one
    // before has been handled and, if it is, responded to.
    callers open_callers(std::size_t number)
    {
        callers opened;
        while (opened.size() < number)
        {
            opened.push_back(std::make_unique<raw_connection>(port));
            opened.back()->send(get_request);
            react_until([&] { return handled.size() == opened.size(); });
            if (responding)
                react_until([&] { return listener->open_requests() == 0; });
        }
        return opened;
    }

public:
    void setUp() override
    {
        io = std::make_unique<proxy::asio::io_context>(1);
        port = free_port();
        handled.clear();
        responding = true;
    }

    void tearDown() override
    {
        listener.reset();
        io.reset();
        handled.clear();
    }

    // Guards against idle callers that keep all descriptors, so that nobody
    // else is accepted.
    void the_connection_idle_longest_makes_room_for_a_new_one()
    {
        constexpr std::size_t limit = 4;
        limit_connections(limit);
        const auto opened = open_callers(limit + 1);
        CPPUNIT_ASSERT_EQUAL(limit + 1, handled.size());
        CPPUNIT_ASSERT(listener->open_connections() <= limit);
        for (const auto& it : opened)
            CPPUNIT_ASSERT_EQUAL(200, it->receive().status);
        CPPUNIT_ASSERT_EQUAL(std::string(), opened.front()->receive_to_end());
        opened[1]->send(get_request);
        react_until([this] { return handled.size() == limit + 2; });
        react_until([this] { return listener->open_requests() == 0; });
        CPPUNIT_ASSERT_EQUAL(200, opened[1]->receive().status);
    }

    // Guards against requests that wait unread because no connection is free.
    void a_request_beyond_the_limit_is_refused_at_once()
    {
        constexpr std::size_t limit = 4;
        responding = false;
        limit_connections(limit);
        const auto opened = open_callers(limit);
        raw_connection refused(port);
        refused.send(get_request);
        react_until([this] { return listener->counts().refused == 1; });
        react_until([this] { return listener->open_requests() == limit; });
        CPPUNIT_ASSERT_EQUAL(limit, handled.size());
        const auto response = refused.receive();
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
        CPPUNIT_ASSERT(response.head.find("Retry-After: ") !=
                       std::string::npos);
        std::ranges::for_each(
            handled, [](const proxy::exchange_ptr& it)
            { proxy::respond(*it, proxy::make_response(200, "ok")); });
        react_until([this] { return listener->open_requests() == 0; });
        CPPUNIT_ASSERT_EQUAL(200, opened.front()->receive().status);
    }

    void a_connection_far_beyond_the_limit_is_closed()
    {
        constexpr std::size_t limit = 4;
        constexpr std::size_t refused = 1;
        responding = false;
        limit_connections(limit);
        auto opened = open_callers(limit);
        for (std::size_t i = 0; i < refused + 1; ++i)
        {
            opened.push_back(std::make_unique<raw_connection>(port));
            react_until([&] { return listener->counts().refused == i + 1; });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), opened.back()->receive_to_end());
        CPPUNIT_ASSERT_EQUAL(limit + refused, listener->open_connections());
    }

    // Guards against a crowd of new callers that delays the requests of all.
    void a_late_event_loop_accepts_one_connection_a_turn()
    {
        constexpr std::size_t crowd = 16;
        proxy::front_options options;
        options.monitor = std::make_shared<const proxy::loop_monitor>(*io);
        options.max_loop_delay = milliseconds(0);
        listen(std::move(options));
        callers opened;
        while (opened.size() < crowd)
        {
            opened.push_back(std::make_unique<raw_connection>(port));
            opened.back()->send(get_request);
        }
        react_until([this] { return handled.size() == crowd; });
        CPPUNIT_ASSERT(std::ranges::any_of(
            handled, [this](const proxy::exchange_ptr& it)
            { return it->connection_start > first_handled; }));
        CPPUNIT_ASSERT(listener->counts().postponed_accepts > 0);
    }

    // Guards against work for a caller that left while so many of its requests
    // were pending that none was read.
    void a_caller_that_leaves_while_reading_is_paused_is_noticed()
    {
        responding = false;
        proxy::front_options options;
        options.max_pipelined_requests = 2;
        listen(std::move(options));
        raw_connection caller(port);
        for (int i = 0; i < 4; ++i)
            caller.send(get_request);
        react_until([this] { return handled.size() == 2; });
        caller.close();
        react_until([this] { return listener->open_requests() == 0; });
        CPPUNIT_ASSERT(
            std::ranges::all_of(handled, &proxy::exchange::cancelled));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_connection_limits);

} // namespace
