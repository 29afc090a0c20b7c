// Guards the caller-facing server: each caller gets the one complete response
// to its own request, with its headers, whichever thread sends it.

#include "support/gate.hpp"
#include "support/raw_connection.hpp"
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/dataplane/http_front.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::dataplane;
using test::raw_connection;

namespace
{

const std::string simple_get = "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n";

struct exchange
{
    inbound_request request;
    responder answer;
};

class dataplane_http_front : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dataplane_http_front);
    CPPUNIT_TEST(request_and_response_arrive_whole);
    CPPUNIT_TEST(connection_serves_requests_in_turn);
    CPPUNIT_TEST(second_completion_has_no_effect);
    CPPUNIT_TEST(racing_completions_send_one_response);
    CPPUNIT_TEST(unanswered_request_gets_500);
    CPPUNIT_TEST(throwing_handler_gets_500);
    CPPUNIT_TEST(head_response_has_no_body);
    CPPUNIT_TEST(expectation_is_answered);
    CPPUNIT_TEST(large_body_arrives_in_parts);
    CPPUNIT_TEST(split_header_is_dropped);
    CPPUNIT_TEST(draining_server_closes_after_response);
    CPPUNIT_TEST(taken_port_is_an_error);
    CPPUNIT_TEST_SUITE_END();

    test::mailbox<exchange> inbox;
    http_front front{{},
                     [this](inbound_request request, responder answer)
                     {
                         inbox.put({std::move(request), std::move(answer)});
                     }};

public:
    void request_and_response_arrive_whole()
    {
        raw_connection caller(front.port());
        caller.send("POST /orders/7?x=%20 HTTP/1.1\r\nHost: x\r\n"
                    "X-Thing:  two words \r\nContent-Length: 5\r\n\r\nhello");
        const auto got = inbox.take();
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), got.request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/orders/7"), got.request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("x=%20"), got.request.query);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), got.request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"),
                             got.request.peer_address);
        CPPUNIT_ASSERT_EQUAL(std::string("two words"),
                             *find_header(got.request.headers, "x-thing"));
        CPPUNIT_ASSERT(got.answer.complete(
            {201, {{"X-Request-Id", "r1"}, {"Retry-After", "2"}}, "done"}));
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(201, response.status);
        CPPUNIT_ASSERT(response.has_line("X-Request-Id: r1"));
        CPPUNIT_ASSERT(response.has_line("Retry-After: 2"));
        CPPUNIT_ASSERT(response.has_line("Connection: keep-alive"));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), response.body);
    }

    void connection_serves_requests_in_turn()
    {
        raw_connection caller(front.port());
        for (int n = 0; n < 3; ++n)
        {
            caller.send(simple_get);
            inbox.take().answer.complete({200, {}, std::to_string(n)});
            CPPUNIT_ASSERT_EQUAL(std::to_string(n), caller.receive().body);
        }
    }

    void second_completion_has_no_effect()
    {
        raw_connection caller(front.port());
        caller.send(simple_get);
        const auto got = inbox.take();
        CPPUNIT_ASSERT(got.answer.complete({200, {}, "first"}));
        CPPUNIT_ASSERT(!got.answer.complete({200, {}, "second"}));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), caller.receive().body);
        caller.send(simple_get);
        const auto next = inbox.take();
        // Must not become the response of the next request either.
        CPPUNIT_ASSERT(!got.answer.complete({200, {}, "second"}));
        next.answer.complete({200, {}, "third"});
        CPPUNIT_ASSERT_EQUAL(std::string("third"), caller.receive().body);
    }

    void racing_completions_send_one_response()
    {
        raw_connection caller(front.port());
        for (int n = 0; n < 50; ++n)
        {
            caller.send(simple_get);
            const auto got = inbox.take();
            std::atomic<int> accepted = 0;
            std::vector<std::thread> threads;
            threads.reserve(4);
            for (int i = 0; i < 4; ++i)
                threads.emplace_back(
                    [&]
                    {
                        if (got.answer.complete({200, {}, std::to_string(n)}))
                            ++accepted;
                    });
            for (auto& it : threads)
                it.join();
            CPPUNIT_ASSERT_EQUAL(1, accepted.load());
            CPPUNIT_ASSERT_EQUAL(std::to_string(n), caller.receive().body);
        }
    }

    void unanswered_request_gets_500()
    {
        raw_connection caller(front.port());
        caller.send(simple_get);
        inbox.take();
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(500, response.status);
        CPPUNIT_ASSERT(response.has_line("X-Parsleyplank-Outcome: unknown"));
    }

    void throwing_handler_gets_500()
    {
        http_front throwing({}, [](const inbound_request&, const responder&)
                            { throw std::runtime_error("handler fault"); });
        raw_connection caller(throwing.port());
        caller.send(simple_get);
        CPPUNIT_ASSERT_EQUAL(500, caller.receive().status);
    }

    void head_response_has_no_body()
    {
        raw_connection caller(front.port());
        caller.send("HEAD /a HTTP/1.1\r\n\r\n");
        inbox.take().answer.complete({200, {}, "must not be sent"});
        CPPUNIT_ASSERT_EQUAL(200, caller.receive(false).status);
        caller.send(simple_get);
        inbox.take().answer.complete({200, {}, "next"});
        CPPUNIT_ASSERT_EQUAL(std::string("next"), caller.receive().body);
    }

    // Pistache 0.0.5 does not answer it, so curl waits 1 s before each upload.
    void expectation_is_answered()
    {
        raw_connection caller(front.port());
        caller.send("POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
                    "Content-Length: 2\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(100, caller.receive().status);
        caller.send("ok");
        const auto got = inbox.take();
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), got.request.body);
        got.answer.complete({});
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
    }

    void large_body_arrives_in_parts()
    {
        std::string body(3'000'000, 'x');
        body.back() = 'y';
        raw_connection caller(front.port());
        caller.send("PUT /photo HTTP/1.1\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto got = inbox.take();
        CPPUNIT_ASSERT(body == got.request.body);
        got.answer.complete({200, {}, body});
        CPPUNIT_ASSERT(body == caller.receive().body);
    }

    void split_header_is_dropped()
    {
        raw_connection caller(front.port());
        caller.send(simple_get);
        inbox.take().answer.complete(
            {200, {{"Location", "a\r\nX-Bad: 1"}}, ""});
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(!response.has_line("X-Bad: 1"));
    }

    void draining_server_closes_after_response()
    {
        raw_connection caller(front.port());
        caller.send(simple_get);
        const auto got = inbox.take();
        front.drain();
        got.answer.complete({200, {}, "last"});
        CPPUNIT_ASSERT(caller.receive().has_line("Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.receive_to_end());
    }

    void taken_port_is_an_error()
    {
        front_options options;
        options.port = front.port();
        CPPUNIT_ASSERT_THROW(http_front(options, [](const inbound_request&,
                                                    const responder&) {}),
                             error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dataplane_http_front);

} // namespace
