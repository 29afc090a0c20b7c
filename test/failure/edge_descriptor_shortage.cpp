// An instance that has no free descriptor for a while: what happened to its
// callers meanwhile is noticed, and its servers are not blamed.

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <numeric>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

// Lets no new descriptor be opened in this process while it exists.
class descriptor_shortage
{
public:
    descriptor_shortage()
    {
        // The standard streams stay below the limit.
        constexpr rlim_t standard_streams = 3;
        ::getrlimit(RLIMIT_NOFILE, &normal);
        const rlimit none{standard_streams, normal.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &none);
    }

    ~descriptor_shortage()
    {
        ::setrlimit(RLIMIT_NOFILE, &normal);
    }

    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

private:
    rlimit normal{};
};

class edge_descriptor_shortage : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_descriptor_shortage);
    CPPUNIT_TEST(a_request_whose_caller_left_meanwhile_reaches_no_server);
    CPPUNIT_TEST(a_server_is_not_ejected_for_it);
    CPPUNIT_TEST_SUITE_END();

    // Each request tries fewer servers than there are, so that one is left that
    // was not tried in vain.
    static constexpr std::size_t server_count = 4;

    // Number of requests that each server has got.
    std::array<std::atomic<int>, server_count> served{};
    std::unique_ptr<edge_fixture> edge;
    // Whether the servers close each connection after one response.
    std::atomic<bool> servers_close = false;

    static std::string read_request(const std::string& id)
    {
        return edge_fixture::request("GET", "/read/1", id,
                                     "Parsleyplank-Affinity-Key: 1\r\n");
    }

    // Returns which server responds to a request on the connection.
    std::size_t server_that_responds(raw_connection& caller,
                                     const std::string& id)
    {
        std::array<int, server_count> before{};
        std::ranges::copy(served, before.begin());
        caller.send(read_request(id));
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        const auto it =
            std::mismatch(served.begin(), served.end(), before.begin()).first;
        CPPUNIT_ASSERT(it != served.end());
        return static_cast<std::size_t>(it - served.begin());
    }

public:
    void setUp() override
    {
        servers_close = false;
        std::ranges::for_each(served, [](auto& it) { it = 0; });
        edge = std::make_unique<edge_fixture>();
        for (auto& count : served)
            edge->add_server(
                [this, &count](const std::string& request)
                {
                    ++count;
                    auto response = echo_response(request, "ok");
                    // So that the instance does not keep the connection, even
                    // if it has not seen yet that it is closed.
                    if (servers_close)
                        response.insert(response.find("\r\n"),
                                        "\r\nConnection: close");
                    return scripted_response{response, servers_close};
                });
        edge->publish();
    }

    void tearDown() override
    {
        edge.reset();
    }

    // Guards against work for callers that gave up while no descriptor was
    // free to accept their connections.
    void a_request_whose_caller_left_meanwhile_reaches_no_server()
    {
        raw_connection caller(edge->config.callers.port);
        server_that_responds(caller, "a");
        raw_connection departed;
        {
            const descriptor_shortage shortage;
            departed.connect(edge->config.callers.port);
            departed.send(read_request("b"));
            departed.close();
        }
        raw_connection next(edge->config.callers.port);
        server_that_responds(next, "c");
        CPPUNIT_ASSERT_EQUAL(2,
                             std::accumulate(served.begin(), served.end(), 0));
    }

    // Guards against taking a lack of own descriptors for a server that can't
    // be reached, which ends its use and lets it count as cold.
    void a_server_is_not_ejected_for_it()
    {
        servers_close = true;
        raw_connection caller(edge->config.callers.port);
        const auto usual = server_that_responds(caller, "a");
        {
            const descriptor_shortage shortage;
            caller.send(read_request("b"));
            CPPUNIT_ASSERT_EQUAL(503, caller.receive().status);
        }
        CPPUNIT_ASSERT_EQUAL(usual, server_that_responds(caller, "c"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_descriptor_shortage);

} // namespace
