// Guards what the entry instance may conclude from a call to a backend server:
// no request that must run once runs twice, "not sent" is true, and only a
// whole response to the very request counts as one.

#include "support/backend_calls.hpp"
#include "support/raw_connection.hpp"
#include "support/raw_server.hpp"
#include <parsleyplank/dataplane/backend_client.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace parsleyplank;
using namespace parsleyplank::dataplane;
using test::make_call;
using test::make_order;
using test::run_call;

namespace
{

class dataplane_backend_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dataplane_backend_faults);
    CPPUNIT_TEST(whole_exchange_succeeds);
    CPPUNIT_TEST(a_call_over_a_new_connection_says_so);
    CPPUNIT_TEST(order_never_runs_twice_when_server_closes);
    CPPUNIT_TEST(libcurl_resends_post_on_reused_connection);
    CPPUNIT_TEST(refused_connection_is_not_sent);
    CPPUNIT_TEST(passed_deadline_is_not_sent);
    CPPUNIT_TEST(damaged_responses_are_lost);
    CPPUNIT_TEST(a_response_with_an_unknown_status_is_lost);
    CPPUNIT_TEST(late_response_reaches_no_other_request);
    CPPUNIT_TEST(cancelled_request_frees_the_server);
    CPPUNIT_TEST(silent_connection_is_hedged_once);
    CPPUNIT_TEST(order_is_never_hedged);
    CPPUNIT_TEST(failed_hedge_and_attempt_are_lost);
    CPPUNIT_TEST(connections_stay_within_bound);
    CPPUNIT_TEST(waiting_call_that_expires_is_not_sent);
    CPPUNIT_TEST(oversized_response_is_lost);
    CPPUNIT_TEST(control_characters_are_not_sent);
    CPPUNIT_TEST(destroyed_client_cancels_calls);
    CPPUNIT_TEST(shed_is_a_response);
    CPPUNIT_TEST_SUITE_END();

    test::backend_server server{{}};
    client_options options;

    static void assert_outcome(call_outcome expected, const call_result& result)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.detail,
                                     std::string(to_string(expected)),
                                     std::string(to_string(result.outcome)));
    }

public:
    void whole_exchange_succeeds()
    {
        backend_client client(options);
        const auto result = run_call(client, make_order(server.port()));
        assert_outcome(call_outcome::response, result);
        CPPUNIT_ASSERT_EQUAL(200, result.status);
        CPPUNIT_ASSERT(result.body.find("\"request_id\":\"r-1\"") !=
                       std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("application/json"),
                             *find_header(result.headers, "content-type"));
        CPPUNIT_ASSERT_EQUAL(1, server.executions("order-1"));
    }

    // Pattern: a good version with 2% of the requests was rolled back as slow,
    // because nearly all of its requests came over new connections.
    void a_call_over_a_new_connection_says_so()
    {
        backend_client client(options);
        CPPUNIT_ASSERT(
            run_call(client, make_call(server.port())).new_connection);
        CPPUNIT_ASSERT(
            !run_call(client, make_call(server.port())).new_connection);
    }

    void order_never_runs_twice_when_server_closes()
    {
        backend_client client(options);
        // Leaves an idle connection that libcurl could reuse.
        run_call(client, make_call(server.port()));
        server.set({{"fault", "close_after_read"}, {"fault_count", "1"}});
        const auto result = run_call(client, make_order(server.port()));
        assert_outcome(call_outcome::lost, result);
        CPPUNIT_ASSERT(result.maybe_sent);
        CPPUNIT_ASSERT_EQUAL(1, server.executions("order-1"));
    }

    // Shows why fresh_connection exists; if libcurl changes, this test tells.
    void libcurl_resends_post_on_reused_connection()
    {
        backend_client client(options);
        run_call(client, make_call(server.port()));
        server.set({{"fault", "close_after_read"}, {"fault_count", "1"}});
        auto call = make_order(server.port());
        call.fresh_connection = false;
        assert_outcome(call_outcome::response, run_call(client, call));
        CPPUNIT_ASSERT_EQUAL(2, server.executions("order-1"));
    }

    void refused_connection_is_not_sent()
    {
        std::uint16_t closed_port = 0;
        {
            const test::backend_server gone{{}};
            closed_port = gone.port();
        }
        backend_client client(options);
        const auto result = run_call(client, make_order(closed_port));
        assert_outcome(call_outcome::not_sent, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
    }

    void passed_deadline_is_not_sent()
    {
        backend_client client(options);
        auto call = make_order(server.port());
        call.deadline = std::chrono::steady_clock::now();
        const auto result = run_call(client, call);
        assert_outcome(call_outcome::deadline, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
        CPPUNIT_ASSERT_EQUAL(0, server.total_executions());
    }

    void damaged_responses_are_lost()
    {
        backend_client client(options);
        for (const auto* fault : {"truncated", "unframed", "crossed"})
        {
            server.set({{"fault", fault}});
            for (const auto& call :
                 {make_call(server.port()), make_order(server.port())})
            {
                const auto result = run_call(client, call);
                assert_outcome(call_outcome::lost, result);
                CPPUNIT_ASSERT(result.maybe_sent);
                CPPUNIT_ASSERT(result.body.empty());
            }
        }
    }

    void a_response_with_an_unknown_status_is_lost()
    {
        for (const std::string status : {"000", "099", "600", "999"})
        {
            const test::raw_server odd(
                [status](const std::string& /*request*/)
                {
                    return test::scripted_response{
                        test::http_text(status + " Odd", "body"), false};
                });
            backend_client client(options);
            const auto result = run_call(client, make_order(odd.port()));
            assert_outcome(call_outcome::lost, result);
            CPPUNIT_ASSERT(result.maybe_sent);
        }
    }

    void late_response_reaches_no_other_request()
    {
        options.connections_per_upstream = 1;
        backend_client client(options);
        server.set({{"fault", "late"}, {"fault_count", "1"}});
        auto late = make_call(server.port(), "r-late");
        late.deadline = std::chrono::steady_clock::now() + milliseconds(100);
        const auto first = run_call(client, late);
        assert_outcome(call_outcome::deadline, first);
        CPPUNIT_ASSERT(first.maybe_sent);
        server.set({{"release", "1"}});
        const auto second = run_call(client, make_call(server.port(), "r-2"));
        assert_outcome(call_outcome::response, second);
        CPPUNIT_ASSERT(second.body.find("\"r-2\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(2, server.connections());
    }

    void cancelled_request_frees_the_server()
    {
        backend_client client(options);
        server.set({{"latency_ms", "20000"}});
        test::mailbox<call_result> results;
        const auto number =
            client.send(make_order(server.port()), [&](call_result result)
                        { results.put(std::move(result)); });
        CPPUNIT_ASSERT(server.wait_for_requests(1));
        client.cancel(number);
        const auto result = results.take();
        assert_outcome(call_outcome::cancelled, result);
        CPPUNIT_ASSERT(result.maybe_sent);
        CPPUNIT_ASSERT(
            test::eventually([&] { return server.cancelled() == 1; }));
        client.cancel(number);
        CPPUNIT_ASSERT(results.empty());
    }

    void silent_connection_is_hedged_once()
    {
        backend_client client(options);
        run_call(client, make_call(server.port()));
        server.silence_open_connections();
        auto call = make_call(server.port(), "r-hedged");
        call.hedge_after = milliseconds(20);
        const auto result = run_call(client, call);
        assert_outcome(call_outcome::response, result);
        CPPUNIT_ASSERT(result.hedged);
        CPPUNIT_ASSERT_EQUAL(1, server.executions("r-hedged"));
        CPPUNIT_ASSERT_EQUAL(2, server.connections());
    }

    void order_is_never_hedged()
    {
        backend_client client(options);
        server.set({{"fault", "late"}});
        auto call = make_order(server.port());
        call.hedge_after = milliseconds(1);
        auto other = make_call(server.port(), "r-put");
        other.method = "PUT";
        other.hedge_after = milliseconds(1);
        test::mailbox<call_result> results;
        const auto keep = [&](call_result result)
        {
            results.put(std::move(result));
        };
        client.send(call, keep);
        client.send(other, keep);
        CPPUNIT_ASSERT(server.wait_for_requests(2));
        // Far more than the time of the hedge.
        auto later = make_call(server.port());
        later.deadline = std::chrono::steady_clock::now() + milliseconds(100);
        run_call(client, later);
        server.set({{"release", "1"}});
        CPPUNIT_ASSERT(!results.take().hedged);
        CPPUNIT_ASSERT(!results.take().hedged);
        CPPUNIT_ASSERT_EQUAL(1, server.executions("order-1"));
        CPPUNIT_ASSERT_EQUAL(1, server.executions("r-put"));
    }

    void failed_hedge_and_attempt_are_lost()
    {
        backend_client client(options);
        server.set({{"fault", "silent"}});
        auto call = make_call(server.port());
        call.hedge_after = milliseconds(5);
        call.deadline = std::chrono::steady_clock::now() + milliseconds(200);
        const auto result = run_call(client, call);
        assert_outcome(call_outcome::deadline, result);
        CPPUNIT_ASSERT(result.maybe_sent);
        CPPUNIT_ASSERT(result.hedged);
        CPPUNIT_ASSERT(server.wait_for_requests(2));
    }

    void connections_stay_within_bound()
    {
        options.connections_per_upstream = 3;
        backend_client client(options);
        server.set({{"fault", "late"}});
        test::mailbox<call_result> results;
        constexpr int calls = 20;
        for (int n = 0; n < calls; ++n)
        {
            auto call = make_call(server.port(), "r-" + std::to_string(n));
            call.fresh_connection = n % 2 == 0;
            client.send(call, [&](call_result result)
                        { results.put(std::move(result)); });
        }
        CPPUNIT_ASSERT(server.wait_for_requests(3));
        // Gives a fourth connection time to appear.
        auto last = make_call(server.port(), "r-last");
        last.deadline = std::chrono::steady_clock::now() + milliseconds(50);
        assert_outcome(call_outcome::deadline, run_call(client, last));
        CPPUNIT_ASSERT_EQUAL(3, server.connections());
        server.set({{"release", "1"}});
        for (int n = 0; n < calls; ++n)
            assert_outcome(call_outcome::response, results.take());
    }

    void waiting_call_that_expires_is_not_sent()
    {
        options.connections_per_upstream = 1;
        backend_client client(options);
        server.set({{"fault", "late"}, {"fault_count", "1"}});
        test::mailbox<call_result> results;
        client.send(make_order(server.port()), [&](call_result result)
                    { results.put(std::move(result)); });
        CPPUNIT_ASSERT(server.wait_for_requests(1));
        auto waiting = make_order(server.port(), "r-2");
        waiting.deadline = std::chrono::steady_clock::now() + milliseconds(50);
        const auto result = run_call(client, waiting);
        assert_outcome(call_outcome::deadline, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
        server.set({{"release", "1"}});
        assert_outcome(call_outcome::response, results.take());
        CPPUNIT_ASSERT_EQUAL(1, server.total_executions());
    }

    void oversized_response_is_lost()
    {
        options.max_response_bytes = 10;
        backend_client client(options);
        const auto result = run_call(client, make_call(server.port()));
        assert_outcome(call_outcome::lost, result);
        CPPUNIT_ASSERT_EQUAL(std::string("response too large"), result.detail);
    }

    void control_characters_are_not_sent()
    {
        backend_client client(options);
        auto call = make_call(server.port());
        call.headers = {{"accept", "a\r\nX-Api-Key: stolen"}};
        const auto result = run_call(client, call);
        assert_outcome(call_outcome::not_sent, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
        CPPUNIT_ASSERT_EQUAL(0, server.total_executions());
    }

    void destroyed_client_cancels_calls()
    {
        server.set({{"fault", "silent"}});
        test::mailbox<call_result> results;
        {
            backend_client client(options);
            client.send(make_order(server.port()), [&](call_result result)
                        { results.put(std::move(result)); });
            CPPUNIT_ASSERT(server.wait_for_requests(1));
        }
        assert_outcome(call_outcome::cancelled, results.take());
    }

    void shed_is_a_response()
    {
        backend_client client(options);
        server.set({{"shed", "1"}});
        const auto result = run_call(client, make_order(server.port()));
        assert_outcome(call_outcome::response, result);
        CPPUNIT_ASSERT_EQUAL(503, result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("true"),
                             *find_header(result.headers, "x-not-run"));
        CPPUNIT_ASSERT_EQUAL(0, server.total_executions());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dataplane_backend_faults);

} // namespace
