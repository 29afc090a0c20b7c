// A peer that relays the store and never stops sending: the memory of the
// instance that watches it stays bounded, and its feed returns to the store.

#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/edge/store_feed.hpp>
#include <parsleyplank/proxy/gzip.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/endless_server.hpp>
#include <support/eventually.hpp>
#include <support/memory_peak.hpp>
#include <support/memory_store.hpp>

#include <atomic>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using namespace parsleyplank::test;

namespace
{

class edge_endless_relay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_endless_relay);
    CPPUNIT_TEST(a_body_without_length);
    CPPUNIT_TEST(a_body_of_great_length);
    CPPUNIT_TEST(a_compressed_body_that_expands);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t memory_mb = 80;

    static void assert_bounded(const endless_response& response)
    {
        settings config;
        config.memory_mb = memory_mb;
        feed_options options;
        options.max_response_bytes = max_store_response_bytes(config);
        // The feed may watch the store before the peer is selected.
        options.watch_wait = milliseconds(1'000);
        const endless_server peer(response);
        const auto data = std::make_shared<memory_store_data>();
        write_key(*data, "k/1", "first");
        std::atomic<int> changes{0};
        std::atomic<int> peer_failures{0};
        const memory_peak memory;
        {
            store_feed feed(
                std::make_unique<memory_store>(data), "k/", options,
                {[](const store::list_result&) {},
                 [&](const store::list_result& it, const std::string&)
                 { changes += static_cast<int>(it.entries.size()); },
                 [] {}, [](const std::string&) {},
                 [&](const std::string&)
                 {
                     ++peer_failures;
                 }});
            feed.watch_peers({{"127.0.0.1", peer.port()}}, milliseconds(1'000));
            const bool failed = eventually([&] { return peer_failures > 0; });
            write_key(*data, "k/1", "second");
            const bool told = eventually([&] { return changes > 0; });
            close_store(*data);
            CPPUNIT_ASSERT(failed);
            CPPUNIT_ASSERT(told);
        }
        CPPUNIT_ASSERT(peer.requests() > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(memory.growth_mb()) + " MB",
                               memory.growth_mb() < memory_mb / 2);
    }

public:
    void a_body_without_length()
    {
        assert_bounded({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                        std::string(65'536, 'x')});
    }

    void a_body_of_great_length()
    {
        assert_bounded({"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                        std::string(65'536, 'x')});
    }

    // A small response expanded to more than the memory of the instance.
    void a_compressed_body_that_expands()
    {
        std::string content;
        content.resize(200'000'000, 'x');
        const auto body = proxy::gzip(content);
        CPPUNIT_ASSERT(body.size() < 2'000'000);
        assert_bounded({"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
                        "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n",
                        body});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_endless_relay);

} // namespace
