// Guards the member table against a lagging list, restarts under the same id
// and connections that stop responding while the process is alive.

#include <parsleyplank/membership/member_table.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/manual_clock.hpp>

using namespace parsleyplank;
using namespace parsleyplank::membership;
using namespace std::chrono_literals;

namespace
{

const instance_id self("doto-1");
const instance_id peer("doo-1");

store::listed_instance listed(const instance_id& id, std::uint64_t life)
{
    store::listed_instance info;
    info.id = id;
    info.life = incarnation(life);
    info.region = region_id("doo");
    info.address = "127.0.0.1";
    info.peer_port = 4000;
    return info;
}

class membership_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_faults);
    CPPUNIT_TEST(member_without_contact_gets_no_work);
    CPPUNIT_TEST(unresponsive_connection_is_reported_once_per_timeout);
    CPPUNIT_TEST(restart_replaces_member_and_ignores_lagging_list);
    CPPUNIT_TEST(draining_is_known_before_it_is_listed);
    CPPUNIT_TEST(late_list_answer_is_ignored);
    CPPUNIT_TEST(paused_member_that_is_listed_again_has_not_departed);
    CPPUNIT_TEST_SUITE_END();

    test::manual_clock time;
    member_table table;

public:
    void setUp() override
    {
        table.self = self;
        const auto changes = update_from_list(
            table, {listed(self, 1), listed(peer, 1)}, time.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.added.size());
    }

    void member_without_contact_gets_no_work()
    {
        CPPUNIT_ASSERT(!usable(table, peer, time.now()));
        CPPUNIT_ASSERT(
            record_contact(table, peer, incarnation(1), false, time.now()));
        CPPUNIT_ASSERT(usable(table, peer, time.now()));
        time.advance(table.times.failure_timeout + 1ms);
        CPPUNIT_ASSERT(!usable(table, peer, time.now()));
        CPPUNIT_ASSERT(usable_members(table, time.now(), true) ==
                       std::vector{self});
    }

    void unresponsive_connection_is_reported_once_per_timeout()
    {
        time.advance(table.times.reconnect_timeout + 1ms);
        CPPUNIT_ASSERT(take_unresponsive(table, time.now()) ==
                       std::vector{peer});
        CPPUNIT_ASSERT(take_unresponsive(table, time.now()).empty());
        time.advance(table.times.reconnect_timeout + 1ms);
        CPPUNIT_ASSERT(take_unresponsive(table, time.now()) ==
                       std::vector{peer});
        record_contact(table, peer, incarnation(1), false, time.now());
        CPPUNIT_ASSERT(take_unresponsive(table, time.now()).empty());
    }

    void restart_replaces_member_and_ignores_lagging_list()
    {
        record_contact(table, peer, incarnation(1), true, time.now());
        const auto changes =
            update_from_list(table, {listed(peer, 2)}, time.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.replaced.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.departed.size());
        CPPUNIT_ASSERT(
            !record_contact(table, peer, incarnation(1), false, time.now()));
        CPPUNIT_ASSERT(
            record_contact(table, peer, incarnation(2), false, time.now()));
        update_from_list(table, {listed(peer, 1)}, time.now());
        CPPUNIT_ASSERT(usable(table, peer, time.now()));
    }

    void draining_is_known_before_it_is_listed()
    {
        record_contact(table, peer, incarnation(1), true, time.now());
        CPPUNIT_ASSERT(!usable(table, peer, time.now()));
        // A pong that was sent before the drain began must not undo it.
        record_contact(table, peer, incarnation(1), false, time.now());
        CPPUNIT_ASSERT(!usable(table, peer, time.now()));
    }

    void late_list_answer_is_ignored()
    {
        const auto early = time.now();
        time.advance(1s);
        update_from_list(table, {listed(peer, 1)}, time.now());
        update_from_list(table, {}, early);
        CPPUNIT_ASSERT(table.members.contains(peer));
    }

    void paused_member_that_is_listed_again_has_not_departed()
    {
        update_from_list(table, {}, time.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.departed.size());
        update_from_list(table, {listed(peer, 1)}, time.now());
        CPPUNIT_ASSERT(table.departed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_faults);

} // namespace
