// The tokens of a customer with a small rate when the instance that holds them,
// or the way in which the rate is divided, changes.

#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/traffic_state.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

class edge_token_holder : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_token_holder);
    CPPUNIT_TEST(a_new_holder_has_no_tokens_in_stock);
    CPPUNIT_TEST(a_holder_keeps_its_tokens);
    CPPUNIT_TEST(a_rate_that_is_divided_anew_has_no_second_burst);
    CPPUNIT_TEST(the_region_gets_no_second_burst_either);
    CPPUNIT_TEST(an_instance_without_an_answer_keeps_its_part);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int instances = 60;
    static constexpr double rate = 100;
    static constexpr double burst = 50;

    const customer_id shop{"shop"};
    time_point now{std::chrono::hours(1)};
    steering::traffic_customer customer;
    std::vector<traffic_state> fleet;

    // Returns the snapshot of a fleet of one region; the tokens are held by one
    // instance, or divided among all.
    snapshot_ptr make_snapshot(bool held, const instance_id& without = {}) const
    {
        auto next = std::make_shared<steering_snapshot>();
        for (const auto& it : fleet)
            if (it.config.id != without)
                next->members.push_back({it.config.id,
                                         failure_domain_id("oslo-a"),
                                         region_id("oslo"),
                                         {}});
        next->shares[shop] = {token_rate(rate / instances), tokens(1)};
        if (held)
            next->region_shares[shop] = {token_rate(rate), tokens(burst)};
        return next;
    }

    void adopt(const snapshot_ptr& next)
    {
        for (auto& it : fleet)
            adopt_snapshot(it, next, now);
    }

    traffic_state& holder()
    {
        const auto id = token_holder_of(fleet.front(), shop)->id;
        return *std::ranges::find_if(fleet, [&](const traffic_state& it)
                                     { return it.config.id == id; });
    }

    // Takes all tokens of the region that the instance holds.
    int drain(traffic_state& it) const
    {
        int count = 0;
        while (take_region_token(it, customer_number(shop), now))
            ++count;
        return count;
    }

    // Takes all tokens of the instances' own parts.
    int drain_parts()
    {
        int count = 0;
        for (auto& it : fleet)
            while (take_quota(it, customer, now))
                ++count;
        return count;
    }

    void pass(int seconds)
    {
        now += std::chrono::seconds(seconds);
    }

public:
    void setUp() override
    {
        customer.id = shop;
        customer.rate = token_rate(rate);
        fleet.resize(instances);
        for (int i = 0; i < instances; ++i)
        {
            auto& config = fleet[static_cast<std::size_t>(i)].config;
            config.id = instance_id("edge-" + std::to_string(i));
            config.region = region_id("oslo");
        }
    }

    // Failure scenario: instances that were cut off from the store left the
    // fleet and returned. Each time the next holder granted a whole burst.
    void a_new_holder_has_no_tokens_in_stock()
    {
        adopt(make_snapshot(true));
        pass(60);
        auto& first = holder();
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(burst), drain(first));
        adopt(make_snapshot(true, first.config.id));
        auto& second = holder();
        CPPUNIT_ASSERT(&second != &first);
        CPPUNIT_ASSERT_EQUAL(0, drain(second));
        pass(60);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(burst), drain(second));
        adopt(make_snapshot(true));
        CPPUNIT_ASSERT_EQUAL(0, drain(first));
    }

    void a_holder_keeps_its_tokens()
    {
        adopt(make_snapshot(true));
        pass(60);
        adopt(make_snapshot(true));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(burst), drain(holder()));
    }

    // Failure scenario: with fewer live instances the rate was large enough to
    // be divided among them, and each had a token in stock.
    void a_rate_that_is_divided_anew_has_no_second_burst()
    {
        adopt(make_snapshot(true));
        pass(60);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(burst), drain(holder()));
        adopt(make_snapshot(false));
        CPPUNIT_ASSERT_EQUAL(0, drain_parts());
    }

    void the_region_gets_no_second_burst_either()
    {
        adopt(make_snapshot(false));
        pass(60);
        drain_parts();
        adopt(make_snapshot(true));
        CPPUNIT_ASSERT_EQUAL(0, drain(holder()));
    }

    // When the holder does not answer, each instance uses its part of the rate.
    void an_instance_without_an_answer_keeps_its_part()
    {
        adopt(make_snapshot(true));
        pass(60);
        adopt(make_snapshot(true));
        CPPUNIT_ASSERT_EQUAL(instances, drain_parts());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_token_holder);

} // namespace
