// Guards what callers get for HEAD and behind it: a body after such a response
// would be read where the next response is due.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_head_responses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_head_responses);
    CPPUNIT_TEST(a_refusal_of_head_has_no_body);
    CPPUNIT_TEST(a_refusal_without_a_configuration_has_no_body);
    CPPUNIT_TEST(a_lost_call_of_head_has_no_body);
    CPPUNIT_TEST(a_head_request_that_is_too_large_gets_no_body);
    CPPUNIT_TEST(readiness_and_directory_answer_head_without_a_body);
    CPPUNIT_TEST(the_length_that_the_server_gives_is_passed_on);
    CPPUNIT_TEST(a_body_that_a_server_sends_after_head_reaches_no_caller);
    CPPUNIT_TEST(responses_that_never_have_a_body_have_none);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<edge_fixture> edge;

    void add_sound_server()
    {
        edge->add_server(
            [](const std::string& it)
            { return scripted_response{echo_response(it, "ok")}; });
    }

    // Sends a HEAD and a GET request on one connection, the latter when the
    // former is answered, and returns the first response.
    static raw_response assert_next_is_readable(std::uint16_t port,
                                                const std::string& head,
                                                const std::string& get,
                                                int expected)
    {
        raw_connection caller(port);
        caller.send(head);
        auto first = caller.receive(false);
        caller.send(get);
        CPPUNIT_ASSERT_EQUAL(expected, caller.receive().status);
        return first;
    }

    raw_response assert_next_is_readable(const std::string& path,
                                         const std::string& key = "key-1") const
    {
        return assert_next_is_readable(
            edge->config.callers.port,
            edge_fixture::request("HEAD", path, "a", "", "", key),
            edge_fixture::request("GET", "/read/1", "b"), 200);
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

    // Failure scenario of the second review: the 401 after the withdrawal of a
    // key had a body.
    void a_refusal_of_head_has_no_body()
    {
        add_sound_server();
        edge->publish();
        const auto refused = assert_next_is_readable("/read/1", "unknown");
        CPPUNIT_ASSERT_EQUAL(401, refused.status);
        // The length is that of the body after GET.
        CPPUNIT_ASSERT(refused.has_line("Content-Length: 11"));
        CPPUNIT_ASSERT_EQUAL(404, assert_next_is_readable("/none/1").status);
    }

    void a_refusal_without_a_configuration_has_no_body()
    {
        CPPUNIT_ASSERT_EQUAL(
            503, assert_next_is_readable(
                     edge->config.callers.port,
                     edge_fixture::request("HEAD", "/read/1", "a"),
                     edge_fixture::request("GET", "/read/1", "b"), 503)
                     .status);
    }

    void a_lost_call_of_head_has_no_body()
    {
        edge->add_server(
            [](const std::string& it)
            {
                return it.starts_with("HEAD")
                           ? scripted_response{"", true}
                           : scripted_response{echo_response(it, "ok")};
            });
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(502, assert_next_is_readable("/order/1").status);
    }

    void a_head_request_that_is_too_large_gets_no_body()
    {
        edge->publish();
        raw_connection caller(edge->config.callers.port);
        caller.send(edge_fixture::request(
            "HEAD", "/read/1", "a",
            "X-Long: " + std::string(100'000, 'x') + "\r\n"));
        const auto text = caller.receive_to_end();
        CPPUNIT_ASSERT(text.starts_with("HTTP/1.1 431"));
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\n"));
    }

    void readiness_and_directory_answer_head_without_a_body()
    {
        add_sound_server();
        edge->publish();
        const auto text = [](const std::string& method, const std::string& path)
        {
            return method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        };
        for (const std::string path : {"/readyz", "/none"})
            assert_next_is_readable(edge->config.readiness.port,
                                    text("HEAD", path), text("GET", path),
                                    path == "/none" ? 404 : 200);
        assert_next_is_readable(edge->config.directory.port,
                                text("HEAD", "/resolve"),
                                text("GET", "/resolve"), 200);
    }

    void the_length_that_the_server_gives_is_passed_on()
    {
        edge->add_server(
            [](const std::string& it)
            {
                auto response = echo_response(it, "0123456789");
                if (it.starts_with("HEAD"))
                    response.resize(response.find("\r\n\r\n") + 4);
                return scripted_response{response};
            });
        edge->publish();
        const auto response = assert_next_is_readable("/read/1");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(response.has_line("Content-Length: 10"));
    }

    void a_body_that_a_server_sends_after_head_reaches_no_caller()
    {
        add_sound_server();
        edge->publish();
        for (int n = 0; n < 4; ++n)
            CPPUNIT_ASSERT_EQUAL(200,
                                 assert_next_is_readable("/read/1").status);
    }

    void responses_that_never_have_a_body_have_none()
    {
        for (const std::string status : {"204 No Content", "304 Not Modified"})
        {
            edge = std::make_unique<edge_fixture>();
            edge->add_server(
                [status](const std::string& it)
                {
                    auto response = echo_response(it, "ok");
                    if (header_of(it, "Parsleyplank-Request-Id") == "a")
                        response.replace(response.find("200 OK"), 6, status);
                    return scripted_response{response};
                });
            edge->publish();
            raw_connection caller(edge->config.callers.port);
            caller.send(edge_fixture::request("GET", "/read/1", "a"));
            const auto first = caller.receive(false);
            CPPUNIT_ASSERT_EQUAL(std::stoi(status), first.status);
            CPPUNIT_ASSERT(header_of(first.head, "Content-Length").empty());
            caller.send(edge_fixture::request("GET", "/read/1", "b"));
            CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_head_responses);

} // namespace
