// A planned stop under load: what callers had sent before the stop is served,
// and the listener counts it as open until it is. The listener's thread is the
// test's own, so that the stop comes exactly between two events.

#include <parsleyplank/proxy/front_listener.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <memory>
#include <thread>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

const std::string get_request = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";

class proxy_front_stop : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_front_stop);
    CPPUNIT_TEST(a_connection_that_waits_to_be_accepted_is_served);
    CPPUNIT_TEST(a_request_that_waits_to_be_read_is_served);
    CPPUNIT_TEST(a_request_that_is_half_received_is_served);
    CPPUNIT_TEST(an_idle_connection_is_closed);
    CPPUNIT_TEST(a_response_that_is_being_written_counts_as_open);
    CPPUNIT_TEST(a_caller_that_always_has_a_request_under_way_is_closed);
    CPPUNIT_TEST(requests_that_were_pipelined_before_the_drain_are_served);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<proxy::asio::io_context> io;
    std::unique_ptr<proxy::front_listener> listener;
    const reserved_port reserved;
    const std::uint16_t port = reserved.number();
    std::string response_body;
    // Requests whose responses the test gives later, if it holds them back.
    bool hold_back = false;
    std::vector<proxy::exchange_ptr> held;

    void serve(const proxy::exchange_ptr& ex)
    {
        if (hold_back)
            held.push_back(ex);
        else
            proxy::respond(*ex, proxy::make_response(200, response_body));
    }

    // Responds to the oldest request that is held back.
    void respond_to_first()
    {
        CPPUNIT_ASSERT(!held.empty());
        proxy::respond(*held.front(), proxy::make_response(200, response_body));
        held.erase(held.begin());
        react();
    }

    // Lets the listener react to what has arrived.
    void react()
    {
        io->run_for(milliseconds(50));
    }

    // Runs the listener until no request is open.
    void serve_all()
    {
        const auto bound =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (listener->open_requests() > 0 &&
               std::chrono::steady_clock::now() < bound)
            io->run_for(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), listener->open_requests());
    }

public:
    void setUp() override
    {
        io = std::make_unique<proxy::asio::io_context>(1);
        response_body = "ok";
        listener = std::make_unique<proxy::front_listener>(
            *io, steering::server_endpoint{"127.0.0.1", port},
            proxy::front_options{},
            [this](const proxy::exchange_ptr& ex) { serve(ex); });
        react();
    }

    void tearDown() override
    {
        held.clear();
        hold_back = false;
        listener.reset();
        io.reset();
    }

    void a_connection_that_waits_to_be_accepted_is_served()
    {
        raw_connection caller(port);
        caller.send(get_request);
        listener->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listener->open_requests());
        serve_all();
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
    }

    void a_request_that_waits_to_be_read_is_served()
    {
        raw_connection caller(port);
        react();
        caller.send(get_request);
        listener->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listener->open_requests());
        serve_all();
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
    }

    void a_request_that_is_half_received_is_served()
    {
        raw_connection caller(port);
        caller.send(get_request.substr(0, 20));
        react();
        listener->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listener->open_requests());
        caller.send(get_request.substr(20));
        serve_all();
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
    }

    void an_idle_connection_is_closed()
    {
        raw_connection caller(port);
        caller.send(get_request);
        react();
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        listener->stop();
        react();
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.receive_to_end());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), listener->open_requests());
    }

    // A process that exits when no request is open must not cut a response to
    // a caller that reads slowly.
    void a_response_that_is_being_written_counts_as_open()
    {
        constexpr std::size_t beyond_all_socket_buffers = 32'000'000;
        response_body.assign(beyond_all_socket_buffers, 'x');
        raw_connection caller(port);
        caller.send(get_request);
        react();
        listener->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listener->open_requests());
        std::thread reader(
            [&]
            {
                CPPUNIT_ASSERT_EQUAL(beyond_all_socket_buffers,
                                     caller.receive().body.size());
            });
        serve_all();
        reader.join();
    }

    // Failure scenario: no response told a caller that keeps two requests under
    // way to close, and the exit of the process cut off what it sent until
    // then.
    void a_caller_that_always_has_a_request_under_way_is_closed()
    {
        hold_back = true;
        raw_connection caller(port);
        caller.send(get_request);
        react();
        listener->drain();
        caller.send(get_request);
        react();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held.size());
        respond_to_first();
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
        caller.send(get_request);
        react();
        CPPUNIT_ASSERT(held.empty());
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.receive_to_end());
    }

    void requests_that_were_pipelined_before_the_drain_are_served()
    {
        hold_back = true;
        raw_connection caller(port);
        caller.send(get_request + get_request);
        react();
        listener->drain();
        caller.send(get_request);
        react();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), held.size());
        respond_to_first();
        CPPUNIT_ASSERT(!caller.receive().has_line("Connection: close"));
        respond_to_first();
        const auto last = caller.receive();
        CPPUNIT_ASSERT_EQUAL(200, last.status);
        CPPUNIT_ASSERT(last.has_line("Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), listener->open_requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_front_stop);

} // namespace
