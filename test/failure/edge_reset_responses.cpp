// Backend servers whose answers are none: a status outside the range of HTTP,
// and a response without a length whose connection is reset. Guards against
// callers that get an unknown status or a part of a response as a whole one.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

// What the server does after it has written a response without a length.
struct reset_plan
{
    // Number of complete requests that are answered with a length first.
    int served_before = 0;
    // Whether the whole request is read before the reset.
    bool reads_body = false;
    // Whether the server ends its sending side before the reset.
    bool ends_first = false;
};

// A server that resets the connection after a part of a response, one
// connection at a time.
class resetting_server
{
public:
    explicit resetting_server(reset_plan chosen)
        : plan(chosen), listener(listen_on_loopback(port))
    {
        // Keeps the upload from fitting into the buffers of the system.
        const int bytes = 4'096;
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        thread = std::thread([this] { run(); });
    }

    ~resetting_server()
    {
        stopping = true;
        ::shutdown(listener, SHUT_RDWR);
        thread.join();
        ::close(listener);
    }

    resetting_server(const resetting_server&) = delete;
    resetting_server& operator=(const resetting_server&) = delete;

private:
    // Reads to the end of the header, or of the body. Returns what was read.
    static std::string read_request(int connection, bool whole)
    {
        std::string text;
        std::array<char, 4'096> buf{};
        const auto missing = [&]
        {
            const auto head = text.find("\r\n\r\n");
            if (head == std::string::npos)
                return true;
            const auto length = header_of(text, "Content-Length");
            return whole && !length.empty() &&
                   text.size() < head + 4 + std::stoul(length);
        };
        while (missing())
        {
            const auto n = ::recv(connection, buf.data(), buf.size(), 0);
            if (n <= 0)
                return {};
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        return text;
    }

    static void send_text(int connection, const std::string& text)
    {
        ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void serve(int connection) const
    {
        for (int n = 0; n < plan.served_before; ++n)
        {
            const auto request = read_request(connection, true);
            send_text(connection, echo_response(request, "whole"));
        }
        const auto request = read_request(connection, plan.reads_body);
        send_text(connection,
                  "HTTP/1.1 200 OK\r\nParsleyplank-Request-Id: " +
                      header_of(request, "Parsleyplank-Request-Id") +
                      "\r\nConnection: close\r\n\r\na part");
        // The response arrives before the reset.
        std::this_thread::sleep_for(milliseconds(30));
        if (plan.ends_first)
        {
            ::shutdown(connection, SHUT_WR);
            std::this_thread::sleep_for(milliseconds(30));
        }
        const linger reset{1, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    void run()
    {
        while (!stopping)
        {
            const int connection = ::accept(listener, nullptr, nullptr);
            if (connection < 0)
                return;
            serve(connection);
            ::close(connection);
        }
    }

    reset_plan plan;
    std::atomic<bool> stopping{false};

public:
    std::uint16_t port = 0;

private:
    int listener;
    std::thread thread;
};

class edge_reset_responses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_reset_responses);
    CPPUNIT_TEST(an_unknown_status_is_no_answer_to_an_order);
    CPPUNIT_TEST(a_read_with_an_unknown_status_is_sent_elsewhere);
    CPPUNIT_TEST(a_reset_during_an_upload_completes_no_response);
    CPPUNIT_TEST(a_reset_on_a_kept_connection_completes_no_response);
    CPPUNIT_TEST(a_reset_after_the_upload_completes_no_response);
    CPPUNIT_TEST(a_response_that_ends_before_the_reset_is_whole_or_lost);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int attempts = 10;
    // Larger than the buffers of both sockets.
    static constexpr std::size_t upload_bytes = 8'000'000;

    static scripted_response answer_with(const std::string& status,
                                         const std::string& request)
    {
        auto text = echo_response(request, "body");
        return {text.replace(text.find("200 OK"), 6, status), false};
    }

    // Sends orders that the server resets, each on a connection of its own.
    // Returns how many were answered with 200.
    static int count_successes(reset_plan plan, std::size_t body_bytes)
    {
        int successes = 0;
        for (int n = 0; n < attempts; ++n)
        {
            resetting_server server(plan);
            edge_fixture edge;
            edge.add_server_at("parts", server.port);
            edge.publish();
            raw_connection caller(edge.config.callers.port);
            for (int i = 0; i < plan.served_before; ++i)
            {
                caller.send(edge_fixture::request("POST", "/order/1", "first",
                                                  "", "body"));
                CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
            }
            caller.send(edge_fixture::request("POST", "/order/1", "upload", "",
                                              std::string(body_bytes, 'x')));
            const auto response = caller.receive();
            if (response.status == 200)
            {
                ++successes;
                CPPUNIT_ASSERT_EQUAL(std::string("a part"), response.body);
            }
            else
                CPPUNIT_ASSERT_EQUAL(502, response.status);
        }
        return successes;
    }

public:
    void an_unknown_status_is_no_answer_to_an_order()
    {
        for (const std::string status : {"000", "099", "600", "999"})
        {
            edge_fixture edge;
            edge.add_server([status](const std::string& request)
                            { return answer_with(status + " Odd", request); });
            edge.publish();
            raw_connection caller(edge.config.callers.port);
            caller.send(
                edge_fixture::request("POST", "/order/1", "a", "", "body"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 502, caller.receive().status);
        }
    }

    void a_read_with_an_unknown_status_is_sent_elsewhere()
    {
        std::atomic<int> requests{0};
        edge_fixture edge;
        for (int n = 0; n < 2; ++n)
            edge.add_server(
                [&](const std::string& request)
                {
                    return ++requests == 1 ? answer_with("000 Odd", request)
                                           : answer_with("200 OK", request);
                });
        edge.publish();
        raw_connection caller(edge.config.callers.port);
        caller.send(edge_fixture::request("GET", "/read/1", "a"));
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        CPPUNIT_ASSERT_EQUAL(2, requests.load());
    }

    // The failed write of the upload takes the error from the socket, so that
    // the next read sees an orderly end.
    void a_reset_during_an_upload_completes_no_response()
    {
        CPPUNIT_ASSERT_EQUAL(0, count_successes({}, upload_bytes));
    }

    void a_reset_on_a_kept_connection_completes_no_response()
    {
        reset_plan plan;
        plan.served_before = 1;
        CPPUNIT_ASSERT_EQUAL(0, count_successes(plan, upload_bytes));
    }

    void a_reset_after_the_upload_completes_no_response()
    {
        reset_plan plan;
        plan.reads_body = true;
        CPPUNIT_ASSERT_EQUAL(0, count_successes(plan, 100));
    }

    // The server has ended its response properly; both answers are true.
    void a_response_that_ends_before_the_reset_is_whole_or_lost()
    {
        reset_plan plan;
        plan.ends_first = true;
        count_successes(plan, upload_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_reset_responses);

} // namespace
