// The tokens of a customer when the pool, or the division of the rate, changes:
// what was used is not issued a second time.

#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/token_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

class edge_token_pool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_token_pool);
    CPPUNIT_TEST(a_new_pool_has_no_tokens_in_stock);
    CPPUNIT_TEST(a_pool_keeps_its_tokens);
    CPPUNIT_TEST(a_rate_that_is_divided_anew_has_no_second_burst);
    CPPUNIT_TEST(the_pool_gets_no_second_burst_either);
    CPPUNIT_TEST(an_instance_without_an_answer_uses_its_own_part_only);
    CPPUNIT_TEST(a_pool_that_does_not_answer_is_replaced);
    CPPUNIT_TEST(an_instance_that_does_not_issue_keeps_what_it_has);
    CPPUNIT_TEST(demand_of_another_region_is_lent_what_is_not_needed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t instances = 60;
    static constexpr double rate = 100;
    static constexpr double burst = 50;
    // One token for each instance that is cut off.
    static constexpr int burst_of_pool = 50;

    const customer_id shop{"shop"};
    time_point now{std::chrono::hours(1)};
    steering::traffic_customer customer;
    std::vector<token_pool_state> fleet;

    // Divides the rate among this number of instances that may issue, of which
    // all but one are in touch.
    void adopt(std::size_t issuers, const instance_id& without = {})
    {
        std::vector<steering::fleet_member> peers;
        for (const auto& it : fleet)
            if (it.self != without)
                peers.push_back(
                    {it.self, failure_domain_id("oslo-a"), it.region, {}});
        for (auto& it : fleet)
            adopt_division(it, {&customer, 1}, {issuers, peers.size(), true},
                           peers, now);
    }

    token_pool_state& state_of(const instance_id& id)
    {
        return *std::ranges::find(fleet, id, &token_pool_state::self);
    }

    token_pool_state& pool()
    {
        auto& asking = fleet.front();
        if (take_token(asking, shop, now) != token_source::pool)
            return asking;
        return state_of(make_pool_request(asking, shop, now).pool);
    }

    std::uint32_t number() const
    {
        return customer_number(shop);
    }

    // Moves all spare tokens to their pools, and drops what a pool drops.
    void move_all()
    {
        for (auto& it : fleet)
            for (const auto& transfer : move_tokens(it, now).spare)
                for (const auto& item : transfer.items)
                    add_spare(pool(), item.customer, item.count);
    }

    // Moves tokens as often as instances do.
    void pass(int seconds)
    {
        for (int i = 0; i < seconds * 4; ++i)
        {
            now += milliseconds(250);
            move_all();
        }
    }

    int drain_pool(token_pool_state& it)
    {
        int count = 0;
        while (grant_tokens(it, number(), 1, now) == 1)
            ++count;
        return count;
    }

    // Takes all tokens that the instances have of their own.
    int drain_parts()
    {
        int count = 0;
        for (auto& it : fleet)
            while (take_token(it, shop, now) == token_source::taken)
                ++count;
        return count;
    }

public:
    void setUp() override
    {
        customer.id = shop;
        customer.rate = token_rate(rate);
        customer.burst = tokens(burst);
        fleet.clear();
        fleet.resize(instances);
        for (std::size_t i = 0; i < instances; ++i)
        {
            fleet[i].self = instance_id("edge-" + std::to_string(i));
            fleet[i].region = region_id("oslo");
        }
    }

    // Failure scenario: instances that were cut off from the store left the
    // fleet and returned. Each time the next pool granted a whole burst.
    void a_new_pool_has_no_tokens_in_stock()
    {
        adopt(instances);
        pass(60);
        auto& first = pool();
        drain_parts();
        CPPUNIT_ASSERT(drain_pool(first) <= burst_of_pool);
        adopt(instances, first.self);
        auto& second = pool();
        CPPUNIT_ASSERT(&second != &first);
        CPPUNIT_ASSERT_EQUAL(0, drain_pool(second));
        pass(60);
        CPPUNIT_ASSERT(drain_pool(second) >= burst_of_pool - 1);
        adopt(instances);
        CPPUNIT_ASSERT_EQUAL(0, drain_pool(first));
    }

    void a_pool_keeps_its_tokens()
    {
        adopt(instances);
        pass(60);
        adopt(instances);
        CPPUNIT_ASSERT(drain_pool(pool()) >= burst_of_pool - 1);
    }

    // Failure scenario: with fewer instances the parts were large enough to be
    // used by each instance, and each had a token in stock.
    void a_rate_that_is_divided_anew_has_no_second_burst()
    {
        adopt(instances);
        pass(60);
        drain_parts();
        drain_pool(pool());
        adopt(2);
        CPPUNIT_ASSERT_EQUAL(0, drain_parts());
    }

    void the_pool_gets_no_second_burst_either()
    {
        adopt(2);
        pass(60);
        drain_parts();
        drain_pool(pool());
        adopt(instances);
        CPPUNIT_ASSERT_EQUAL(0, drain_pool(pool()));
    }

    // Failure scenario: while the pool was frozen, each instance used a token
    // of its own part beside what the pool had granted.
    void an_instance_without_an_answer_uses_its_own_part_only()
    {
        adopt(instances);
        pass(60);
        drain_parts();
        drain_pool(pool());
        constexpr int seconds = 10;
        int taken = 0;
        for (int i = 0; i < seconds * 10; ++i)
        {
            now += milliseconds(100);
            for (auto& it : fleet)
            {
                const auto& options = it.options;
                for (int n = 0;
                     n < options.max_unanswered * options.max_silent_pools; ++n)
                {
                    const auto source = take_token(it, shop, now);
                    if (source == token_source::pool)
                        note_silence(it, make_pool_request(it, shop, now).pool,
                                     now);
                    taken += source == token_source::taken ? 1 : 0;
                }
            }
            taken += drain_parts();
        }
        CPPUNIT_ASSERT(taken > 0);
        // The first token of an instance may already be complete.
        CPPUNIT_ASSERT(taken <= rate * seconds + instances);
    }

    void a_pool_that_does_not_answer_is_replaced()
    {
        adopt(instances);
        pass(1);
        drain_parts();
        auto& asking = fleet.front();
        CPPUNIT_ASSERT(take_token(asking, shop, now) == token_source::pool);
        const auto first = make_pool_request(asking, shop, now).pool;
        note_silence(asking, first, now);
        // A datagram may have been lost.
        CPPUNIT_ASSERT(make_pool_request(asking, shop, now).pool == first);
        note_silence(asking, first, now);
        CPPUNIT_ASSERT(take_token(asking, shop, now) == token_source::pool);
        const auto second = make_pool_request(asking, shop, now).pool;
        CPPUNIT_ASSERT(second != first);
        // No other instance answers either: this one is cut off.
        note_silence(asking, second, now);
        note_silence(asking, second, now);
        CPPUNIT_ASSERT(take_token(asking, shop, now) != token_source::pool);
        CPPUNIT_ASSERT(move_tokens(asking, now).spare.empty());
        note_answer(asking, second);
        now += asking.options.suspicion_time;
        move_tokens(asking, now);
        CPPUNIT_ASSERT(take_token(asking, shop, now) == token_source::pool);
        CPPUNIT_ASSERT(make_pool_request(asking, shop, now).pool == first);
    }

    void an_instance_that_does_not_issue_keeps_what_it_has()
    {
        adopt(2);
        pass(60);
        for (auto& it : fleet)
            adopt_division(it, {&customer, 1}, {2, 1, false}, {}, now);
        CPPUNIT_ASSERT(drain_parts() > 0);
        pass(60);
        CPPUNIT_ASSERT_EQUAL(0, drain_parts());
    }

    void demand_of_another_region_is_lent_what_is_not_needed()
    {
        adopt(instances);
        pass(60);
        auto& it = pool();
        CPPUNIT_ASSERT_EQUAL(10U, lend_tokens(it, number(), 10, now));
        // Now the region has a demand of its own.
        for (int i = 0; i < 8; ++i)
        {
            for (int n = 0; n < 120; ++n)
                grant_tokens(it, number(), 1, now);
            pass(1);
        }
        CPPUNIT_ASSERT_EQUAL(0U, lend_tokens(it, number(), 100, now));
        CPPUNIT_ASSERT(grant_elsewhere(it, number(), now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_token_pool);

} // namespace
