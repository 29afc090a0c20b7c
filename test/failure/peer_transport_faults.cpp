// Guards the control thread and the receive thread against peers that restart,
// freeze or send garbage.

#include "support/eventually.hpp"
#include <parsleyplank/peer/nng_transport.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

using namespace parsleyplank;
using namespace parsleyplank::peer;

namespace
{

const instance_id a("entry-a");
const instance_id b("entry-b");

class peer_transport_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_transport_faults);
    CPPUNIT_TEST(restarted_peer_is_reached_again);
    CPPUNIT_TEST(frozen_peer_does_not_block_the_sender);
    CPPUNIT_TEST(replaced_and_removed_peers_lose_what_is_buffered);
    CPPUNIT_TEST(closing_ends_while_messages_arrive);
    CPPUNIT_TEST(damaged_bytes_are_counted_and_dropped);
    CPPUNIT_TEST(handler_exception_does_not_end_the_receive_thread);
    CPPUNIT_TEST_SUITE_END();

    static nng_settings settings_of(const instance_id& self, std::uint64_t life,
                                    std::uint16_t port = 0)
    {
        return {self, incarnation(life), {"127.0.0.1", port}};
    }

    static void ignore(const envelope& /*message*/)
    {
    }

public:
    void restarted_peer_is_reached_again()
    {
        std::atomic<std::uint64_t> arrived{0};
        const auto count = [&](const envelope&)
        {
            ++arrived;
        };
        nng_transport from(settings_of(a, 1), ignore);
        std::optional<nng_transport> to(std::in_place, settings_of(b, 1),
                                        count);
        const auto port = to->port();
        from.replace_peer(b, {"127.0.0.1", port});
        from.send(b, message_kind::ping, "");
        CPPUNIT_ASSERT(test::eventually([&] { return arrived == 1; }));
        to.reset();
        to.emplace(settings_of(b, 2, port), count);
        CPPUNIT_ASSERT(test::eventually(
            [&]
            {
                from.send(b, message_kind::ping, "");
                return arrived > 1;
            }));
    }

    void frozen_peer_does_not_block_the_sender()
    {
        std::mutex frozen;
        std::unique_lock hold(frozen);
        bool last_arrived = false;
        nng_transport to(settings_of(b, 1),
                         [&](const envelope& message)
                         {
                             const std::lock_guard lock(frozen);
                             last_arrived |= message.body == "last";
                         });
        nng_transport from(settings_of(a, 1), ignore);
        from.replace_peer(b, {"127.0.0.1", to.port()});
        const std::string body(100'000, 'x');
        // In a thread, so that a send that blocks fails the test.
        auto filled = std::async(
            std::launch::async,
            [&]
            {
                return test::eventually(
                    [&] { return !from.send(b, message_kind::pong, body); });
            });
        const bool ended = filled.wait_for(std::chrono::seconds(20)) ==
                           std::future_status::ready;
        if (ended)
            from.replace_peer(b, {"127.0.0.1", to.port()});
        hold.unlock();
        CPPUNIT_ASSERT(ended && filled.get());
        CPPUNIT_ASSERT(from.counts().dropped_buffer_full > 0);
        from.send(b, message_kind::pong, "last");
        CPPUNIT_ASSERT(test::eventually(
            [&]
            {
                const std::lock_guard lock(frozen);
                return last_arrived;
            }));
    }

    void replaced_and_removed_peers_lose_what_is_buffered()
    {
        std::atomic<int> arrived{0};
        nng_transport from(settings_of(a, 1), ignore);
        std::uint16_t port = 0;
        {
            const nng_transport closed(settings_of(b, 1), ignore);
            port = closed.port();
        }
        from.replace_peer(b, {"127.0.0.1", port});
        CPPUNIT_ASSERT(from.send(b, message_kind::ping, "old"));
        std::string last;
        nng_transport to(settings_of(b, 2),
                         [&](const envelope& message)
                         {
                             last = message.body;
                             ++arrived;
                         });
        from.replace_peer(b, {"127.0.0.1", to.port()});
        CPPUNIT_ASSERT(from.send(b, message_kind::ping, "new"));
        CPPUNIT_ASSERT(test::eventually([&] { return arrived > 0; }));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), last);
        from.remove_peer(b);
        CPPUNIT_ASSERT(!from.send(b, message_kind::ping, "late"));
    }

    // nng 1.5.2 can wait forever in nng_close while a message arrives. A stop
    // would hang, and so would every later replacement of a peer.
    void closing_ends_while_messages_arrive()
    {
        constexpr int rounds = 20;
        for (int n = 0; n < rounds; ++n)
        {
            std::atomic<int> arrived{0};
            auto to = std::make_unique<nng_transport>(
                settings_of(b, 1), [&](const envelope&) { ++arrived; });
            nng_transport from(settings_of(a, 1), ignore);
            from.replace_peer(b, {"127.0.0.1", to->port()});
            std::atomic<bool> stopping{false};
            std::thread sender(
                [&]
                {
                    while (!stopping)
                        from.send(b, message_kind::ping, "");
                });
            const bool flows = test::eventually([&] { return arrived > 100; });
            auto closing = std::async(std::launch::async, [&] { to.reset(); });
            const bool closed = closing.wait_for(std::chrono::seconds(1)) ==
                                std::future_status::ready;
            stopping = true;
            sender.join();
            CPPUNIT_ASSERT(flows && closed);
        }
    }

    void damaged_bytes_are_counted_and_dropped()
    {
        std::atomic<int> arrived{0};
        nng_transport to(settings_of(b, 1),
                         [&](const envelope&) { ++arrived; });
        const auto url = "tcp://127.0.0.1:" + std::to_string(to.port());
        nng_socket raw = NNG_SOCKET_INITIALIZER;
        CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&raw));
        CPPUNIT_ASSERT_EQUAL(0, nng_dial(raw, url.c_str(), nullptr, 0));
        const auto send = [&](std::string bytes)
        {
            CPPUNIT_ASSERT_EQUAL(0,
                                 nng_send(raw, bytes.data(), bytes.size(), 0));
        };
        const auto whole =
            encode_envelope({a, incarnation(1), 1, message_kind::ping, "body"});
        send("");
        send("\xc1\xff");
        send(whole.substr(0, whole.size() - 1));
        send(whole);
        CPPUNIT_ASSERT(test::eventually([&] { return arrived == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), to.counts().undecodable);
        nng_close(raw);
    }

    void handler_exception_does_not_end_the_receive_thread()
    {
        std::atomic<int> arrived{0};
        nng_transport to(settings_of(b, 1),
                         [&](const envelope&)
                         {
                             if (++arrived == 1)
                                 throw codec_error("body of ping");
                         });
        nng_transport from(settings_of(a, 1), ignore);
        from.replace_peer(b, {"127.0.0.1", to.port()});
        from.send(b, message_kind::ping, "");
        from.send(b, message_kind::ping, "");
        CPPUNIT_ASSERT(test::eventually([&] { return arrived == 2; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_transport_faults);

} // namespace
