// Callers that receive slowly: whatever closes their connections, the responses
// that were written reach them. A close with unread input, or input that comes
// after it, resets a connection, and the kernel drops what the caller has not
// received.

#include <cppunit/extensions/HelperMacros.h>
#include <support/listener_fixture.hpp>

#include <future>
#include <memory>
#include <thread>
#include <utility>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

// More than a caller with a small receive buffer receives without reading, and
// less than what the kernel takes from a writer at once.
constexpr std::size_t large_body = 400'000;
constexpr std::size_t beyond_all_socket_buffers = 32'000'000;
constexpr milliseconds short_limit{50};
// Longer than the interval at which a listener checks its time limits.
constexpr milliseconds several_sweeps{1'200};

class proxy_slow_callers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_slow_callers);
    CPPUNIT_TEST(a_response_is_received_before_its_connection_closes);
    CPPUNIT_TEST(a_stop_leaves_a_response_that_is_not_received);
    CPPUNIT_TEST(a_stop_has_ended_once_the_caller_has_its_response);
    CPPUNIT_TEST(a_stop_serves_a_request_that_a_late_event_loop_has_not_read);
    CPPUNIT_TEST(the_idle_timeout_starts_when_the_response_is_received);
    CPPUNIT_TEST(a_connection_with_unreceived_bytes_makes_no_room);
    CPPUNIT_TEST(a_stalled_body_does_not_cut_off_the_request_before_it);
    CPPUNIT_TEST(a_body_behind_a_write_that_announces_no_close_is_handled);
    CPPUNIT_TEST(a_pause_in_reading_is_no_stalled_body);
    CPPUNIT_TEST(a_request_behind_the_last_write_is_served_during_a_drain);
    CPPUNIT_TEST(a_caller_that_still_sends_receives_its_refusal);
    CPPUNIT_TEST(a_caller_that_never_receives_is_closed_and_counted);
    CPPUNIT_TEST(fast_responses_before_give_a_caller_that_stalls_no_time);
    CPPUNIT_TEST(a_caller_that_never_closes_is_closed);
    CPPUNIT_TEST(a_caller_that_sends_without_end_is_closed);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<listener_fixture> front;
    std::unique_ptr<raw_connection> caller;

    void listen(proxy::front_options options = {},
                milliseconds close_timeout = short_limit)
    {
        options.close_timeout = close_timeout;
        front = std::make_unique<listener_fixture>(std::move(options));
        front->responding = false;
        caller = std::make_unique<raw_connection>();
        caller->limit_receive_buffer();
        caller->connect(front->port);
    }

    // Sends a request and lets the listener write a large response to it, of
    // which most stays in the kernel.
    void request_large_response(std::size_t bytes = large_body)
    {
        caller->send(get_request);
        front->react_until([this] { return front->handled.size() == 1; });
        respond_to_first(std::string(bytes, 'x'));
    }

    void respond_to_first(const std::string& body)
    {
        proxy::respond(*front->handled.front(),
                       proxy::make_response(200, body));
        front->react();
    }

    // Reads a response while the listener runs.
    raw_response receive() const
    {
        auto result = std::async(std::launch::async,
                                 [this] { return caller->receive(); });
        front->react_until(
            [&] {
                return result.wait_for(milliseconds(0)) ==
                       std::future_status::ready;
            });
        return result.get();
    }

public:
    void tearDown() override
    {
        caller.reset();
        front.reset();
    }

    // Guards against a close while the kernel still holds the last response:
    // callers that sent requests behind it were reset.
    void a_response_is_received_before_its_connection_closes()
    {
        listen();
        front->listener.drain();
        request_large_response();
        caller->send(get_request);
        front->io.run_for(several_sweeps);
        caller->send(get_request);
        const auto response = receive();
        CPPUNIT_ASSERT_EQUAL(large_body, response.body.size());
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), front->handled.size());
    }

    void a_stop_leaves_a_response_that_is_not_received()
    {
        listen();
        request_large_response();
        front->listener.stop();
        front->io.run_for(several_sweeps);
        caller->send(get_request);
        CPPUNIT_ASSERT_EQUAL(large_body, receive().body.size());
        front->react_until([this] { return front->handled.size() == 2; });
        proxy::respond(*front->handled.back(), proxy::make_response(200, "ok"));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), receive().body);
    }

    // Guards against an exit of the process between the write of a response and
    // its receipt.
    void a_stop_has_ended_once_the_caller_has_its_response()
    {
        listen();
        front->listener.drain();
        request_large_response();
        bool drained = false;
        front->listener.stop([&] { drained = true; });
        front->io.run_for(several_sweeps);
        CPPUNIT_ASSERT(!drained);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), front->listener.open_requests());
        CPPUNIT_ASSERT_EQUAL(large_body, receive().body.size());
        caller->close();
        front->react_until([&] { return drained; });
    }

    // Guards against a close of connections that have long been idle by the
    // first check of a stop, though a request has arrived.
    void a_stop_serves_a_request_that_a_late_event_loop_has_not_read()
    {
        listen();
        caller->send(get_request);
        front->react_until([this] { return front->handled.size() == 1; });
        respond_to_first("ok");
        CPPUNIT_ASSERT_EQUAL(200, receive().status);
        std::this_thread::sleep_for(2 * short_limit);
        caller->send(get_request);
        front->listener.stop([] {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             front->listener.open_connections());
        front->react_until([this] { return front->handled.size() == 2; });
    }

    void the_idle_timeout_starts_when_the_response_is_received()
    {
        proxy::front_options options;
        options.limits.idle_timeout = short_limit;
        listen(std::move(options));
        request_large_response();
        front->io.run_for(several_sweeps);
        caller->send(get_request);
        CPPUNIT_ASSERT_EQUAL(large_body, receive().body.size());
    }

    void a_connection_with_unreceived_bytes_makes_no_room()
    {
        proxy::front_options options;
        options.max_connections = 1;
        listen(std::move(options));
        request_large_response();
        raw_connection other(front->port);
        other.send(get_request);
        front->react_until([this]
                           { return front->listener.counts().refused == 1; });
        caller->send(get_request);
        CPPUNIT_ASSERT_EQUAL(large_body, receive().body.size());
    }

    // Guards against a time limit of one request that cuts off another one.
    void a_stalled_body_does_not_cut_off_the_request_before_it()
    {
        proxy::front_options options;
        options.limits.idle_timeout = short_limit;
        listen(std::move(options));
        caller->send(get_request);
        front->react_until([this] { return front->handled.size() == 1; });
        caller->send("POST /a HTTP/1.1\r\nHost: a.example\r\n"
                     "Content-Length: 10\r\n\r\nstall");
        front->io.run_for(several_sweeps);
        CPPUNIT_ASSERT(!front->handled.front()->cancelled);
        respond_to_first("ok");
        const auto response = receive();
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), response.body);
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
    }

    // Guards against a request that is dropped because its body was late,
    // though no response has announced that the connection closes.
    void a_body_behind_a_write_that_announces_no_close_is_handled()
    {
        proxy::front_options options;
        options.limits.idle_timeout = short_limit;
        listen(std::move(options));
        request_large_response(beyond_all_socket_buffers);
        caller->send("POST /a HTTP/1.1\r\nHost: a.example\r\n"
                     "Content-Length: 10\r\n\r\nstall");
        front->io.run_for(several_sweeps);
        caller->send("-over");
        front->react_until([this] { return front->handled.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(beyond_all_socket_buffers, receive().body.size());
        proxy::respond(*front->handled.back(), proxy::make_response(200, "ok"));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), receive().body);
    }

    // Guards against a connection that is closed because its last body was read
    // long ago.
    void a_pause_in_reading_is_no_stalled_body()
    {
        proxy::front_options options;
        options.limits.idle_timeout = short_limit;
        options.max_pipelined_requests = 1;
        listen(std::move(options));
        caller->send("POST /a HTTP/1.1\r\nHost: a.example\r\n"
                     "Content-Length: 4\r\n\r\n");
        front->react();
        caller->send("body");
        front->react_until([this] { return front->handled.size() == 1; });
        front->io.run_for(several_sweeps);
        respond_to_first("ok");
        CPPUNIT_ASSERT(!receive().has_line("Connection: close"));
    }

    // Guards against a request that is dropped although the response before it
    // has told the caller that the connection stays open.
    void a_request_behind_the_last_write_is_served_during_a_drain()
    {
        listen();
        request_large_response(beyond_all_socket_buffers);
        front->listener.drain();
        caller->send(get_request);
        front->react_until([this] { return front->handled.size() == 2; });
        const auto first = receive();
        CPPUNIT_ASSERT_EQUAL(beyond_all_socket_buffers, first.body.size());
        CPPUNIT_ASSERT(!first.has_line("Connection: close"));
        proxy::respond(*front->handled.back(), proxy::make_response(200, "ok"));
        const auto second = receive();
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), second.body);
        CPPUNIT_ASSERT(second.has_line("Connection: close"));
    }

    // Guards against a refusal that is lost because the caller was still
    // sending the refused body when its connection was closed.
    void a_caller_that_still_sends_receives_its_refusal()
    {
        // Longer than any pause between two parts, shorter than all parts take.
        constexpr milliseconds close_timeout{1'000};
        constexpr int parts = 20;
        proxy::front_options options;
        options.limits.max_body_bytes = 1'000;
        listen(std::move(options), close_timeout);
        caller->send("POST /a HTTP/1.1\r\nHost: a.example\r\n"
                     "Content-Length: 1000000\r\n\r\n");
        for (int i = 0; i < parts; ++i)
        {
            caller->send(std::string(1'000, 'b'));
            front->io.run_for(3 * close_timeout / parts);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             front->listener.open_connections());
        CPPUNIT_ASSERT_EQUAL(413, receive().status);
    }

    void a_caller_that_never_receives_is_closed_and_counted()
    {
        proxy::front_options options;
        options.write_timeout = short_limit;
        listen(std::move(options));
        request_large_response();
        front->react_until([this]
                           { return front->listener.open_connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             front->listener.cut().unreceived);
    }

    // Guards against a time limit that grows with each response: ten of them
    // would give a caller that stalls at least 5 s.
    void fast_responses_before_give_a_caller_that_stalls_no_time()
    {
        constexpr int responses = 10;
        proxy::front_options options;
        options.write_timeout = milliseconds(500);
        options.min_receive_rate = large_body / 8.0;
        listen(std::move(options));
        for (int i = 0; i < responses; ++i)
        {
            request_large_response();
            CPPUNIT_ASSERT_EQUAL(large_body, receive().body.size());
            front->handled.clear();
        }
        request_large_response();
        front->io.run_for(3 * several_sweeps);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             front->listener.open_connections());
    }

    void a_caller_that_sends_without_end_is_closed()
    {
        proxy::front_options options;
        options.write_timeout = short_limit;
        listen(std::move(options));
        front->listener.drain();
        caller->send(get_request);
        front->react_until([this] { return front->handled.size() == 1; });
        respond_to_first("ok");
        front->react_until(
            [this]
            {
                caller->send("x");
                return front->listener.open_connections() == 0;
            });
    }

    void a_caller_that_never_closes_is_closed()
    {
        listen();
        front->listener.drain();
        caller->send(get_request);
        front->react_until([this] { return front->handled.size() == 1; });
        respond_to_first("ok");
        CPPUNIT_ASSERT_EQUAL(200, receive().status);
        front->react_until([this]
                           { return front->listener.open_connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             front->listener.cut().unreceived);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_slow_callers);

} // namespace
