// Guards the data path of an edge process: which response a caller gets, what
// is sent to a backend server, and which requests are retried.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <atomic>
#include <mutex>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_data_path : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_data_path);
    CPPUNIT_TEST(without_a_configuration_requests_are_refused_as_not_run);
    CPPUNIT_TEST(requests_during_the_first_configuration_are_answered);
    CPPUNIT_TEST(unknown_routes_and_keys_are_refused);
    CPPUNIT_TEST(strict_keys_are_refused_without_the_store);
    CPPUNIT_TEST(the_api_key_is_replaced_by_the_customer);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_their_order);
    CPPUNIT_TEST(a_chunked_body_arrives_whole);
    CPPUNIT_TEST(an_order_is_not_sent_again_after_a_lost_connection);
    CPPUNIT_TEST(a_read_is_sent_to_another_server_after_a_lost_connection);
    CPPUNIT_TEST(an_order_that_did_not_run_is_sent_to_another_server);
    CPPUNIT_TEST(a_read_that_may_have_run_is_not_reported_as_not_run);
    CPPUNIT_TEST(a_server_failure_is_delivered_if_the_retry_is_refused);
    CPPUNIT_TEST(a_body_that_ends_early_never_looks_complete);
    CPPUNIT_TEST(a_late_response_to_another_request_is_skipped);
    CPPUNIT_TEST(a_second_copy_of_a_response_reaches_no_other_caller);
    CPPUNIT_TEST(a_late_response_without_an_id_reaches_no_other_caller);
    CPPUNIT_TEST(an_order_is_not_reported_as_not_run_without_the_mark);
    CPPUNIT_TEST(failures_of_a_server_pass_unchanged);
    CPPUNIT_TEST(the_rest_of_a_body_never_reaches_another_request);
    CPPUNIT_TEST(a_draining_instance_closes_after_its_response);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<edge_fixture> edge;

    raw_response send(const std::string& request)
    {
        raw_connection caller(edge->config.callers.port);
        caller.send(request);
        return caller.receive();
    }

public:
    void setUp() override
    {
        edge = std::make_unique<edge_fixture>();
    }

    void tearDown() override
    {
        edge.reset();
    }

    void without_a_configuration_requests_are_refused_as_not_run()
    {
        const auto response =
            send(edge_fixture::request("GET", "/read/1", "a"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(response.head.find("Retry-After: ") !=
                       std::string::npos);
    }

    // Failure scenario: after a loss of power, requests arrive at the moment at
    // which the first configuration does. The process ended with a segmentation
    // fault.
    void requests_during_the_first_configuration_are_answered()
    {
        constexpr int rounds = 20;
        constexpr int requests = 16;
        for (int round = 0; round < rounds; ++round)
        {
            edge = std::make_unique<edge_fixture>();
            edge->add_server(
                [](const std::string& request) {
                    return scripted_response{echo_response(request, "ok"),
                                             false};
                });
            raw_connection caller(edge->config.callers.port);
            std::string all;
            for (int i = 0; i < requests; ++i)
                all +=
                    edge_fixture::request("GET", "/read/1", std::to_string(i));
            caller.send(all);
            edge->publish();
            for (int i = 0; i < requests; ++i)
            {
                const auto status = caller.receive().status;
                CPPUNIT_ASSERT(status == 200 || status == 503);
            }
        }
    }

    void unknown_routes_and_keys_are_refused()
    {
        std::atomic<int> seen{0};
        edge->add_server(
            [&](const std::string& request)
            {
                ++seen;
                return scripted_response{echo_response(request, "ok"), false};
            });
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(
            404, send(edge_fixture::request("GET", "/none/1", "a")).status);
        CPPUNIT_ASSERT_EQUAL(
            401, send(edge_fixture::request("GET", "/read/1", "a", "", "", "x"))
                     .status);
        CPPUNIT_ASSERT_EQUAL(0, seen.load());
    }

    // With strict keys, an instance without contact to the store can't know of
    // the withdrawal of a key, so it refuses them.
    void strict_keys_are_refused_without_the_store()
    {
        const auto request = edge_fixture::request("GET", "/read/1", "a");
        for (const bool strict : {false, true})
        {
            edge = std::make_unique<edge_fixture>(strict);
            edge->add_server(
                [](const std::string& seen) {
                    return scripted_response{echo_response(seen, "ok"), false};
                });
            edge->publish(std::chrono::steady_clock::now() -
                          std::chrono::minutes(10));
            CPPUNIT_ASSERT_EQUAL(strict ? 503 : 200, send(request).status);
            edge->publish();
            CPPUNIT_ASSERT_EQUAL(200, send(request).status);
        }
    }

    void the_api_key_is_replaced_by_the_customer()
    {
        std::mutex guard;
        std::string seen;
        edge->add_server(
            [&](const std::string& request)
            {
                const std::lock_guard lock(guard);
                seen = request;
                return scripted_response{echo_response(request, "ok"), false};
            });
        edge->publish();
        const auto response = send(edge_fixture::request(
            "GET", "/read/1", "a", "Parsleyplank-Tenant: another\r\n"));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        const std::lock_guard lock(guard);
        CPPUNIT_ASSERT(seen.find("key-1") == std::string::npos);
        CPPUNIT_ASSERT(seen.find("another") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("shop"),
                             header_of(seen, "Parsleyplank-Tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("server-1"),
                             header_of(seen, "Parsleyplank-Expected-Instance"));
    }

    // Guards pipelining, which the busiest kind of both deployments uses: it
    // sends further reads before the first is answered.
    void pipelined_requests_are_answered_in_their_order()
    {
        // Counts the requests that the two servers receive.
        std::atomic<int> seen{0};
        const auto respond = [&](const std::string& request)
        {
            ++seen;
            return scripted_response{
                echo_response(request,
                              header_of(request, "Parsleyplank-Request-Id")),
                false};
        };
        edge->add_server(respond);
        edge->add_server(respond);
        edge->publish();
        raw_connection caller(edge->config.callers.port);
        std::string all;
        for (int i = 0; i < 6; ++i)
            all += edge_fixture::request("GET", "/read/1", std::to_string(i));
        caller.send(all);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), caller.receive().body);
        CPPUNIT_ASSERT_EQUAL(6, seen.load());
    }

    void a_chunked_body_arrives_whole()
    {
        std::mutex guard;
        std::string seen;
        edge->add_server(
            [&](const std::string& request)
            {
                const std::lock_guard lock(guard);
                seen = request;
                return scripted_response{echo_response(request, "ok"), false};
            });
        edge->publish();
        const auto response =
            send("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                 "Parsleyplank-Request-Id: a\r\nApi-Key: key-1\r\n"
                 "Transfer-Encoding: "
                 "chunked\r\n\r\n4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        const std::lock_guard lock(guard);
        CPPUNIT_ASSERT(seen.ends_with("\r\n\r\nabcdef"));
    }

    void an_order_is_not_sent_again_after_a_lost_connection()
    {
        std::atomic<int> seen{0};
        const auto lose = [&](const std::string&)
        {
            ++seen;
            return scripted_response{"", true};
        };
        edge->add_server(lose);
        edge->add_server(lose);
        edge->publish();
        const auto response =
            send(edge_fixture::request("POST", "/order/1", "a", "", "body"));
        CPPUNIT_ASSERT_EQUAL(502, response.status);
        CPPUNIT_ASSERT_EQUAL(1, seen.load());
    }

    void a_read_is_sent_to_another_server_after_a_lost_connection()
    {
        std::atomic<int> seen{0};
        const auto lose_first = [&](const std::string& request)
        {
            return ++seen == 1
                       ? scripted_response{"", true}
                       : scripted_response{echo_response(request, "ok"), false};
        };
        edge->add_server(lose_first);
        edge->add_server(lose_first);
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(
            200, send(edge_fixture::request("GET", "/read/1", "a")).status);
        CPPUNIT_ASSERT_EQUAL(2, seen.load());
    }

    void an_order_that_did_not_run_is_sent_to_another_server()
    {
        std::atomic<int> seen{0};
        const auto refuse_first = [&](const std::string& request)
        {
            return ++seen == 1
                       ? scripted_response{"HTTP/1.1 503 Full\r\n"
                                           "Parsleyplank-Request-Id: a\r\n"
                                           "Parsleyplank-Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n",
                                           false}
                       : scripted_response{echo_response(request, "ok"), false};
        };
        edge->add_server(refuse_first);
        edge->add_server(refuse_first);
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(200, send(edge_fixture::request("POST", "/order/1",
                                                             "a", "", "body"))
                                      .status);
        CPPUNIT_ASSERT_EQUAL(2, seen.load());
    }

    // Answers the first request with the given bytes and refuses the others as
    // not run.
    void refuse_after(const scripted_response& first, std::atomic<int>& seen)
    {
        const auto respond = [&seen, first](const std::string&)
        {
            return ++seen == 1
                       ? first
                       : scripted_response{"HTTP/1.1 503 Full\r\n"
                                           "Parsleyplank-Request-Id: a\r\n"
                                           "Parsleyplank-Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n",
                                           false};
        };
        edge->add_server(respond);
        edge->add_server(respond);
        edge->publish();
    }

    // Covers a read that the first server runs and whose response is lost,
    // while the second server is full. Status 503 would assert that the read
    // has not run.
    void a_read_that_may_have_run_is_not_reported_as_not_run()
    {
        std::atomic<int> seen{0};
        refuse_after({"", true}, seen);
        CPPUNIT_ASSERT_EQUAL(
            502, send(edge_fixture::request("GET", "/read/1", "a")).status);
        CPPUNIT_ASSERT_EQUAL(2, seen.load());
    }

    void a_server_failure_is_delivered_if_the_retry_is_refused()
    {
        std::atomic<int> seen{0};
        refuse_after({"HTTP/1.1 500 Broken\r\nParsleyplank-Request-Id: a\r\n"
                      "Parsleyplank-Response-Seal: s-1\r\n"
                      "Content-Length: 3\r\n\r\nbad",
                      false},
                     seen);
        const auto response =
            send(edge_fixture::request("GET", "/read/1", "a"));
        CPPUNIT_ASSERT_EQUAL(500, response.status);
        CPPUNIT_ASSERT(response.has_line("Parsleyplank-Response-Seal: s-1"));
        CPPUNIT_ASSERT_EQUAL(2, seen.load());
    }

    void a_body_that_ends_early_never_looks_complete()
    {
        edge->add_server(
            [](const std::string&)
            {
                return scripted_response{
                    "HTTP/1.1 200 OK\r\nParsleyplank-Request-Id: a\r\n"
                    "Content-Length: 100\r\n\r\nonly a part",
                    true};
            });
        edge->publish();
        const auto response =
            send(edge_fixture::request("POST", "/order/1", "a", "", "body"));
        CPPUNIT_ASSERT_EQUAL(502, response.status);
    }

    // Covers a server that sends a second response to a request, which is then
    // read where the next response is expected.
    void a_late_response_to_another_request_is_skipped()
    {
        edge->add_server(
            [](const std::string& request)
            {
                return scripted_response{
                    "HTTP/1.1 200 OK\r\nParsleyplank-Request-Id: earlier\r\n"
                    "Content-Length: 5\r\n\r\nwrong" +
                        echo_response(request, "right"),
                    false};
            });
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(
            std::string("right"),
            send(edge_fixture::request("POST", "/order/1", "a", "", "body"))
                .body);
    }

    // Sends two requests over one connection to the server, which puts the
    // given bytes before its response to the second.
    void assert_second_is_answered(
        const std::function<std::string(const std::string& first)>& stray)
    {
        std::string first;
        edge->add_server(
            [&](const std::string& request)
            {
                if (first.empty())
                {
                    first = request;
                    return scripted_response{echo_response(request, "first"),
                                             false};
                }
                return scripted_response{
                    stray(first) + echo_response(request, "second"), false};
            });
        edge->publish();
        raw_connection caller(edge->config.callers.port);
        caller.send(edge_fixture::request("GET", "/read/1", "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), caller.receive().body);
        caller.send(edge_fixture::request("GET", "/read/1", "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), caller.receive().body);
    }

    // Failure scenario of another system: the copy arrives when the connection
    // is in use again.
    void a_second_copy_of_a_response_reaches_no_other_caller()
    {
        assert_second_is_answered([](const std::string& first)
                                  { return echo_response(first, "copy"); });
    }

    void a_late_response_without_an_id_reaches_no_other_caller()
    {
        assert_second_is_answered([](const std::string& /*first*/)
                                  { return http_text("200 OK", "copy"); });
    }

    // Callers take these statuses as a promise. Without the mark, the server
    // does not make it.
    void an_order_is_not_reported_as_not_run_without_the_mark()
    {
        for (const auto* const status : {"408 Slow", "429 Many", "503 Broken"})
        {
            edge = std::make_unique<edge_fixture>();
            edge->add_server(
                [status](const std::string& request)
                {
                    return scripted_response{
                        "HTTP/1.1 " + std::string(status) +
                            "\r\nParsleyplank-Request-Id: " +
                            header_of(request, "Parsleyplank-Request-Id") +
                            "\r\nContent-Length: 0\r\n\r\n",
                        false};
                });
            edge->publish();
            CPPUNIT_ASSERT_EQUAL(
                502,
                send(edge_fixture::request("POST", "/order/1", "a", "", "body"))
                    .status);
        }
    }

    void failures_of_a_server_pass_unchanged()
    {
        edge->add_server(
            [](const std::string&)
            {
                return scripted_response{
                    "HTTP/1.1 500 Broken\r\nParsleyplank-Request-Id: a\r\n"
                    "Parsleyplank-Response-Seal: s-1\r\n"
                    "Content-Length: 3\r\n\r\nbad",
                    false};
            });
        edge->publish();
        const auto response =
            send(edge_fixture::request("POST", "/order/1", "a", "", "body"));
        CPPUNIT_ASSERT_EQUAL(500, response.status);
        CPPUNIT_ASSERT(response.has_line("Parsleyplank-Response-Seal: s-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), response.body);
    }

    // Sends two requests on one connection: the bytes after the first body are
    // a request of their own, and the request text inside the body is not.
    void the_rest_of_a_body_never_reaches_another_request()
    {
        std::atomic<int> seen{0};
        edge->add_server(
            [&](const std::string& request)
            {
                ++seen;
                return scripted_response{echo_response(request, "ok"), false};
            });
        edge->publish();
        raw_connection caller(edge->config.callers.port);
        const auto hidden = edge_fixture::request("GET", "/read/1", "hidden");
        caller.send(edge_fixture::request("POST", "/order/1", "a", "", hidden) +
                    edge_fixture::request("GET", "/read/1", "b"));
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        CPPUNIT_ASSERT_EQUAL(2, seen.load());
    }

    void a_draining_instance_closes_after_its_response()
    {
        edge->add_server(
            [](const std::string& request) {
                return scripted_response{echo_response(request, "ok"), false};
            });
        edge->publish();
        raw_connection caller(edge->config.callers.port);
        caller.send(edge_fixture::request("GET", "/read/1", "a"));
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        auto draining = std::make_shared<edge::steering_snapshot>();
        draining->draining = true;
        edge->plane->publish(draining);
        caller.send(edge_fixture::request("GET", "/read/1", "b"));
        CPPUNIT_ASSERT(caller.receive().has_line("Connection: close"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_data_path);

} // namespace
