// Guards staged rollouts: a faulty version is stopped soon after its fault
// appears, at any time and on any route, and gets few requests until then. A
// good version with random failures is not rolled back and is done in time. An
// abort works without the store.

#include <cppunit/extensions/HelperMacros.h>
#include <support/rollout_fleet.hpp>

using namespace parsleyplank;
using namespace parsleyplank::rollout;
using namespace std::chrono_literals;
using test::rollout_fleet;
using test::version_behaviour;

namespace
{

constexpr rollout_plan plan{600s, share_ppm{10'000}};
constexpr std::size_t fleet_size = 4;
const route_id write_route("write");

class rollout_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_faults);
    CPPUNIT_TEST(version_that_fails_at_once_gets_few_requests);
    CPPUNIT_TEST(version_that_fails_on_one_route_is_rolled_back);
    CPPUNIT_TEST(version_that_slows_down_under_load_is_rolled_back);
    CPPUNIT_TEST(version_that_fails_late_is_stopped_within_seconds);
    CPPUNIT_TEST(good_version_in_noise_is_done_in_time);
    CPPUNIT_TEST(abort_works_without_store_and_is_recorded_later);
    CPPUNIT_TEST(lost_abort_messages_do_not_prevent_roll_back);
    CPPUNIT_TEST(late_record_does_not_undo_roll_back);
    CPPUNIT_TEST(new_leader_continues_from_the_record);
    CPPUNIT_TEST(late_rollout_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void version_that_fails_at_once_gets_few_requests()
    {
        rollout_fleet fleet(fleet_size, 1, plan);
        const int ended = fleet.run(600,
                                    [](const auto&, auto, double) {
                                        return version_behaviour{1, 20};
                                    });
        CPPUNIT_ASSERT(fleet.stored.state == phase::rolled_back);
        // The number of requests that the first share gets in 30 s.
        CPPUNIT_ASSERT(ended <= 30);
        CPPUNIT_ASSERT(fleet.new_requests <= 4 * 40 * 30 / 100);
    }

    void version_that_fails_on_one_route_is_rolled_back()
    {
        rollout_fleet fleet(fleet_size, 2, plan);
        fleet.run(
            600,
            [](const route_id& route, auto, double) {
                return version_behaviour{route == write_route ? 0.5 : 0.01, 20};
            });
        CPPUNIT_ASSERT(fleet.stored.state == phase::rolled_back);
        CPPUNIT_ASSERT(fleet.stored.evidence.starts_with("route write: "));
    }

    void version_that_slows_down_under_load_is_rolled_back()
    {
        rollout_fleet fleet(fleet_size, 3, plan);
        fleet.run(600,
                  [](const auto&, auto, double share) {
                      return version_behaviour{0.01, share < 0.2 ? 20.0 : 80.0};
                  });
        CPPUNIT_ASSERT(fleet.stored.state == phase::rolled_back);
        CPPUNIT_ASSERT(fleet.stored.evidence.find("slow") != std::string::npos);
    }

    void version_that_fails_late_is_stopped_within_seconds()
    {
        rollout_fleet fleet(fleet_size, 4, plan);
        const int ended = fleet.run(
            600,
            [](const auto&, milliseconds since, double) {
                return version_behaviour{since > 300s ? 0.5 : 0.01, 20};
            });
        CPPUNIT_ASSERT(fleet.stored.state == phase::rolled_back);
        CPPUNIT_ASSERT(ended <= 305);
    }

    void good_version_in_noise_is_done_in_time()
    {
        for (std::uint64_t seed = 100; seed < 130; ++seed)
        {
            rollout_fleet fleet(2, seed, plan);
            fleet.old_version.fail_rate = 0.03;
            const int ended = fleet.run(600,
                                        [](const auto&, auto, double) {
                                            return version_behaviour{0.03, 20};
                                        });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                fleet.stored.evidence, std::string("done"),
                std::string(to_string(fleet.stored.state)));
            CPPUNIT_ASSERT(ended <= 600);
        }
    }

    void abort_works_without_store_and_is_recorded_later()
    {
        rollout_fleet fleet(fleet_size, 5, plan);
        fleet.store_down = true;
        fleet.run(60,
                  [](const auto&, auto, double) {
                      return version_behaviour{1, 20};
                  });
        CPPUNIT_ASSERT(fleet.stored.state == phase::running);
        for (const auto& s : fleet.instances)
            CPPUNIT_ASSERT(share_in_use(s) == share_ppm{0});
        const auto exposed = fleet.new_requests;
        fleet.store_down = false;
        fleet.run(2,
                  [](const auto&, auto, double) {
                      return version_behaviour{1, 20};
                  });
        CPPUNIT_ASSERT(fleet.stored.state == phase::rolled_back);
        CPPUNIT_ASSERT_EQUAL(exposed, fleet.new_requests);
    }

    void lost_abort_messages_do_not_prevent_roll_back()
    {
        rollout_fleet fleet(fleet_size, 6, plan);
        fleet.aborts_lost = true;
        const int ended = fleet.run(600,
                                    [](const auto&, auto, double) {
                                        return version_behaviour{1, 20};
                                    });
        CPPUNIT_ASSERT(fleet.stored.state == phase::rolled_back);
        CPPUNIT_ASSERT(ended <= 30);
    }

    void late_record_does_not_undo_roll_back()
    {
        rollout_fleet fleet(1, 7, plan);
        auto& s = fleet.instances.front();
        const auto first = s.record;
        abort_rollout(s, "seen by a peer");
        const auto back = *next_record(s, false, {}, fleet.time.now(), 0);
        take_record(s, back, fleet.time.now());
        take_record(s, first, fleet.time.now());
        CPPUNIT_ASSERT(s.record.state == phase::rolled_back);
        CPPUNIT_ASSERT(share_in_use(s) == share_ppm{0});
    }

    void new_leader_continues_from_the_record()
    {
        rollout_fleet fleet(fleet_size, 8, plan);
        const auto good = [](const auto&, auto, double)
        {
            return version_behaviour{0.01, 20};
        };
        for (int t = 1; t <= 200; ++t)
            fleet.step(milliseconds(t * 1'000), 0, good);
        const auto share = fleet.stored.share;
        CPPUNIT_ASSERT(share > plan.first_share);
        for (int t = 201; t <= 300; ++t)
            fleet.step(milliseconds(t * 1'000), 1, good);
        CPPUNIT_ASSERT(fleet.stored.share > share);
    }

    void late_rollout_is_reported()
    {
        rollout_fleet fleet(1, 9, plan);
        auto& s = fleet.instances.front();
        const auto next = next_record(s, true, {}, fleet.time.now(), 600'001);
        CPPUNIT_ASSERT(next && next->late);
        CPPUNIT_ASSERT(next->state == phase::running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_faults);

} // namespace
