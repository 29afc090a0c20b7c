// Guards against an instance that acts on an old configuration or share table:
// stale and damaged values of the store, silent peers, lost answers, and rounds
// that confirm what they did not prove.

#include "support/entry_instance.hpp"
#include "support/sample_bundle.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::entry;
using freshness::verdict;

namespace
{

class entry_state : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_state);
    CPPUNIT_TEST(epoch_never_goes_back);
    CPPUNIT_TEST(damaged_values_are_not_confirmed);
    CPPUNIT_TEST(unusable_configuration_does_not_count_as_held);
    CPPUNIT_TEST(new_instance_asks_peers_while_the_store_is_down);
    CPPUNIT_TEST(silent_peer_does_not_stop_the_fetch);
    CPPUNIT_TEST(damaged_reply_of_a_peer_changes_nothing);
    CPPUNIT_TEST(lost_answer_is_followed_by_a_confirmed_round);
    CPPUNIT_TEST(stale_read_confirms_nothing);
    CPPUNIT_TEST(key_of_another_incarnation_costs_one_round);
    CPPUNIT_TEST(absurd_age_of_a_peer_confirms_nothing);
    CPPUNIT_TEST_SUITE_END();

    test::shared_clock time;
    standin::store_core core;
    test::fake_network network{time, 1};
    test::fake_store store{core, time};

    void publish(const config::bundle& content)
    {
        config::publish(store, config::load_manifest(store), content,
                        {"test", config::new_change_id()});
    }

    void publish_shares(std::uint64_t number)
    {
        auto table =
            quota::create_share_table({instance_id("a"), incarnation(1)});
        table.number = epoch(number);
        write(shares_key, quota::pack_share_table(table));
    }

    void write(const std::string& key, const std::string& value)
    {
        const auto found = store.get(key).found;
        store.compare_and_swap(key, found ? found->key_revision : revision(0),
                               value);
    }

    std::vector<store::entry> state_entries()
    {
        return store.list(state_prefix).entries;
    }

    // Takes entries as a watch does.
    static bool take(test::entry_instance& to,
                     const std::vector<store::entry>& entries)
    {
        bool usable = false;
        to.on_loop(
            [&] {
                usable =
                    take_entries(to.feed, *to.context, entries).has_value();
            });
        to.fetch();
        return usable;
    }

public:
    void setUp() override
    {
        publish(test::sample_bundle());
        publish_shares(1);
    }

    void epoch_never_goes_back()
    {
        test::entry_instance a(core, network, time, "a");
        a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::confirmed);
        const auto old = state_entries();
        publish(test::sample_bundle());
        publish_shares(2);
        a.round();
        CPPUNIT_ASSERT(take(a, old));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), a.epoch_held());
        CPPUNIT_ASSERT(a.feed.shares.number == epoch(2));
        CPPUNIT_ASSERT(a.adopted == std::vector<std::uint64_t>({1, 2}));
    }

    void damaged_values_are_not_confirmed()
    {
        test::entry_instance a(core, network, time, "a");
        a.round();
        write(shares_key, "no table");
        a.round();
        a.round();
        a.round();
        a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::stale);
        CPPUNIT_ASSERT(a.feed.shares.number == epoch(1));
        publish_shares(2);
        a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::confirmed);
        const auto entries = state_entries();
        for (const auto* damaged : {"", "\xdd\xff\xff\xff\xff", "\xc0"})
            CPPUNIT_ASSERT(!take(a, {{config_key, damaged, revision(9)}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), a.epoch_held());
    }

    // A configuration from which no tables can be built must not be confirmed
    // as held: the keys of the one before it would go on working.
    void unusable_configuration_does_not_count_as_held()
    {
        test::entry_instance a(core, network, time, "a");
        a.round();
        auto content = test::sample_bundle();
        content.client_blocks[0].prefix = "not a prefix";
        // publish() would refuse it.
        const auto encoded = config::encode_bundle(content);
        for (const auto& [digest, bytes] : encoded.parts)
            write("config/part/" + digest, bytes);
        write(config_key, config::encode_manifest(
                              {{{epoch(2), "test", "2"}}, encoded.sections}));
        for (int i = 0; i < 4; ++i)
            a.round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), a.epoch_held());
        CPPUNIT_ASSERT(a.judge() == verdict::stale);
        publish(test::sample_bundle());
        a.round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), a.epoch_held());
        CPPUNIT_ASSERT(a.judge() == verdict::confirmed);
    }

    void new_instance_asks_peers_while_the_store_is_down()
    {
        test::entry_instance a(core, network, time, "a");
        a.round();
        core.faults.down = true;
        test::entry_instance b(core, network, time, "b");
        a.know(b);
        b.know(a);
        b.on_loop(
            [&] {
                note_peer_epochs(b.feed, a.config.id, {epoch(1), {}});
            });
        b.fetch();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), b.epoch_held());
        CPPUNIT_ASSERT(b.feed.shares.number == epoch(1));
        CPPUNIT_ASSERT(b.judge() == verdict::stale);
    }

    void silent_peer_does_not_stop_the_fetch()
    {
        test::entry_instance a(core, network, time, "a");
        test::entry_instance b(core, network, time, "b");
        test::entry_instance c(core, network, time, "c");
        a.round();
        for (auto* it : {&a, &c})
            it->know(b);
        b.know(a);
        b.know(c);
        core.faults.down = true;
        network.block(a.config.id, b.config.id);
        b.on_loop(
            [&] {
                note_peer_epochs(b.feed, a.config.id, {epoch(1), {}});
            });
        b.fetch();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), b.epoch_held());
        core.faults.down = false;
        c.round();
        core.faults.down = true;
        b.on_loop(
            [&] {
                note_peer_epochs(b.feed, c.config.id, {epoch(1), {}});
            });
        time.advance(milliseconds(500));
        b.fetch();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), b.epoch_held());
    }

    void damaged_reply_of_a_peer_changes_nothing()
    {
        test::entry_instance a(core, network, time, "a");
        test::entry_instance b(core, network, time, "b");
        a.round();
        b.know(a);
        a.know(b);
        publish(test::sample_bundle());
        const config_reply reply{
            std::string(state_entries().front().value),
            "no table",
            {{std::string(64, '0'), "not of this digest"}}};
        b.on_loop(
            [&] {
                send_to(*b.context, a.config.id,
                        peer::message_kind::config_reply, reply);
            });
        time.advance(milliseconds(1));
        network.deliver();
        CPPUNIT_ASSERT_EQUAL(1, a.damaged);
        CPPUNIT_ASSERT(a.feed.shares.number == epoch(1));
        a.round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), a.epoch_held());
    }

    void lost_answer_is_followed_by_a_confirmed_round()
    {
        test::entry_instance a(core, network, time, "a");
        core.faults.lost_answers = 1;
        a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::stale);
        // This one learns the revision that the lost write made.
        a.round();
        a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::confirmed);
    }

    void stale_read_confirms_nothing()
    {
        test::entry_instance a(core, network, time, "a");
        a.round();
        standin::set_stale_reads(core, true);
        publish(test::sample_bundle());
        for (int i = 0; i < 4; ++i)
            a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::stale);
        // A store that answers must not be reported as out of reach.
        CPPUNIT_ASSERT(freshness::store_reachable(a.contact.fresh));
        standin::set_stale_reads(core, false);
        a.round();
        CPPUNIT_ASSERT(a.judge() == verdict::confirmed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), a.epoch_held());
    }

    void key_of_another_incarnation_costs_one_round()
    {
        test::entry_instance a(core, network, time, "a", 1);
        a.round();
        test::entry_instance again(core, network, time, "a", 2);
        again.round();
        CPPUNIT_ASSERT(again.judge() == verdict::stale);
        again.round();
        CPPUNIT_ASSERT(again.judge() == verdict::confirmed);
    }

    // An age that overflows the clock's type would date the confirmation into
    // the future.
    void absurd_age_of_a_peer_confirms_nothing()
    {
        test::entry_instance a(core, network, time, "a");
        store::listed_instance peer;
        peer.id = instance_id("b");
        peer.life = incarnation(1);
        const auto ages = {std::numeric_limits<std::int64_t>::max(),
                           std::int64_t(1) << 62, std::int64_t(18446744073709),
                           std::int64_t(9223372036855)};
        a.on_loop(
            [&]
            {
                take_list(a.contact, *a.context, {peer}, time.now(),
                          region_id("south"));
                tick(a.contact, *a.context);
                for (const auto age : ages)
                    take_pong(a.contact, *a.context, peer.id, peer.life,
                              {1, {}, {}, age, true, false});
            });
        CPPUNIT_ASSERT(a.judge() == verdict::stale);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_state);

} // namespace
