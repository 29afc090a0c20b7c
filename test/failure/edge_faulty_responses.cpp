// Faulty backend servers, as operators of similar systems have reported them: a
// refusal that is written a second time, and a header that ends early. Guards
// against callers being told that a request has not run that has, and against
// requests that run twice or look complete.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <map>
#include <mutex>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

std::string refusal_of(const std::string& id_line)
{
    return "HTTP/1.1 503 Full\r\n" + id_line +
           "Parsleyplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

class edge_faulty_responses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_faulty_responses);
    CPPUNIT_TEST(a_repeated_refusal_refuses_no_other_order);
    CPPUNIT_TEST(a_repeated_refusal_without_an_id_refuses_no_other_order);
    CPPUNIT_TEST(a_refusal_that_is_written_twice_at_once_refuses_no_other);
    CPPUNIT_TEST(an_order_is_not_complete_if_the_header_ends_early);
    CPPUNIT_TEST(a_read_is_sent_elsewhere_if_the_header_ends_early);
    CPPUNIT_TEST(a_response_with_an_impossible_status_is_not_passed_on);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int orders = 6;

    std::unique_ptr<edge_fixture> edge;
    std::mutex guard;
    // How often each request ran.
    std::map<std::string, int> runs;

    // Adds two servers that refuse their first request, and write `stray`
    // before the response to the second; `extra` follows the refusal at once.
    void add_servers(const std::function<std::string(std::string)>& stray,
                     const std::string& extra)
    {
        for (int n = 0; n < 2; ++n)
            edge->add_server(
                [this, stray, extra,
                 refused = std::string()](const std::string& request) mutable
                {
                    const auto id =
                        header_of(request, "Parsleyplank-Request-Id");
                    const auto own_line =
                        "Parsleyplank-Request-Id: " + id + "\r\n";
                    if (refused.empty())
                    {
                        refused = own_line;
                        return scripted_response{refusal_of(own_line) + extra,
                                                 false};
                    }
                    const std::lock_guard lock(guard);
                    ++runs[id];
                    return scripted_response{
                        stray(refused) + echo_response(request, "done " + id),
                        false};
                });
        edge->publish();
    }

    // Sends orders and checks that each answer is true: served ones ran once,
    // refused ones did not run, and none ran twice. Returns how many were
    // served.
    int check_orders()
    {
        int served = 0;
        raw_connection caller(edge->config.callers.port);
        for (int n = 0; n < orders; ++n)
        {
            const auto id = "order-" + std::to_string(n);
            caller.send(
                edge_fixture::request("POST", "/order/1", id, "", "body"));
            const auto response = caller.receive();
            const std::lock_guard lock(guard);
            CPPUNIT_ASSERT(runs[id] <= 1);
            if (response.status == 503)
                CPPUNIT_ASSERT_EQUAL(0, runs[id]);
            if (response.status != 200)
                continue;
            ++served;
            CPPUNIT_ASSERT_EQUAL(1, runs[id]);
            CPPUNIT_ASSERT_EQUAL("done " + id, response.body);
        }
        return served;
    }

    // Returns whether the response of a server that ends after this many bytes
    // of its header, and closes, is passed on as complete.
    static int status_after_cut(const std::string& request_line_method,
                                std::size_t length, std::size_t& cut_points,
                                bool second_server)
    {
        edge_fixture cut;
        cut.add_server(
            [&](const std::string& request)
            {
                const auto whole = echo_response(request, "ok");
                cut_points = whole.find("\r\n\r\n") + 4;
                return scripted_response{whole.substr(0, length), true};
            });
        if (second_server)
            cut.add_server(
                [](const std::string& request) {
                    return scripted_response{echo_response(request, "whole"),
                                             false};
                });
        cut.publish();
        const bool read = request_line_method == "GET";
        raw_connection caller(cut.config.callers.port);
        caller.send(edge_fixture::request(request_line_method,
                                          read ? "/read/1" : "/order/1", "a",
                                          "", read ? "" : "body"));
        const auto response = caller.receive();
        if (response.status == 200)
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
        return response.status;
    }

public:
    void setUp() override
    {
        edge = std::make_unique<edge_fixture>();
        runs.clear();
    }

    void tearDown() override
    {
        edge.reset();
    }

    void a_repeated_refusal_refuses_no_other_order()
    {
        add_servers(
            [](const std::string& refused) { return refusal_of(refused); }, "");
        check_orders();
    }

    void a_repeated_refusal_without_an_id_refuses_no_other_order()
    {
        add_servers([](const std::string&) { return refusal_of(""); }, "");
        CPPUNIT_ASSERT(check_orders() > 0);
    }

    void a_refusal_that_is_written_twice_at_once_refuses_no_other()
    {
        add_servers([](const std::string&) { return std::string(); },
                    refusal_of(""));
        CPPUNIT_ASSERT(check_orders() >= orders - 1);
    }

    void an_order_is_not_complete_if_the_header_ends_early()
    {
        std::size_t cut_points = 2;
        constexpr std::size_t step = 7;
        for (std::size_t n = 1; n < cut_points; n += step)
            CPPUNIT_ASSERT_EQUAL(
                502, status_after_cut("POST", n, cut_points, false));
        // The end of the header's last line, without the empty line.
        CPPUNIT_ASSERT_EQUAL(
            502, status_after_cut("POST", cut_points - 2, cut_points, false));
    }

    void a_read_is_sent_elsewhere_if_the_header_ends_early()
    {
        std::size_t cut_points = 2;
        constexpr std::size_t step = 17;
        for (std::size_t n = 1; n < cut_points; n += step)
            CPPUNIT_ASSERT_EQUAL(200,
                                 status_after_cut("GET", n, cut_points, true));
    }

    // Guards against a status that is none being passed on as the result of an
    // order that may have run.
    void a_response_with_an_impossible_status_is_not_passed_on()
    {
        for (const std::string status : {"000", "099", "600", "999"})
        {
            edge = std::make_unique<edge_fixture>();
            edge->add_server(
                [status](const std::string& request)
                {
                    auto response = echo_response(request, "part");
                    response.replace(response.find("200"), 3, status);
                    return scripted_response{response, false};
                });
            edge->publish();
            raw_connection caller(edge->config.callers.port);
            caller.send(
                edge_fixture::request("POST", "/order/1", "a", "", "x"));
            CPPUNIT_ASSERT_EQUAL(502, caller.receive().status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_faulty_responses);

} // namespace
