// What the traffic thread counts of requests that servers run, refuse or lose:
// guards against usage that differs from what the servers began.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <future>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

edge::usage_settings usage_settings()
{
    edge::usage_settings settings;
    settings.platform = {"127.0.0.1", 1};
    settings.duties = "usage_report";
    return settings;
}

class usage_sends : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_sends);
    CPPUNIT_TEST(a_request_that_runs_is_counted);
    CPPUNIT_TEST(a_refused_request_is_not_counted);
    CPPUNIT_TEST(a_read_that_is_lost_and_sent_again_is_counted_twice);
    CPPUNIT_TEST(a_deployment_without_the_duty_counts_nothing);
    CPPUNIT_TEST_SUITE_END();

    static int send(const edge_fixture& edge, const std::string& method,
                    const std::string& path)
    {
        raw_connection caller(edge.config.callers.port);
        caller.send(edge_fixture::request(method, path, "a"));
        return caller.receive().status;
    }

    // Returns what was counted of the only customer in all windows.
    static std::int64_t collect(edge_fixture& edge)
    {
        std::promise<edge::traffic_report> report;
        edge.plane->collect([&](const edge::traffic_report& it)
                            { report.set_value(it); });
        std::int64_t sum = 0;
        for (const auto& [window, customers] :
             report.get_future().get().usage_changes)
            for (const auto& [customer, count] : customers)
            {
                CPPUNIT_ASSERT_EQUAL(std::string("shop"), customer.value);
                sum += count;
            }
        return sum;
    }

public:
    void a_request_that_runs_is_counted()
    {
        edge_fixture edge(false, 256, usage_settings());
        edge.add_server(
            [](const std::string& request)
            { return scripted_response{echo_response(request, "done")}; });
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(200, send(edge, "POST", "/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), collect(edge));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), collect(edge));
    }

    void a_refused_request_is_not_counted()
    {
        edge_fixture edge(false, 256, usage_settings());
        edge.add_server(
            [](const std::string& request)
            {
                return scripted_response{
                    "HTTP/1.1 503 Service Unavailable\r\n"
                    "Parsleyplank-Not-Executed: 1\r\n"
                    "Parsleyplank-Request-Id: " +
                    header_of(request, "Parsleyplank-Request-Id") +
                    "\r\nContent-Length: 0\r\n\r\n"};
            });
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(503, send(edge, "POST", "/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), collect(edge));
    }

    // Both servers have begun to run it.
    void a_read_that_is_lost_and_sent_again_is_counted_twice()
    {
        edge_fixture edge(false, 256, usage_settings());
        std::atomic<int> calls = 0;
        const auto respond = [&](const std::string& request)
        {
            if (calls++ == 0)
                return scripted_response{"", true};
            return scripted_response{echo_response(request, "done")};
        };
        edge.add_server(respond);
        edge.add_server(respond);
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(200, send(edge, "GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(2, calls.load());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), collect(edge));
    }

    void a_deployment_without_the_duty_counts_nothing()
    {
        edge_fixture edge;
        edge.add_server(
            [](const std::string& request)
            { return scripted_response{echo_response(request, "done")}; });
        edge.publish();
        CPPUNIT_ASSERT_EQUAL(200, send(edge, "POST", "/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), collect(edge));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_sends);

} // namespace
