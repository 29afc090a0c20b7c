// Guards the fleet-wide limit: in no window T may the admissions of all
// instances exceed rate * T + burst, despite network faults, pauses, kills and
// changes of the share table. Demand exceeds the rate and its hot spot moves,
// so that a token that is counted twice becomes visible.

#include "support/quota_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::test;
using std::chrono::seconds;

namespace
{

class quota_fleet_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_fleet_faults);
    CPPUNIT_TEST(window_checker_finds_one_request_too_many);
    CPPUNIT_TEST(lost_repeated_and_reordered_messages);
    CPPUNIT_TEST(pauses_of_borrowers_and_lenders);
    CPPUNIT_TEST(kills_and_restarts);
    CPPUNIT_TEST(share_of_a_paused_instance_is_reclaimed);
    CPPUNIT_TEST(killed_borrower_does_not_starve_the_others);
    CPPUNIT_TEST(limits_change_under_load);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t count = 5;

    static std::vector<customer_limits> limits()
    {
        return {{customer_id("large"), token_rate(200), tokens(100)},
                {customer_id("small"), token_rate(20), tokens(10)}};
    }

    // Offers 1.5 times the rate for the given time. 70% of it arrives at one
    // instance, which changes every 2 s.
    static void offer(quota_fleet& fleet, seconds length)
    {
        const auto start = fleet.now;
        for (std::size_t c = 0; c < fleet.customers.size(); ++c)
        {
            const double rate = fleet.customers[c].rate.value * 1.5;
            const auto requests =
                static_cast<int>(rate * static_cast<double>(length.count()));
            for (int n = 0; n < requests; ++n)
            {
                const auto t = std::chrono::duration<double>(n / rate);
                const auto hot = static_cast<std::size_t>(t.count() / 2);
                const auto i = fleet.random() % 10 < 7 ? hot % count
                                                       : fleet.random() % count;
                fleet.at(
                    start + std::chrono::duration_cast<time_point::duration>(t),
                    [&fleet, i, c] { fleet.request(i, c); });
            }
        }
        fleet.run_until(start + length + seconds(1));
    }

    static void check(const quota_fleet& fleet)
    {
        // Lost tokens hide some errors from the window check. The sums over all
        // buckets do not depend on admissions and show them.
        CPPUNIT_ASSERT_MESSAGE("buckets sum to " +
                                   std::to_string(fleet.largest_usage),
                               fleet.largest_usage <= 1 + 1e-6);
        for (std::size_t c = 0; c < fleet.customers.size(); ++c)
        {
            const auto use = fleet.window_usage_of(c);
            CPPUNIT_ASSERT_MESSAGE(fleet.id_of(c).value + " used " +
                                       std::to_string(use) + " of its burst",
                                   use <= 1 + 1e-6);
        }
    }

public:
    void window_checker_finds_one_request_too_many()
    {
        const time_point start{};
        std::vector<time_point> trace(10, start);
        trace.push_back(start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1.0,
                             window_usage(trace, token_rate(10), tokens(10)));
        trace.push_back(start + milliseconds(199));
        CPPUNIT_ASSERT(window_usage(trace, token_rate(10), tokens(10)) > 1);
    }

    void lost_repeated_and_reordered_messages()
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            quota_fleet fleet(count, limits(), {}, seed);
            fleet.faults = {0.1, 0.4, milliseconds(700)};
            fleet.run_until(fleet.now + seconds(2));
            offer(fleet, seconds(20));
            check(fleet);
        }
    }

    void pauses_of_borrowers_and_lenders()
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            quota_fleet fleet(count, limits(), {}, seed);
            fleet.run_until(fleet.now + seconds(2));
            for (int n = 0; n < 12; ++n)
                fleet.at(fleet.now + milliseconds(1'500 * n + 300),
                         [&fleet, n]
                         {
                             const milliseconds length(200 +
                                                       fleet.random() % 4'000);
                             fleet.pause(n % count, length);
                         });
            offer(fleet, seconds(20));
            check(fleet);
        }
    }

    void kills_and_restarts()
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            quota_fleet fleet(count, limits(), {}, seed);
            fleet.faults = {0.05, 0.2, milliseconds(300)};
            fleet.run_until(fleet.now + seconds(2));
            for (std::size_t n = 0; n < 4; ++n)
                fleet.at(fleet.now + milliseconds(1'700 * n + 900),
                         [&fleet, n]
                         {
                             fleet.kill(n);
                             fleet.start(n);
                         });
            offer(fleet, seconds(15));
            check(fleet);
        }
    }

    // Instance 4 is paused and its share is reclaimed. It gets half of the
    // share back before it resumes with a backlog of requests, and must start
    // empty.
    void share_of_a_paused_instance_is_reclaimed()
    {
        quota_fleet fleet(count, limits(), {}, 1);
        fleet.run_until(fleet.now + seconds(2));
        const auto paused = fleet.member_at(4);
        const auto start = fleet.now;
        fleet.at(start + seconds(1), [&] { fleet.pause(4, seconds(20)); });
        reclaim_watch watch;
        for (int n = 2; n < 19; ++n)
            fleet.at(start + seconds(n),
                     [&] { reclaim(fleet, paused, watch); });
        fleet.at(
            start + seconds(19),
            [&]
            {
                const std::vector<donation> back{{paused, share_ppm{100'000}}};
                fleet.table =
                    prepare_donations(fleet.nodes[0].state, back, fleet.now)
                        .value_or(fleet.table);
            });
        offer(fleet, seconds(30));
        CPPUNIT_ASSERT(usable_share(fleet.table, fleet.member_at(0)).value >
                       100'000);
        check(fleet);
    }

    // Loans to a killed instance are lost for their duration. The other
    // instances must still admit requests from the rate that they kept.
    void killed_borrower_does_not_starve_the_others()
    {
        quota_fleet fleet(count, limits(), {}, 1);
        fleet.run_until(fleet.now + seconds(3));
        for (int n = 0; n < 150; ++n)
            fleet.at(fleet.now + milliseconds(20 * n),
                     [&fleet] { fleet.request(0, 0); });
        fleet.run_until(fleet.now + seconds(3));
        const auto before = fleet.admitted(0).size();
        fleet.kill(0);
        for (std::size_t i = 1; i < count; ++i)
            fleet.request(i, 0);
        fleet.run_until(fleet.now + seconds(1));
        CPPUNIT_ASSERT_EQUAL(before + count - 1, fleet.admitted(0).size());
    }

    void limits_change_under_load()
    {
        quota_fleet fleet(count, limits(), {}, 1);
        fleet.run_until(fleet.now + seconds(2));
        offer(fleet, seconds(6));
        // Capacity added by raised limits starts empty, so the old burst still
        // bounds the admissions.
        const auto old = fleet.customers;
        for (auto& it : fleet.customers)
            it = {it.customer, it.rate, it.burst * 4};
        for (auto& it : fleet.nodes)
            set_customers(it.state, fleet.customers, fleet.now);
        offer(fleet, seconds(1));
        CPPUNIT_ASSERT(window_usage(fleet.admitted(0), old[0].rate,
                                    old[0].burst) <= 1 + 1e-6);
        // Lowered limits hold once the loans made before have ended.
        for (std::size_t c = 0; c < old.size(); ++c)
            fleet.customers[c] = {old[c].customer, old[c].rate * 0.5,
                                  old[c].burst * 0.5};
        for (auto& it : fleet.nodes)
            set_customers(it.state, fleet.customers, fleet.now);
        fleet.run_until(fleet.now + fleet.config.loan_duration);
        fleet.records.clear();
        fleet.largest_usage = 0;
        offer(fleet, seconds(8));
        check(fleet);
    }

private:
    // Runs one round of a reclaimer that reaches the store and does not find
    // the paused instance in the platform's list.
    static void reclaim(quota_fleet& fleet, const member& paused,
                        reclaim_watch& watch)
    {
        auto listed = fleet.live();
        std::erase(listed, paused);
        const auto wait =
            reclaim_wait(fleet.config.freshness_bound, milliseconds(500));
        for (const auto& it : update_reclaim_watch(watch, fleet.table, listed,
                                                   true, wait, fleet.now))
            fleet.table = it.action == reclaim_action::revoke
                              ? revoke(fleet.table, it.holder)
                              : redistribute(fleet.table, it.holder, listed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_fleet_faults);

} // namespace
