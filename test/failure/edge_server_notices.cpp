// Backend servers that say in their responses that they are leaving, or that
// they want nothing for a time: guards against sending to them all the same.

#include <parsleyplank/edge/server_limits.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <atomic>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_server_notices : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_server_notices);
    CPPUNIT_TEST(a_leaving_server_gets_no_further_requests);
    CPPUNIT_TEST(a_failing_server_may_say_that_it_is_leaving);
    CPPUNIT_TEST(another_value_does_not_mean_leaving);
    CPPUNIT_TEST(a_server_that_starts_again_is_used_again);
    CPPUNIT_TEST(a_late_response_of_the_earlier_process_means_nothing);
    CPPUNIT_TEST(a_leaving_server_that_registers_again_is_not_used);
    CPPUNIT_TEST(a_server_that_asks_for_a_pause_is_left_alone);
    CPPUNIT_TEST(a_pause_ends);
    CPPUNIT_TEST(callers_are_told_when_the_pause_ends);
    CPPUNIT_TEST(a_refusal_without_a_time_asks_for_no_pause);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<edge_fixture> edge;
    std::atomic<int> seen{0};

    // Adds a server whose first response has this status and these header
    // lines, and the further ones too if it `repeats` them.
    void add_server(const std::string& status, const std::string& lines,
                    bool repeats)
    {
        edge->add_server(
            [this, status, lines, repeats](const std::string& request)
            {
                auto response = echo_response(request, "ok");
                if (seen++ == 0 || repeats)
                {
                    response.insert(response.find("\r\n") + 2, lines);
                    response.replace(response.find("200 OK"), 6, status);
                }
                return scripted_response{response, false};
            });
    }

    raw_response read()
    {
        raw_connection caller(edge->config.callers.port);
        caller.send(edge_fixture::request("GET", "/read/1", "a"));
        return caller.receive();
    }

    static const std::string refusal;

public:
    void setUp() override
    {
        edge = std::make_unique<edge_fixture>();
        seen = 0;
    }

    void tearDown() override
    {
        edge.reset();
    }

    // Failure scenario: a server that had said it was leaving got requests
    // until it was gone, which were cut off.
    void a_leaving_server_gets_no_further_requests()
    {
        add_server("200 OK", "Server-Leaving: 1\r\n", true);
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(200, read().status);
        for (int n = 0; n < 5; ++n)
            CPPUNIT_ASSERT_EQUAL(503, read().status);
        CPPUNIT_ASSERT_EQUAL(1, seen.load());
    }

    void a_failing_server_may_say_that_it_is_leaving()
    {
        add_server("500 Failed", "Server-Leaving: 1\r\n", true);
        edge->publish();
        read();
        CPPUNIT_ASSERT_EQUAL(503, read().status);
        CPPUNIT_ASSERT_EQUAL(1, seen.load());
    }

    void another_value_does_not_mean_leaving()
    {
        add_server("200 OK", "Server-Leaving: 0\r\n", true);
        edge->publish();
        for (int n = 0; n < 3; ++n)
            CPPUNIT_ASSERT_EQUAL(200, read().status);
    }

    void a_server_that_starts_again_is_used_again()
    {
        add_server("200 OK", "Server-Leaving: 1\r\n", false);
        edge->publish();
        read();
        auto& known = edge->described.at(service_id("parts")).front();
        auto next = *known;
        next.started_ms = 1;
        known = std::make_shared<const steering::backend_server>(next);
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(200, read().status);
    }

    // Failure scenario: the last response of a leaving process arrives when its
    // successor has been heard already.
    void a_late_response_of_the_earlier_process_means_nothing()
    {
        const time_point now{std::chrono::hours(1)};
        edge::traffic_state state;
        steering::backend_server server;
        server.id = backend_server_id("server");
        server.started_ms = 2;
        steering::server_notice limit;
        limit.limit = token_rate(1);
        edge::take_notice(state, server, limit, now, now);
        server.started_ms = 1;
        steering::server_notice leaving;
        leaving.leaving = true;
        CPPUNIT_ASSERT(
            edge::take_notice(state, server, leaving, now, now).empty());
        CPPUNIT_ASSERT(!state.notices.at(server.id).leaving);
        CPPUNIT_ASSERT(state.notices.at(server.id).limit.in_force);
    }

    // Failure scenario: the registration of a leaving server expires during an
    // outage of the store and comes back after it.
    void a_leaving_server_that_registers_again_is_not_used()
    {
        add_server("200 OK", "Server-Leaving: 1\r\n", true);
        edge->publish();
        read();
        const auto registered = std::exchange(edge->described, {});
        edge->publish();
        edge->described = registered;
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(503, read().status);
        CPPUNIT_ASSERT_EQUAL(1, seen.load());
    }

    // Failure scenario: a server that was overloaded turned requests away with
    // a time, and got as many as before.
    void a_server_that_asks_for_a_pause_is_left_alone()
    {
        add_server("503 Full", refusal + "Retry-After: 30\r\n", true);
        edge->publish();
        for (int n = 0; n < 5; ++n)
            CPPUNIT_ASSERT_EQUAL(503, read().status);
        CPPUNIT_ASSERT_EQUAL(1, seen.load());
    }

    void a_pause_ends()
    {
        add_server("503 Full", refusal + "Retry-After: 0.3\r\n", false);
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(503, read().status);
        CPPUNIT_ASSERT_EQUAL(503, read().status);
        std::this_thread::sleep_for(milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(200, read().status);
    }

    // Guards against callers that come back before any server takes them.
    void callers_are_told_when_the_pause_ends()
    {
        add_server("503 Full", refusal + "Retry-After: 3\r\n", true);
        edge->publish();
        read();
        const auto refused = read();
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        const auto retry_after =
            std::stod(header_of(refused.head, "Retry-After"));
        CPPUNIT_ASSERT(retry_after >= 2.5 && retry_after < 4);
    }

    void a_refusal_without_a_time_asks_for_no_pause()
    {
        add_server("503 Full", refusal, false);
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(503, read().status);
        CPPUNIT_ASSERT_EQUAL(200, read().status);
    }
};

const std::string edge_server_notices::refusal =
    "Parsleyplank-Not-Executed: 1\r\n";

CPPUNIT_TEST_SUITE_REGISTRATION(edge_server_notices);

} // namespace
