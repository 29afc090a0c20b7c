// Tests rollout control: a faulty version gets only a small share and is rolled
// back on the results of the whole fleet, a good version completes within the
// ordered duration, and the record is written even if the first writer fails.

#include <parsleyplank/edge/rollout_control.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using steering::rollout_phase;

namespace
{

class edge_rollout : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_rollout);
    CPPUNIT_TEST(a_good_version_completes_within_the_duration);
    CPPUNIT_TEST(a_bad_version_is_rolled_back_and_stays_rejected);
    CPPUNIT_TEST(a_version_that_fails_under_load_is_stopped_soon);
    CPPUNIT_TEST(failures_of_all_versions_do_not_roll_back);
    CPPUNIT_TEST(a_version_without_responses_keeps_its_first_share);
    CPPUNIT_TEST(a_lost_write_is_repeated_and_writers_wait_by_rank);
    CPPUNIT_TEST(a_restarted_instance_resumes_the_rollout);
    CPPUNIT_TEST(old_versions_are_rejected_after_completion);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    static constexpr std::int64_t wall = 1'000'000;
    const service_id service{"parts"};
    const version_id target{"v2"};
    const rollout_control_options options{};

    rollout_table table;
    tally_table tallies;

    void order(std::uint64_t at = 5)
    {
        apply_order(table,
                    {service, target, milliseconds(12'000), revision(at)},
                    start);
    }

    std::vector<rollout_write> step(milliseconds after,
                                    std::size_t writer_rank = 0)
    {
        return step_rollouts(table, tallies, {{service, writer_rank}}, options,
                             start + after, wall + after.count());
    }

    // Applies the record of a write as if the store had confirmed it.
    void store(const rollout_write& write, std::uint64_t at)
    {
        apply_record(table, service, write.next, revision(at));
    }

    share_ppm share()
    {
        return policy_of(table[service], {version_id("v1"), target})
            .target_share;
    }

public:
    void a_good_version_completes_within_the_duration()
    {
        order();
        const auto first = step(milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        CPPUNIT_ASSERT(first.front().next.phase == rollout_phase::running);
        store(first.front(), 10);
        CPPUNIT_ASSERT(share().value <= 100'000);
        tallies[{service, target}] = {{40, 0, 0}, {400, 1, 0}};
        milliseconds at{500};
        std::vector<rollout_write> writes;
        for (; writes.empty() && at < milliseconds(12'000);
             at += milliseconds(500))
            writes = step(at);
        CPPUNIT_ASSERT(!writes.empty());
        CPPUNIT_ASSERT(writes.front().next.phase == rollout_phase::completed);
        CPPUNIT_ASSERT(writes.front().expected_revision == revision(10));
        CPPUNIT_ASSERT(at < milliseconds(11'500));
        CPPUNIT_ASSERT(share().value == ppm_total);
    }

    void a_bad_version_is_rolled_back_and_stays_rejected()
    {
        order();
        store(step(milliseconds(0)).front(), 10);
        tallies[{service, target}] = {{6, 7, 0}, {100, 1, 0}};
        const auto writes = step(milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes.size());
        CPPUNIT_ASSERT(writes.front().next.phase == rollout_phase::rolled_back);
        CPPUNIT_ASSERT(
            policy_of(table[service], {target}).rejected.contains(target));
        store(writes.front(), 11);
        // The next order must not readmit the faulty version.
        apply_order(
            table,
            {service, version_id("v3"), milliseconds(12'000), revision(20)},
            start);
        CPPUNIT_ASSERT(
            policy_of(table[service], {target}).rejected.contains(target));
    }

    // Failure scenario: a version fails only at a larger share. Judged on all
    // its responses, it was stopped after 500 requests, beyond its limit.
    void a_version_that_fails_under_load_is_stopped_soon()
    {
        order();
        store(step(milliseconds(0)).front(), 10);
        tallies[{service, target}] = {{300, 2, 0}, {2'200, 20, 0}};
        const auto grown = options.plan.trial_part * 12'000 + 100;
        CPPUNIT_ASSERT(step(milliseconds(static_cast<int>(grown))).empty());
        CPPUNIT_ASSERT(share() == options.plan.second_share);
        tallies[{service, target}] = {{318, 14, 0}, {2'260, 21, 0}};
        const auto writes = step(milliseconds(static_cast<int>(grown) + 500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), writes.size());
        CPPUNIT_ASSERT(writes.front().next.phase == rollout_phase::rolled_back);
    }

    // Failure scenario: the answers of servers of all versions are lost during
    // a rollout, so the target is not at fault.
    void failures_of_all_versions_do_not_roll_back()
    {
        order();
        store(step(milliseconds(0)).front(), 10);
        tallies[{service, target}] = {{20, 6, 0}, {250, 75, 0}};
        CPPUNIT_ASSERT(step(milliseconds(1'500)).empty());
        CPPUNIT_ASSERT(!table[service].fault);
    }

    void a_version_without_responses_keeps_its_first_share()
    {
        order();
        store(step(milliseconds(0)).front(), 10);
        CPPUNIT_ASSERT(step(milliseconds(9'000)).empty());
        CPPUNIT_ASSERT(share() == options.plan.first_share);
        const auto writes = step(milliseconds(11'600));
        CPPUNIT_ASSERT(writes.front().next.phase == rollout_phase::rolled_back);
    }

    void a_lost_write_is_repeated_and_writers_wait_by_rank()
    {
        order();
        CPPUNIT_ASSERT(step(milliseconds(0), 2).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             step(milliseconds(1'400), 2).size());
        CPPUNIT_ASSERT(step(milliseconds(1'500), 2).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             step(milliseconds(2'200), 2).size());
    }

    void a_restarted_instance_resumes_the_rollout()
    {
        order();
        apply_record(
            table, service,
            {revision(5), target, rollout_phase::running, {}, wall - 9'000},
            revision(10));
        tallies[{service, target}] = {{40, 0, 0}, {400, 1, 0}};
        step(milliseconds(0));
        CPPUNIT_ASSERT(share().value == ppm_total);
    }

    void old_versions_are_rejected_after_completion()
    {
        order();
        apply_record(table, service,
                     {revision(5), target, rollout_phase::completed, {}, wall},
                     revision(10));
        const auto policy =
            policy_of(table[service], {version_id("v1"), target});
        CPPUNIT_ASSERT(policy.rejected.contains(version_id("v1")));
        CPPUNIT_ASSERT(!policy.rejected.contains(target));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_rollout);

} // namespace
