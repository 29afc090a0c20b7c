// A planned stop while requests have longer deadlines than the process has
// time: guards against requests that are passed on and get no answer before
// the process ends.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>
#include <support/gate.hpp>

#include <atomic>
#include <thread>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

// Never answers.
scripted_response silence(const std::string& /*request*/)
{
    return {};
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Callers give their requests 10 s.
class edge_stop_limits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_stop_limits);
    CPPUNIT_TEST(servers_are_told_to_stop_before_the_process_ends);
    CPPUNIT_TEST(a_request_that_is_sent_again_is_limited_too);
    CPPUNIT_TEST(a_deadline_before_the_end_is_passed_on_unchanged);
    CPPUNIT_TEST(a_read_at_a_silent_server_is_answered_before_the_end);
    CPPUNIT_TEST(an_order_at_a_silent_server_is_not_reported_as_not_run);
    CPPUNIT_TEST(a_request_from_before_the_stop_does_not_hold_ready_responses);
    CPPUNIT_TEST(a_request_in_the_last_moment_is_refused);
    CPPUNIT_TEST(a_stop_does_not_count_against_a_version);
    CPPUNIT_TEST(a_silent_server_does_not_count_against_its_version);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<edge_fixture> edge;
    // Deadlines that servers were told, in milliseconds.
    mailbox<int> told;

    // Answers, and records the deadline that the request states.
    scripted_response answer(const std::string& request)
    {
        told.put(std::stoi(header_of(request, "Parsleyplank-Deadline-Ms")));
        return {echo_response(request, "ok"), false};
    }

    void serve(const raw_server::responder& respond)
    {
        edge->add_server(respond);
        edge->publish();
    }

    // Begins the stop of a process that ends after this time.
    void stop_in(milliseconds left)
    {
        edge->stop_at = now() + left;
        edge->publish();
    }

    // Returns the failures of all versions.
    std::uint64_t count_failures()
    {
        mailbox<std::uint64_t> failures;
        edge->plane->collect(
            [&](const edge::traffic_report& report)
            {
                std::uint64_t sum = 0;
                for (const auto& [rollout, tally] : report.tallies)
                    sum += tally.target.bad + tally.others.bad;
                failures.put(sum);
            });
        return failures.take();
    }

    raw_response send(const std::string& method, const std::string& path) const
    {
        raw_connection caller(edge->config.callers.port);
        caller.send(edge_fixture::request(method, path, "a", "",
                                          method == "POST" ? "body" : ""));
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

    // Failure scenario: a server was told the 10 s of its caller and worked
    // past the end of the process.
    void servers_are_told_to_stop_before_the_process_ends()
    {
        serve([this](const std::string& it) { return answer(it); });
        stop_in(milliseconds(8'000));
        CPPUNIT_ASSERT_EQUAL(200, send("POST", "/order/1").status);
        CPPUNIT_ASSERT(told.take() < 8'000);
    }

    void a_request_that_is_sent_again_is_limited_too()
    {
        // The first one refuses, whichever it is.
        std::atomic<int> calls{0};
        const auto respond = [&](const std::string& request)
        {
            auto response = answer(request);
            if (calls++ == 0)
                response.bytes =
                    "HTTP/1.1 503 Busy\r\nParsleyplank-Request-Id: a\r\n"
                    "Parsleyplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return response;
        };
        edge->add_server(respond);
        serve(respond);
        stop_in(milliseconds(8'000));
        CPPUNIT_ASSERT_EQUAL(200, send("POST", "/order/1").status);
        CPPUNIT_ASSERT(told.take() < 8'000);
        CPPUNIT_ASSERT(told.take() < 8'000);
    }

    void a_deadline_before_the_end_is_passed_on_unchanged()
    {
        serve([this](const std::string& it) { return answer(it); });
        stop_in(milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(200, send("POST", "/order/1").status);
        const auto ms = told.take();
        CPPUNIT_ASSERT(ms > 9'000 && ms <= 10'000);
    }

    // Failure scenario: the caller got no answer when the process ended, while
    // the server was at work.
    void a_read_at_a_silent_server_is_answered_before_the_end()
    {
        serve(silence);
        stop_in(milliseconds(2'000));
        const auto response = send("GET", "/read/1");
        CPPUNIT_ASSERT(now() < *edge->stop_at);
        CPPUNIT_ASSERT_EQUAL(504, response.status);
        CPPUNIT_ASSERT(response.has_line("Connection: close"));
    }

    void an_order_at_a_silent_server_is_not_reported_as_not_run()
    {
        serve(silence);
        stop_in(milliseconds(4'000));
        CPPUNIT_ASSERT_EQUAL(504, send("POST", "/order/1").status);
        CPPUNIT_ASSERT(now() < *edge->stop_at);
    }

    // Failure scenario: a request that was passed on before the stop had no
    // answer at its end, and the response to the next one on the connection,
    // which was ready, was lost with it.
    void a_request_from_before_the_stop_does_not_hold_ready_responses()
    {
        mailbox<int> arrived;
        raw_server silent(
            [&](const std::string& request)
            {
                arrived.put(1);
                return silence(request);
            });
        edge->add_server_at("broken", silent.port());
        serve([this](const std::string& it) { return answer(it); });
        raw_connection caller(edge->config.callers.port);
        caller.send(
            edge_fixture::request("POST", "/broken/1", "a", "", "body") +
            edge_fixture::request("GET", "/read/1", "b"));
        arrived.take();
        told.take();
        stop_in(milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(504, caller.receive().status);
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(response.has_line("Parsleyplank-Request-Id: b"));
        CPPUNIT_ASSERT(now() < *edge->stop_at);
    }

    void a_request_in_the_last_moment_is_refused()
    {
        serve([this](const std::string& it) { return answer(it); });
        stop_in(milliseconds(100));
        const auto response = send("GET", "/read/1");
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(!header_of(response.head, "Retry-After").empty());
        CPPUNIT_ASSERT(told.empty());
    }

    // Guards against a good version that is rolled back because its servers
    // stopped at the deadline of an instance that was about to exit.
    void a_stop_does_not_count_against_a_version()
    {
        edge->versions[service_id("parts")] = {
            {}, version_id("v2"), share_ppm{0}, true};
        serve(
            [](const std::string& request)
            {
                const auto left =
                    header_of(request, "Parsleyplank-Deadline-Ms");
                std::this_thread::sleep_for(milliseconds(std::stoi(left)));
                return scripted_response{
                    http_text("504 Gateway Timeout", "late")};
            });
        stop_in(milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(504, send("GET", "/read/1").status);
        CPPUNIT_ASSERT(now() < *edge->stop_at);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), count_failures());
    }

    void a_silent_server_does_not_count_against_its_version()
    {
        edge->versions[service_id("parts")] = {
            {}, version_id("v2"), share_ppm{0}, true};
        serve(silence);
        stop_in(milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(504, send("GET", "/read/1").status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), count_failures());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_stop_limits);

} // namespace
