// Tests the records of an instance when the store comes back from an older copy
// in its next era: what was acknowledged before holds.

#include <parsleyplank/edge/rate_roster.hpp>
#include <parsleyplank/edge/rollout_control.hpp>
#include <parsleyplank/edge/store_restore.hpp>
#include <parsleyplank/store/store_era.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using steering::rollout_phase;

namespace
{

revision in_era(std::uint64_t era, std::uint64_t number)
{
    return store::with_era(era, number);
}

class edge_restored_records : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_restored_records);
    CPPUNIT_TEST(a_completed_rollout_is_written_again_and_not_repeated);
    CPPUNIT_TEST(an_order_that_is_written_again_goes_on);
    CPPUNIT_TEST(a_new_instance_takes_the_copied_record_for_the_copied_order);
    CPPUNIT_TEST(a_rejected_version_stays_rejected);
    CPPUNIT_TEST(a_part_whose_record_is_lost_stays_reserved);
    CPPUNIT_TEST(an_issuing_instance_writes_its_lost_record_without_a_wait);
    CPPUNIT_TEST(a_departed_server_returns_only_with_a_report);
    CPPUNIT_TEST(missing_orders_hold_until_they_are_written_again);
    CPPUNIT_TEST_SUITE_END();

    const time_point now{std::chrono::hours(1)};
    const service_id service{"parts"};
    const version_id target{"v2"};
    rollout_table table;

    void order(revision at)
    {
        apply_order(table, {service, target, milliseconds(12'000), at}, now);
    }

    void record(rollout_phase phase, revision ordered, revision at)
    {
        rollout_record it;
        it.ordered = ordered;
        it.target = target;
        it.phase = phase;
        if (phase == rollout_phase::rolled_back)
            it.rejected.insert(target);
        apply_record(table, service, it, at);
    }

    std::vector<rollout_write> step(milliseconds after)
    {
        return step_rollouts(table, {}, {}, {}, now + after, 1'000'000);
    }

    bool sends_all_to_target()
    {
        return policy_of(table[service], {version_id("v1"), target})
            .rejected.contains(version_id("v1"));
    }

public:
    void a_completed_rollout_is_written_again_and_not_repeated()
    {
        order(in_era(1, 5));
        record(rollout_phase::completed, in_era(1, 5), in_era(1, 9));
        note_restored_store(table);
        order(in_era(2, 5));
        record(rollout_phase::running, in_era(1, 5), in_era(2, 7));
        CPPUNIT_ASSERT(sends_all_to_target());
        const auto writes = step(milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes.size());
        CPPUNIT_ASSERT(writes.front().next.phase == rollout_phase::completed);
        CPPUNIT_ASSERT(writes.front().expected_revision == in_era(2, 7));
        apply_record(table, service, writes.front().next, in_era(2, 8));
        CPPUNIT_ASSERT(step(milliseconds(9'000)).empty());
        CPPUNIT_ASSERT(sends_all_to_target());
    }

    void an_order_that_is_written_again_goes_on()
    {
        order(in_era(1, 5));
        record(rollout_phase::completed, in_era(1, 5), in_era(1, 9));
        note_restored_store(table);
        order(in_era(2, 4));
        CPPUNIT_ASSERT(sends_all_to_target());
        const auto writes = step(milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes.size());
        CPPUNIT_ASSERT(writes.front().next.ordered == in_era(2, 4));
        CPPUNIT_ASSERT(writes.front().expected_revision == revision(0));
    }

    void a_new_instance_takes_the_copied_record_for_the_copied_order()
    {
        order(in_era(2, 5));
        record(rollout_phase::completed, in_era(1, 5), in_era(2, 7));
        CPPUNIT_ASSERT(sends_all_to_target());
        CPPUNIT_ASSERT(step(milliseconds(5'000)).empty());
    }

    void a_rejected_version_stays_rejected()
    {
        order(in_era(1, 5));
        record(rollout_phase::rolled_back, in_era(1, 5), in_era(1, 9));
        note_restored_store(table);
        record(rollout_phase::running, in_era(1, 5), in_era(2, 7));
        CPPUNIT_ASSERT(
            policy_of(table[service], {target}).rejected.contains(target));
    }

    // Guards against a rate that is issued twice: the part of a member that
    // joined after the copy was made would be divided among the others.
    void a_part_whose_record_is_lost_stays_reserved()
    {
        rate_roster roster;
        roster.self = instance_id("a");
        for (const auto* id : {"a", "b", "c"})
            put_roster_member(roster, instance_id(id), {1}, in_era(1, 7), now);
        restore_roster_members(roster, {instance_id("a"), instance_id("b")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), count_issuers(roster));
        retain_roster_members(roster, {instance_id("a"), instance_id("b")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), count_issuers(roster));
        put_roster_member(roster, instance_id("c"), {1}, in_era(2, 8), now);
        retain_roster_members(roster, {instance_id("a"), instance_id("b")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_issuers(roster));
    }

    void an_issuing_instance_writes_its_lost_record_without_a_wait()
    {
        rate_roster roster;
        roster.self = instance_id("a");
        roster.started_ms = 1;
        put_roster_member(roster, instance_id("a"), {1}, in_era(1, 7), now);
        roster.phase = issuing_phase::issuing;
        restore_roster_members(roster, {});
        const auto write = next_roster_write(roster);
        CPPUNIT_ASSERT(write && write->restores);
        CPPUNIT_ASSERT(write->expected == revision(0));
        note_roster_write(roster, *write, now);
        CPPUNIT_ASSERT(roster.phase == issuing_phase::issuing);
        CPPUNIT_ASSERT(!next_roster_write(roster));
    }

    void a_departed_server_returns_only_with_a_report()
    {
        steering::server_registry servers;
        steering::backend_server it;
        it.id = backend_server_id("s-1");
        it.started_ms = 10;
        it.sequence = 4;
        steering::put_server(servers, it);
        steering::remove_server(servers, it.id, now, now);
        servers.ignores_departed = true;
        CPPUNIT_ASSERT(!steering::put_server(servers, it));
        servers.ignores_departed = false;
        CPPUNIT_ASSERT(steering::put_server(servers, it));
        servers.ignores_departed = true;
        CPPUNIT_ASSERT(!steering::put_server(servers, it));
        CPPUNIT_ASSERT(servers.servers.contains(it.id));
    }

    // Guards against an evacuation that ends because the copy lacks its order.
    void missing_orders_hold_until_they_are_written_again()
    {
        store_restore state;
        CPPUNIT_ASSERT(is_restored(in_era(2, 5), in_era(1, 9)));
        CPPUNIT_ASSERT(!is_restored(in_era(2, 5), revision(0)));
        CPPUNIT_ASSERT(!hold_order(state, "evacuate/a", now));
        begin_hold(state, now);
        CPPUNIT_ASSERT(hold_order(state, "evacuate/a", now));
        CPPUNIT_ASSERT(hold_order(state, "evacuate/b", now));
        release_order(state, "evacuate/a");
        CPPUNIT_ASSERT(expired_orders(state, now).empty());
        const auto expired = expired_orders(state, now + state.hold);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
        CPPUNIT_ASSERT_EQUAL(std::string("evacuate/b"), expired.front());
        CPPUNIT_ASSERT(expired_orders(state, now + state.hold).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_restored_records);

} // namespace
