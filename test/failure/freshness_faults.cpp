// Guards the rule that decides whether an instance may act on the state that it
// holds. A withdrawn key must stop working within the bound on an instance that
// is disconnected, paused or behind, and an outage of the store must not stop
// the service.

#include <parsleyplank/freshness/freshness.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/manual_clock.hpp>

#include <string>

using namespace parsleyplank;
using namespace parsleyplank::freshness;
using namespace std::chrono_literals;

namespace
{

const instance_id store_side_a("doto-1");
const instance_id store_side_b("doto-2");
const instance_id far_peer("doo-1");

class freshness_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(freshness_faults);
    CPPUNIT_TEST(new_instance_is_stale_until_confirmed);
    CPPUNIT_TEST(instance_cut_off_from_all_goes_stale_after_bound);
    CPPUNIT_TEST(paused_instance_is_stale_on_resume);
    CPPUNIT_TEST(confirmation_counts_from_start_of_round);
    CPPUNIT_TEST(relayed_age_counts_from_ping);
    CPPUNIT_TEST(ages_grow_around_a_cycle_of_cut_off_peers);
    CPPUNIT_TEST(store_down_for_an_hour_is_attested);
    CPPUNIT_TEST(majority_without_store_region_does_not_attest);
    CPPUNIT_TEST(one_store_side_peer_that_reaches_store_blocks_attestation);
    CPPUNIT_TEST(stale_reads_do_not_count_as_outage);
    CPPUNIT_TEST(dead_store_region_leaves_list_and_attests);
    CPPUNIT_TEST(empty_region_in_old_list_does_not_attest);
    CPPUNIT_TEST(attestation_ends_with_its_oldest_evidence);
    CPPUNIT_TEST(newer_epoch_at_a_peer_blocks_attestation);
    CPPUNIT_TEST(newer_epoch_is_not_confirmed_until_adopted);
    CPPUNIT_TEST(late_pong_does_not_replace_newer_report);
    CPPUNIT_TEST(held_epoch_never_goes_back);
    CPPUNIT_TEST_SUITE_END();

    test::manual_clock time;
    state s;

    void confirm(known_epochs newest)
    {
        start_round(s, time.now());
        finish_round(s, round_outcome::confirmed, newest);
    }

    void fail_rounds(int n)
    {
        for (int i = 0; i < n; ++i)
        {
            start_round(s, time.now());
            finish_round(s, round_outcome::no_answer);
        }
    }

    void pong(const instance_id& peer, bool reachable,
              known_epochs held = {epoch(5), epoch(1)})
    {
        record_pong(s, peer, time.now(), {held, std::nullopt, reachable});
    }

    // Holds epoch 5, confirmed now, with two instances in the store's region.
    void start_confirmed()
    {
        record_held_epochs(s, {epoch(5), epoch(1)});
        record_instance_list(s, time.now(), {store_side_a, store_side_b},
                             false);
        confirm({epoch(5), epoch(1)});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::confirmed);
    }

public:
    void new_instance_is_stale_until_confirmed()
    {
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        record_held_epochs(s, {epoch(5), epoch(1)});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        confirm({epoch(5), epoch(1)});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::confirmed);
    }

    void instance_cut_off_from_all_goes_stale_after_bound()
    {
        start_confirmed();
        time.advance(s.bounds.bound);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::confirmed);
        fail_rounds(3);
        time.advance(1ms);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        CPPUNIT_ASSERT_EQUAL(
            std::string("outage not attested by: doto-1 doto-2"),
            explain_stale(s, time.now()));
    }

    void paused_instance_is_stale_on_resume()
    {
        start_confirmed();
        pong(store_side_a, false);
        pong(store_side_b, false);
        fail_rounds(2);
        time.advance(1h);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void confirmation_counts_from_start_of_round()
    {
        record_held_epochs(s, {epoch(5), epoch(1)});
        start_round(s, time.now());
        time.advance(2900ms);
        finish_round(s, round_outcome::confirmed, {epoch(5), epoch(1)});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::confirmed);
        time.advance(101ms);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void relayed_age_counts_from_ping()
    {
        record_held_epochs(s, {epoch(5), epoch(1)});
        const auto pinged_at = time.now();
        time.advance(1s);
        record_pong(s, far_peer, pinged_at,
                    {{epoch(5), epoch(1)}, 1500ms, true});
        CPPUNIT_ASSERT(confirmation_age(s, time.now()) == 2500ms);
        time.advance(501ms);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void ages_grow_around_a_cycle_of_cut_off_peers()
    {
        start_confirmed();
        state other;
        record_held_epochs(other, s.held);
        for (int i = 0; i < 100; ++i)
        {
            record_pong(other, far_peer, time.now(),
                        make_report(s, time.now()));
            time.advance(100ms);
            record_pong(s, far_peer, time.now(),
                        make_report(other, time.now()));
        }
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        CPPUNIT_ASSERT(evaluate(other, time.now()) == verdict::stale);
    }

    void store_down_for_an_hour_is_attested()
    {
        start_confirmed();
        for (auto until = time.now() + 1h; time.now() < until; time.advance(1s))
        {
            fail_rounds(1);
            record_instance_list(s, time.now(), {store_side_a, store_side_b},
                                 false);
            pong(store_side_a, false);
            pong(store_side_b, false);
            CPPUNIT_ASSERT(evaluate(s, time.now()) != verdict::stale);
        }
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::outage_attested);
    }

    void majority_without_store_region_does_not_attest()
    {
        start_confirmed();
        time.advance(4s);
        fail_rounds(3);
        for (int i = 0; i < 8; ++i)
            pong(instance_id("far-" + std::to_string(i)), false);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        pong(store_side_a, false);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        pong(store_side_b, false);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::outage_attested);
    }

    void one_store_side_peer_that_reaches_store_blocks_attestation()
    {
        start_confirmed();
        time.advance(4s);
        fail_rounds(3);
        pong(store_side_a, false);
        pong(store_side_b, true);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void stale_reads_do_not_count_as_outage()
    {
        start_confirmed();
        time.advance(4s);
        for (int i = 0; i < 3; ++i)
        {
            start_round(s, time.now());
            finish_round(s, round_outcome::stale_read);
        }
        pong(store_side_a, false);
        pong(store_side_b, false);
        CPPUNIT_ASSERT(make_report(s, time.now()).store_reachable);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void dead_store_region_leaves_list_and_attests()
    {
        start_confirmed();
        time.advance(4s);
        fail_rounds(3);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        record_instance_list(s, time.now(), {}, false);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::outage_attested);
    }

    void empty_region_in_old_list_does_not_attest()
    {
        start_confirmed();
        record_instance_list(s, time.now(), {}, false);
        time.advance(s.bounds.bound + 1ms);
        fail_rounds(3);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void attestation_ends_with_its_oldest_evidence()
    {
        start_confirmed();
        time.advance(4s);
        fail_rounds(2);
        pong(store_side_a, false);
        const auto oldest = time.now();
        time.advance(1s);
        fail_rounds(1);
        pong(store_side_b, false);
        CPPUNIT_ASSERT(fresh_until(s, time.now()) == oldest + s.bounds.bound);
        time.advance(s.bounds.bound);
        CPPUNIT_ASSERT(!fresh_until(s, time.now()));
    }

    void newer_epoch_at_a_peer_blocks_attestation()
    {
        start_confirmed();
        time.advance(4s);
        fail_rounds(3);
        pong(store_side_a, false, {epoch(6), epoch(1)});
        pong(store_side_b, false);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        record_held_epochs(s, {epoch(6), epoch(1)});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::outage_attested);
    }

    void newer_epoch_is_not_confirmed_until_adopted()
    {
        start_confirmed();
        time.advance(2s);
        confirm({epoch(6), epoch(1)});
        time.advance(1001ms);
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
        record_held_epochs(s, {epoch(6), epoch(1)});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::confirmed);
    }

    void late_pong_does_not_replace_newer_report()
    {
        start_confirmed();
        const auto early = time.now();
        time.advance(4s);
        fail_rounds(3);
        pong(store_side_a, false);
        pong(store_side_b, true);
        record_pong(s, store_side_b, early, {s.held, std::nullopt, false});
        CPPUNIT_ASSERT(evaluate(s, time.now()) == verdict::stale);
    }

    void held_epoch_never_goes_back()
    {
        start_confirmed();
        record_held_epochs(s, {epoch(4), epoch(9)});
        CPPUNIT_ASSERT(s.held == (known_epochs{epoch(5), epoch(9)}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_faults);

} // namespace
