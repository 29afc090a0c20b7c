// Guards that the fake store, which the other failure tests rely on, fails as
// the HTTP adapter does, and that the fake network cuts and restarts members.

#include "support/fake_network.hpp"
#include "support/fake_store.hpp"
#include "support/manual_clock.hpp"
#include <parsleyplank/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

using namespace parsleyplank;

namespace
{

class fake_store_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fake_store_faults);
    CPPUNIT_TEST(faults_end_with_the_exceptions_of_the_adapter);
    CPPUNIT_TEST(watch_returns_what_was_written_while_it_waited);
    CPPUNIT_TEST(slow_store_lets_time_pass_after_the_effect);
    CPPUNIT_TEST(network_cuts_one_direction_and_drops_an_earlier_life);
    CPPUNIT_TEST_SUITE_END();

    test::manual_clock time;

public:
    void faults_end_with_the_exceptions_of_the_adapter()
    {
        standin::store_core core;
        test::fake_store store(core, time);
        const auto write = [&]
        {
            store.compare_and_swap("a", revision(0), "v");
        };
        set_fault(core, "down", 1);
        CPPUNIT_ASSERT_THROW(write(), store_unavailable);
        CPPUNIT_ASSERT_THROW(store.get("a"), store_unavailable);
        set_fault(core, "down", 0);
        set_fault(core, "hang", 1);
        CPPUNIT_ASSERT_THROW(write(), store_outcome_unknown);
        CPPUNIT_ASSERT_THROW(store.list(""), store_unavailable);
        set_fault(core, "hang", 0);
        CPPUNIT_ASSERT(!store.get("a").found);
        set_fault(core, "lost_answers", 1);
        CPPUNIT_ASSERT_THROW(write(), store_outcome_unknown);
        CPPUNIT_ASSERT(store.get("a").found);
        CPPUNIT_ASSERT_THROW(set_fault(core, "rain", 1), error);
        test::fake_instance_list instances(core, time);
        set_fault(core, "list_down", 1);
        CPPUNIT_ASSERT_THROW(instances.read(), store_unavailable);
    }

    void watch_returns_what_was_written_while_it_waited()
    {
        standin::store_core core;
        test::fake_store writer(core, time);
        test::fake_store store(
            core, time,
            [&](milliseconds)
            { writer.compare_and_swap("state/config", revision(0), "v"); });
        const auto rows = store.watch("state/", revision(0), milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rows.entries.size());
        CPPUNIT_ASSERT(rows.store_revision == revision(1));
    }

    void slow_store_lets_time_pass_after_the_effect()
    {
        standin::store_core core;
        test::fake_store store(
            core, time, [&](milliseconds delay) { time.advance(delay); });
        set_fault(core, "slow_ms", 700);
        const auto start = time.now();
        store.compare_and_swap("a", revision(0), "v");
        CPPUNIT_ASSERT(time.now() - start == milliseconds(700));
    }

    void network_cuts_one_direction_and_drops_an_earlier_life()
    {
        const instance_id a("entry-a");
        const instance_id b("entry-b");
        test::fake_network network(time, 1);
        int arrived = 0;
        const auto count = [&](const peer::envelope&)
        {
            ++arrived;
        };
        const auto first = network.join(a, incarnation(1), count);
        const auto other = network.join(b, incarnation(1), count);
        const auto step = [&](peer::transport& from, const instance_id& to)
        {
            from.send(to, peer::message_kind::ping, "");
            time.advance(milliseconds(1));
            network.deliver();
            return std::exchange(arrived, 0);
        };
        first->replace_peer(b, {});
        other->replace_peer(a, {});
        network.block(a, b);
        CPPUNIT_ASSERT_EQUAL(0, step(*first, b));
        CPPUNIT_ASSERT_EQUAL(1, step(*other, a));
        network.unblock(a, b);
        CPPUNIT_ASSERT_EQUAL(1, step(*first, b));
        const auto restarted = network.join(a, incarnation(2), count);
        CPPUNIT_ASSERT_EQUAL(0, step(*first, b));
        CPPUNIT_ASSERT_EQUAL(1, step(*other, a));
        network.leave(a);
        CPPUNIT_ASSERT_EQUAL(0, step(*other, a));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fake_store_faults);

} // namespace
