// Guards the callers of load runs: a request that may have run is repeated only
// with the same idempotency key, a refusal of one instance leads to the next
// one, and a silent instance delays no other request.

#include "support/raw_server.hpp"
#include <parsleyplank/load/run.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <mutex>
#include <set>
#include <string>

using namespace parsleyplank;
using load::next_step;

namespace
{

load::scenario one_route(load::execution kind)
{
    load::scenario s;
    s.name = "one-route";
    s.duration_s = 0.2;
    s.regions = {{"oslo", "10.0.0.1"}};
    s.customers = {{"a", "key-a", 100, 0, 0, {{0, {1}}}}};
    const bool read = kind == load::execution::idempotent;
    load::route_load route{"r", read ? "GET" : "POST", "/r"};
    route.kind = kind;
    s.routes = {route};
    return s;
}

std::string response(const std::string& outcome, const std::string& reason)
{
    return "HTTP/1.1 " + std::string(outcome == "result" ? "200" : "503") +
           " x\r\nX-Parsleyplank-Outcome: " + outcome +
           "\r\nX-Parsleyplank-Reason: " + reason +
           "\r\nContent-Length: 0\r\n\r\n";
}

std::string lookup_body(std::uint16_t first, std::uint16_t second)
{
    const auto instance = [](std::uint16_t port, int weight)
    {
        return R"({"id":"i","address":"127.0.0.1","port":)" +
               std::to_string(port) + R"(,"region":"oslo","weight":)" +
               std::to_string(weight) + "}";
    };
    return R"({"region":"oslo","epoch":1,"ttl_ms":60000,"instances":[)" +
           instance(first, 1) + "," + instance(second, 0) + "]}";
}

load::tally run_to(const load::scenario& s, std::uint16_t entry)
{
    load::run_settings settings;
    settings.entries = {{"127.0.0.1", entry}};
    settings.run_id = "test";
    settings.grace = load::milliseconds(5'000);
    return load::run_scenario(s, settings).counts.at(0).at(0);
}

next_step decide_for(load::execution kind, run_outcome outcome,
                     const std::string& reason, bool may_have_run = false,
                     std::size_t untried = 1)
{
    load::attempt_result result;
    result.answered = true;
    result.outcome = outcome;
    result.reason = reason;
    return load::decide({kind, may_have_run, untried, 1}, result);
}

class load_caller : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_caller);
    CPPUNIT_TEST(steps_follow_outcome);
    CPPUNIT_TEST(unknown_outcome_is_not_sent_again);
    CPPUNIT_TEST(silent_instance_delays_no_later_request);
    CPPUNIT_TEST(refusals_of_instance_lead_to_next);
    CPPUNIT_TEST_SUITE_END();

public:
    void steps_follow_outcome()
    {
        using load::execution;
        const auto once = execution::once;
        const auto keyed = execution::at_most_once;
        const auto not_run = run_outcome::not_run;
        CPPUNIT_ASSERT(decide_for(once, run_outcome::result, "") ==
                       next_step::finish);
        CPPUNIT_ASSERT(decide_for(once, not_run, "draining") ==
                       next_step::next_instance);
        CPPUNIT_ASSERT(decide_for(once, not_run, "stale_state", false, 0) ==
                       next_step::finish);
        CPPUNIT_ASSERT(decide_for(once, not_run, "customer_rate") ==
                       next_step::finish);
        CPPUNIT_ASSERT(decide_for(once, run_outcome::unknown, "deadline") ==
                       next_step::give_up);
        CPPUNIT_ASSERT(decide_for(keyed, run_outcome::unknown, "deadline") ==
                       next_step::repeat);
        // The refusal of a repeat says nothing about the first attempt.
        CPPUNIT_ASSERT(decide_for(keyed, not_run, "customer_rate", true) ==
                       next_step::repeat);
    }

    // Each connection closes after the request was read.
    void unknown_outcome_is_not_sent_again()
    {
        std::mutex mutex;
        std::map<std::string, int> paths;
        std::uint16_t port = 0;
        test::raw_server server(
            [&](const std::string& request) -> test::scripted_response
            {
                const std::lock_guard lock(mutex);
                if (request.starts_with("GET /v1/lookup"))
                    return {test::http_text("200 OK", lookup_body(port, port))};
                ++paths[request.substr(0, request.find(' '))];
                return {"", true};
            });
        {
            const std::lock_guard lock(mutex);
            port = server.port();
        }
        const auto t = run_to(one_route(load::execution::once), server.port());
        const std::lock_guard lock(mutex);
        CPPUNIT_ASSERT(t.sent > 0);
        CPPUNIT_ASSERT_EQUAL(t.sent, t.unknown);
        CPPUNIT_ASSERT_EQUAL(t.sent, t.cut_off_attempts);
        CPPUNIT_ASSERT_EQUAL(t.sent, static_cast<std::uint64_t>(paths["POST"]));
    }

    // A caller that waits for each response would send one request only.
    void silent_instance_delays_no_later_request()
    {
        std::mutex mutex;
        std::uint64_t posts = 0;
        std::uint16_t port = 0;
        test::raw_server server(
            [&](const std::string& request) -> test::scripted_response
            {
                const std::lock_guard lock(mutex);
                if (request.starts_with("GET /v1/lookup"))
                    return {test::http_text("200 OK", lookup_body(port, port))};
                ++posts;
                return {""};
            });
        {
            const std::lock_guard lock(mutex);
            port = server.port();
        }
        auto s = one_route(load::execution::once);
        s.routes[0].timeout = load::milliseconds(1'000);
        const auto t = run_to(s, server.port());
        const std::lock_guard lock(mutex);
        const auto planned = load::make_schedule(s).size();
        CPPUNIT_ASSERT(planned > 5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{planned}, t.sent);
        CPPUNIT_ASSERT_EQUAL(t.sent, t.unknown);
        CPPUNIT_ASSERT_EQUAL(t.sent, posts);
    }

    void refusals_of_instance_lead_to_next()
    {
        std::mutex mutex;
        std::uint16_t draining_port = 0;
        test::raw_server good([](const std::string&) -> test::scripted_response
                              { return {response("result", "")}; });
        test::raw_server draining(
            [&](const std::string& request) -> test::scripted_response
            {
                const std::lock_guard lock(mutex);
                if (request.starts_with("GET /v1/lookup"))
                    return {test::http_text(
                        "200 OK", lookup_body(draining_port, good.port()))};
                return {response("not-run", "draining")};
            });
        {
            const std::lock_guard lock(mutex);
            draining_port = draining.port();
        }
        const auto s = one_route(load::execution::once);
        auto t = run_to(s, draining.port());
        CPPUNIT_ASSERT(t.sent > 0);
        CPPUNIT_ASSERT_EQUAL(t.sent, t.results);
        CPPUNIT_ASSERT_EQUAL(t.sent, t.further_attempts);
        {
            // Port 1 refuses connections.
            const std::lock_guard lock(mutex);
            draining_port = 1;
        }
        t = run_to(s, draining.port());
        CPPUNIT_ASSERT_EQUAL(t.sent, t.results);
        CPPUNIT_ASSERT_EQUAL(t.sent, t.further_attempts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, t.cut_off_attempts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_caller);

} // namespace
