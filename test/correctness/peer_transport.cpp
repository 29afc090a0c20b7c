// Guards the envelope, the delivery of messages between two transports, and
// that a fake network run repeats exactly from its seed.

#include "support/eventually.hpp"
#include "support/fake_network.hpp"
#include "support/manual_clock.hpp"
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/peer/nng_transport.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::peer;

namespace
{

const instance_id a("entry-a");
const instance_id b("entry-b");

class peer_transport : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_transport);
    CPPUNIT_TEST(envelope_survives_and_damage_is_rejected);
    CPPUNIT_TEST(messages_arrive_with_their_sender_and_sequence);
    CPPUNIT_TEST(unusable_addresses_are_named);
    CPPUNIT_TEST(fake_network_repeats_from_its_seed);
    CPPUNIT_TEST_SUITE_END();

    // Returns the sequence numbers that arrive over a faulty network.
    static std::vector<std::uint64_t> run_network(std::uint64_t seed)
    {
        test::manual_clock time;
        test::fake_network network(
            time, seed, {0.2, 0.2, milliseconds(1), milliseconds(50)});
        std::vector<std::uint64_t> arrived;
        const auto from = network.join(a, incarnation(1), {});
        const auto to = network.join(b, incarnation(1),
                                     [&](const envelope& message)
                                     { arrived.push_back(message.sequence); });
        from->replace_peer(b, {});
        for (int n = 0; n < 200; ++n)
            from->send(b, message_kind::ping, "");
        while (network.under_way() > 0)
        {
            time.advance(milliseconds(1));
            network.deliver();
        }
        return arrived;
    }

public:
    void envelope_survives_and_damage_is_rejected()
    {
        const envelope message{a, incarnation(3), 9, message_kind::loan_grant,
                               std::string("\0x", 2)};
        const auto bytes = encode_envelope(message);
        CPPUNIT_ASSERT(decode_envelope(bytes, "test") == message);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CPPUNIT_ASSERT_THROW(decode_envelope(bytes.substr(0, n), "test"),
                                 codec_error);
        auto unknown = message;
        unknown.kind = static_cast<message_kind>(200);
        CPPUNIT_ASSERT_THROW(decode_envelope(encode_envelope(unknown), "test"),
                             codec_error);
        CPPUNIT_ASSERT(to_string(message.kind) == "loan_grant");
    }

    void messages_arrive_with_their_sender_and_sequence()
    {
        std::mutex mutex;
        std::vector<envelope> arrived;
        nng_transport to({b, incarnation(1), {"127.0.0.1", 0}},
                         [&](const envelope& message)
                         {
                             const std::lock_guard lock(mutex);
                             arrived.push_back(message);
                         });
        nng_transport from({a, incarnation(7), {"127.0.0.1", 0}},
                           [](const envelope&) {});
        from.replace_peer(b, {"127.0.0.1", to.port()});
        CPPUNIT_ASSERT(from.send(b, message_kind::ping, "one"));
        CPPUNIT_ASSERT(from.send(b, message_kind::demand, "two"));
        CPPUNIT_ASSERT(test::eventually(
            [&]
            {
                const std::lock_guard lock(mutex);
                return arrived.size() == 2;
            }));
        const envelope second{a, incarnation(7), 2, message_kind::demand,
                              "two"};
        CPPUNIT_ASSERT(arrived.back() == second);
        CPPUNIT_ASSERT_EQUAL(from.counts().bytes_sent,
                             to.counts().bytes_received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), to.counts().messages_received);
    }

    void unusable_addresses_are_named()
    {
        nng_transport first({a, incarnation(1), {"127.0.0.1", 0}},
                            [](const envelope&) {});
        const nng_settings same_port{
            b, incarnation(1), {"127.0.0.1", first.port()}};
        CPPUNIT_ASSERT_THROW(nng_transport(same_port, [](const envelope&) {}),
                             error);
        CPPUNIT_ASSERT_THROW(first.replace_peer(b, {"", 1}), error);
        CPPUNIT_ASSERT(!first.send(b, message_kind::ping, ""));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             first.counts().dropped_unknown_peer);
    }

    void fake_network_repeats_from_its_seed()
    {
        const auto arrived = run_network(1);
        CPPUNIT_ASSERT(arrived == run_network(1));
        CPPUNIT_ASSERT(arrived != run_network(2));
        CPPUNIT_ASSERT(!std::ranges::is_sorted(arrived));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_transport);

} // namespace
