// Backend servers that send bytes in the form of a response that are none: no
// id of the request, or a success without the seal. Guards against callers that
// take them for the response, and against instances that believe what they say.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>
#include <support/gate.hpp>

#include <atomic>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

// How the end of a message is marked.
enum class framing
{
    length,
    chunks,
    close
};

struct spoiled_message
{
    std::string status = "200 OK";
    framing end = framing::length;
    bool has_id = false;
    // Further header lines.
    std::string lines;
};

scripted_response to_response(const spoiled_message& message,
                              const std::string& request)
{
    const auto id = "Parsleyplank-Request-Id: " +
                    header_of(request, "Parsleyplank-Request-Id") + "\r\n";
    auto text = "HTTP/1.1 " + message.status + "\r\n" +
                (message.has_id ? id : "") + message.lines;
    const bool has_body =
        !request.starts_with("HEAD") && !message.status.starts_with("204");
    switch (message.end)
    {
    case framing::length:
        text += std::string("Content-Length: ") + (has_body ? "7" : "0") +
                "\r\n\r\n" + (has_body ? "garbage" : "");
        break;
    case framing::chunks:
        text += std::string("Transfer-Encoding: chunked\r\n\r\n") +
                (has_body ? "7\r\ngarbage\r\n0\r\n\r\n" : "");
        break;
    case framing::close:
        text += std::string("Connection: close\r\n\r\n") +
                (has_body ? "garbage" : "");
        break;
    }
    return {text, message.end == framing::close};
}

std::string refusal_without_id(const std::string& status)
{
    return "HTTP/1.1 " + status +
           "\r\nParsleyplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

class edge_spoiled_responses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_spoiled_responses);
    CPPUNIT_TEST(an_order_without_id_and_seal_is_no_success);
    CPPUNIT_TEST(a_success_without_a_seal_reaches_no_caller);
    CPPUNIT_TEST(a_rejection_without_an_id_reaches_no_caller);
    CPPUNIT_TEST(informational_responses_need_no_seal);
    CPPUNIT_TEST(a_read_is_served_by_another_server);
    CPPUNIT_TEST(a_read_on_a_kept_connection_does_not_wait_for_its_deadline);
    CPPUNIT_TEST(an_order_on_a_kept_connection_is_neither_run_twice_nor_held);
    CPPUNIT_TEST(an_endless_body_without_a_seal_is_not_read);
    CPPUNIT_TEST(a_server_that_spoils_its_responses_is_ejected);
    CPPUNIT_TEST(a_spoiled_response_counts_against_its_version);
    CPPUNIT_TEST(what_a_spoiled_response_says_of_its_server_is_ignored);
    CPPUNIT_TEST(a_response_behind_an_earlier_one_is_delivered);
    CPPUNIT_TEST(a_read_is_sent_elsewhere_after_a_refusal_without_an_id);
    CPPUNIT_TEST(a_refusal_without_an_id_leaves_the_outcome_open);
    CPPUNIT_TEST(a_pause_asked_for_without_an_id_is_kept);
    CPPUNIT_TEST(servers_of_a_platform_without_seals_are_served);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<edge_fixture> edge;
    // Requests that servers received.
    std::atomic<int> seen{0};

    void start()
    {
        edge = std::make_unique<edge_fixture>();
        seen = 0;
    }

    // Adds a server that answers with the message after this many sound
    // responses.
    void add_server(const spoiled_message& message, int sound_before = 0)
    {
        edge->add_server(
            [this, message, sound_before, n = 0](const std::string& it) mutable
            {
                ++seen;
                return n++ < sound_before
                           ? scripted_response{echo_response(it, "sound")}
                           : to_response(message, it);
            });
    }

    void add_sound_server()
    {
        edge->add_server(
            [this](const std::string& it)
            {
                ++seen;
                return scripted_response{echo_response(it, "sound")};
            });
    }

    raw_response send(const std::string& method, const std::string& path,
                      const std::string& id = "a")
    {
        raw_connection caller(edge->config.callers.port);
        caller.send(edge_fixture::request(method, path, id, "",
                                          method == "POST" ? "body" : ""));
        return caller.receive(method != "HEAD");
    }

    // Checks that callers get 502 for the message, on a new connection and on
    // one that has carried a response.
    void assert_rejected(const spoiled_message& message,
                         const std::string& method, const std::string& path)
    {
        const auto what = method + " " + message.status + " framing " +
                          std::to_string(static_cast<int>(message.end)) + " " +
                          message.lines;
        for (const int sound_before : {0, 1})
        {
            start();
            add_server(message, sound_before);
            edge->publish();
            for (int n = 0; n < sound_before; ++n)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    what, 200, send(method, path, "earlier").status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 502, send(method, path).status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, sound_before + 1, seen.load());
        }
    }

public:
    void setUp() override
    {
        start();
    }

    void tearDown() override
    {
        edge.reset();
    }

    // Failure scenario of the third review: callers took their orders for
    // accepted.
    void an_order_without_id_and_seal_is_no_success()
    {
        add_server({});
        add_sound_server();
        edge->publish();
        // The first order goes to either server.
        int failures = 0;
        constexpr int orders = 4;
        for (int n = 0; n < orders; ++n)
        {
            const auto response =
                send("POST", "/order/1", "order-" + std::to_string(n));
            if (response.status == 502)
                ++failures;
            else
                CPPUNIT_ASSERT_EQUAL(std::string("sound"), response.body);
        }
        CPPUNIT_ASSERT(failures > 0);
        CPPUNIT_ASSERT_EQUAL(orders, seen.load());
    }

    void a_success_without_a_seal_reaches_no_caller()
    {
        for (const std::string status :
             {"200 OK", "201 Created", "204 No Content"})
            for (const auto end :
                 {framing::length, framing::chunks, framing::close})
                for (const std::string lines :
                     {"", "Parsleyplank-Response-Seal:\r\n"})
                {
                    const spoiled_message message{status, end, true, lines};
                    assert_rejected(message, "POST", "/order/1");
                    assert_rejected(message, "GET", "/read/1");
                    assert_rejected(message, "HEAD", "/read/1");
                }
    }

    void a_rejection_without_an_id_reaches_no_caller()
    {
        for (const std::string status : {"302 Found", "404 Not Found"})
        {
            start();
            add_server({status});
            edge->publish();
            CPPUNIT_ASSERT_EQUAL(502, send("POST", "/order/1").status);
        }
    }

    void informational_responses_need_no_seal()
    {
        const std::string hints = "HTTP/1.1 103 Early Hints\r\n\r\n";
        for (const bool sealed : {true, false})
        {
            start();
            edge->add_server(
                [&](const std::string& it)
                {
                    auto response =
                        to_response({"200 OK", framing::length, true}, it);
                    response.bytes = hints + (sealed ? echo_response(it, "ok")
                                                     : response.bytes);
                    return response;
                });
            edge->publish();
            CPPUNIT_ASSERT_EQUAL(sealed ? 200 : 502,
                                 send("POST", "/order/1").status);
        }
    }

    void a_read_is_served_by_another_server()
    {
        for (const bool has_id : {false, true})
        {
            start();
            add_server({"200 OK", framing::length, has_id});
            add_sound_server();
            edge->publish();
            constexpr int reads = 6;
            for (int n = 0; n < reads; ++n)
                CPPUNIT_ASSERT_EQUAL(
                    std::string("sound"),
                    send("GET", "/read/1", std::to_string(n)).body);
            CPPUNIT_ASSERT(seen > reads);
        }
    }

    // Failure scenario: reads waited for a response behind the spoiled one
    // until their deadline, though another server was free.
    void a_read_on_a_kept_connection_does_not_wait_for_its_deadline()
    {
        add_server({}, 1);
        add_server({}, 1);
        add_sound_server();
        add_sound_server();
        edge->publish();
        constexpr int reads = 20;
        for (int n = 0; n < reads; ++n)
            CPPUNIT_ASSERT_EQUAL(
                std::string("sound"),
                send("GET", "/read/" + std::to_string(n), std::to_string(n))
                    .body);
        CPPUNIT_ASSERT(seen > reads);
    }

    void an_order_on_a_kept_connection_is_neither_run_twice_nor_held()
    {
        for (const bool refuses : {false, true})
        {
            start();
            add_server({refuses ? "503 Full" : "200 OK", framing::length, false,
                        refuses ? "Parsleyplank-Not-Executed: 1\r\n" : ""},
                       1);
            edge->publish();
            raw_connection caller(edge->config.callers.port);
            for (const int status : {200, 502})
            {
                caller.send(
                    edge_fixture::request("POST", "/order/1", "a", "", "body"));
                CPPUNIT_ASSERT_EQUAL(status, caller.receive().status);
            }
            CPPUNIT_ASSERT_EQUAL(2, seen.load());
        }
    }

    // Bytes of a faulty server may come without end.
    void an_endless_body_without_a_seal_is_not_read()
    {
        edge->add_server(
            [](const std::string& it)
            {
                auto response = to_response({"200 OK", framing::length, true,
                                             "Transfer-Encoding: chunked\r\n"},
                                            it);
                response.bytes = response.bytes.substr(
                    0, response.bytes.find("Content-Length"));
                response.bytes += "\r\n4\r\npart\r\n";
                return response;
            });
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(502, send("POST", "/order/1").status);
    }

    void a_server_that_spoils_its_responses_is_ejected()
    {
        for (const bool has_id : {false, true})
        {
            start();
            mailbox<int> spoiled;
            edge->add_server(
                [&](const std::string& it)
                {
                    spoiled.put(1);
                    return to_response({"200 OK", framing::length, has_id}, it);
                });
            add_sound_server();
            edge->publish();
            constexpr int reads = 60;
            for (int n = 0; n < reads; ++n)
                CPPUNIT_ASSERT_EQUAL(200, send("GET", "/read/1").status);
            int count = 0;
            for (; !spoiled.empty(); ++count)
                spoiled.take();
            // The server gets fewer than the half that is its share.
            CPPUNIT_ASSERT(count > 0);
            CPPUNIT_ASSERT(count < reads / 4);
        }
    }

    // Guards against a bad version that is completed because its spoiled
    // responses count as good.
    void a_spoiled_response_counts_against_its_version()
    {
        for (const bool has_id : {false, true})
        {
            start();
            edge->versions[service_id("parts")] = {
                {}, version_id("v2"), share_ppm{0}, true};
            add_server({"200 OK", framing::length, has_id});
            edge->publish();
            CPPUNIT_ASSERT_EQUAL(502, send("POST", "/order/1").status);
            mailbox<std::uint64_t> bad;
            mailbox<std::uint64_t> total;
            edge->plane->collect(
                [&](const edge::traffic_report& report)
                {
                    for (const auto& [rollout, tally] : report.tallies)
                        bad.put(tally.target.bad + tally.others.bad);
                });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), bad.take());
        }
    }

    void what_a_spoiled_response_says_of_its_server_is_ignored()
    {
        for (const std::string lines :
             {"Server-Leaving: 1\r\n", "Server-Limit: 0.0001\r\n",
              "Parsleyplank-Server-Load: 90,90,1\r\n"})
            for (const bool has_id : {false, true})
            {
                start();
                edge->add_server(
                    [&, n = 0](const std::string& it) mutable
                    {
                        return n++ == 0
                                   ? to_response({"200 OK", framing::length,
                                                  has_id, lines},
                                                 it)
                                   : scripted_response{
                                         echo_response(it, "sound")};
                    });
                edge->publish();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(lines, 502,
                                             send("POST", "/order/1").status);
                for (int n = 0; n < 3; ++n)
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        lines, 200, send("POST", "/order/1").status);
            }
    }

    // A second response to an earlier request may come while this one is at
    // work.
    void a_response_behind_an_earlier_one_is_delivered()
    {
        for (const std::string method : {"POST", "GET"})
            for (const bool has_id : {false, true})
            {
                start();
                edge->add_server(
                    [has_id,
                     first = std::string()](const std::string& it) mutable
                    {
                        if (first.empty())
                        {
                            first = it;
                            return scripted_response{echo_response(it, "own")};
                        }
                        const auto stray = has_id
                                               ? echo_response(first, "stray")
                                               : http_text("200 OK", "stray");
                        return scripted_response{stray, false,
                                                 echo_response(it, "own"),
                                                 milliseconds(100)};
                    });
                edge->publish();
                const std::string path =
                    method == "GET" ? "/read/1" : "/order/1";
                raw_connection caller(edge->config.callers.port);
                for (const std::string id : {"first", "second"})
                {
                    caller.send(edge_fixture::request(
                        method, path, id, "", method == "GET" ? "" : "body"));
                    CPPUNIT_ASSERT_EQUAL(std::string("own"),
                                         caller.receive().body);
                }
            }
    }

    void a_read_is_sent_elsewhere_after_a_refusal_without_an_id()
    {
        for (const std::string status : {"503 Full", "421 Misdirected"})
            for (const int sound_before : {0, 1})
            {
                start();
                for (int server = 0; server < 2; ++server)
                    edge->add_server(
                        [this, status, sound_before](const std::string& it)
                        {
                            const int n = seen++;
                            return scripted_response{
                                n == sound_before ? refusal_without_id(status)
                                                  : echo_response(it, "sound")};
                        });
                edge->publish();
                for (int n = 0; n <= sound_before; ++n)
                    CPPUNIT_ASSERT_EQUAL(200, send("GET", "/read/1").status);
                CPPUNIT_ASSERT_EQUAL(sound_before + 2, seen.load());
            }
    }

    // On a kept connection, the refusal may be one of an earlier request.
    void a_refusal_without_an_id_leaves_the_outcome_open()
    {
        edge->add_server(
            [this](const std::string& it)
            {
                return scripted_response{seen++ == 0
                                             ? echo_response(it, "sound")
                                             : refusal_without_id("503 Full")};
            });
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(200, send("GET", "/read/1").status);
        CPPUNIT_ASSERT_EQUAL(502, send("GET", "/read/1").status);
    }

    void a_pause_asked_for_without_an_id_is_kept()
    {
        edge->add_server(
            [this](const std::string& it)
            {
                auto refusal = refusal_without_id("503 Full");
                refusal.insert(refusal.find("\r\n") + 2, "Retry-After: 60\r\n");
                return scripted_response{
                    seen++ == 0 ? echo_response(it, "sound") : refusal};
            });
        edge->publish();
        CPPUNIT_ASSERT_EQUAL(200, send("GET", "/read/1").status);
        CPPUNIT_ASSERT_EQUAL(502, send("GET", "/read/1").status);
        CPPUNIT_ASSERT_EQUAL(503, send("GET", "/read/1").status);
        CPPUNIT_ASSERT_EQUAL(2, seen.load());
    }

    void servers_of_a_platform_without_seals_are_served()
    {
        edge->adapter.headers.response_seal.clear();
        add_server({"200 OK", framing::length, true});
        edge->publish();
        for (int n = 0; n < 3; ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("garbage"),
                                 send("POST", "/order/1").body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_spoiled_responses);

} // namespace
