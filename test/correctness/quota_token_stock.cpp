// Tests the part of a customer's rate that an instance issues, and its stock of
// tokens, in fleets of 10, 60 and 300 instances.

#include <parsleyplank/quota/token_stock.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace parsleyplank;
using namespace parsleyplank::quota;

namespace
{

class quota_token_stock : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_token_stock);
    CPPUNIT_TEST(parts_sum_to_the_rate_and_the_burst);
    CPPUNIT_TEST(a_small_part_is_left_to_the_pool);
    CPPUNIT_TEST(a_pool_has_a_whole_token_of_any_rate);
    CPPUNIT_TEST(tokens_are_issued_at_the_rate);
    CPPUNIT_TEST(a_pause_adds_no_more_than_the_burst);
    CPPUNIT_TEST(a_new_part_adds_no_tokens);
    CPPUNIT_TEST(an_instance_that_may_not_issue_issues_nothing);
    CPPUNIT_TEST(tokens_beyond_the_demand_are_spare);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<std::size_t, 3> sizes{10, 60, 300};
    static constexpr double tolerance = 1e-6;
    time_point now{std::chrono::hours(1)};

    // Takes tokens for the given number of seconds as soon as there are any.
    int take_for(token_stock& stock, int seconds, bool is_pool)
    {
        int count = 0;
        for (int i = 0; i < seconds * 100; ++i)
        {
            now += milliseconds(10);
            while (take(stock, is_pool, now))
                ++count;
        }
        return count;
    }

public:
    void parts_sum_to_the_rate_and_the_burst()
    {
        for (const auto size : sizes)
            for (const double rate : {5.0, 300.0, 6'000.0})
            {
                const auto part = divide_rate(token_rate(rate), tokens(rate),
                                              {size, 1, true});
                const auto n = static_cast<double>(size);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(rate, part.rate.value * n,
                                             tolerance);
                // One pool for each third of the fleet.
                const auto region = divide_rate(token_rate(rate), tokens(rate),
                                                {size, size / 3, true});
                const auto in_stock =
                    region.own_burst.value * n + region.pool_burst.value * 3;
                CPPUNIT_ASSERT(in_stock <= rate + 3);
            }
    }

    void a_small_part_is_left_to_the_pool()
    {
        const auto part =
            divide_rate(token_rate(5), tokens(5), {300, 100, true});
        CPPUNIT_ASSERT_EQUAL(0.0, part.own_burst.value);
        CPPUNIT_ASSERT(
            divide_rate(token_rate(6'000), tokens(6'000), {300, 100, true})
                .own_burst.value >= 1);
    }

    void a_pool_has_a_whole_token_of_any_rate()
    {
        for (const auto size : sizes)
        {
            const auto part =
                divide_rate(token_rate(0.1), tokens(0.1), {size, 1, true});
            auto stock = make_stock(part, 0, now);
            now += std::chrono::hours(24);
            CPPUNIT_ASSERT(take(stock, true, now));
            CPPUNIT_ASSERT(!take(stock, true, now));
        }
    }

    void tokens_are_issued_at_the_rate()
    {
        for (const double rate : {0.5, 3.0, 30.0})
            for (const bool is_pool : {false, true})
            {
                const auto part =
                    divide_rate(token_rate(rate), tokens(rate), {1, 1, true});
                auto stock = make_stock(part, 0, now);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(rate * 20,
                                             take_for(stock, 20, is_pool), 1);
            }
    }

    void a_pause_adds_no_more_than_the_burst()
    {
        const auto part = divide_rate(token_rate(30), tokens(30), {1, 1, true});
        auto stock = make_stock(part, 0, now);
        now += std::chrono::hours(1);
        int count = 0;
        while (take(stock, true, now))
            ++count;
        CPPUNIT_ASSERT(count <= 30);
    }

    void a_new_part_adds_no_tokens()
    {
        const auto part =
            divide_rate(token_rate(30), tokens(30), {10, 1, true});
        auto stock = make_stock(part, 0, now);
        set_part(stock, divide_rate(token_rate(30), tokens(30), {1, 1, true}),
                 now);
        CPPUNIT_ASSERT(!take(stock, true, now));
    }

    void an_instance_that_may_not_issue_issues_nothing()
    {
        const auto part =
            divide_rate(token_rate(30), tokens(30), {10, 1, false});
        auto stock = make_stock(part, 0.5, now);
        CPPUNIT_ASSERT_EQUAL(0, take_for(stock, 60, true));
    }

    void tokens_beyond_the_demand_are_spare()
    {
        const auto part =
            divide_rate(token_rate(100), tokens(100), {10, 3, true});
        auto stock = make_stock(part, 0, now);
        std::uint32_t spare = 0;
        for (int i = 0; i < 240; ++i)
        {
            now += milliseconds(250);
            refill(stock, false, now);
            spare += take_spare(stock, 0);
        }
        // The instance keeps its own burst.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600 - part.own_burst.value, spare, 1);
        // Tokens that were moved here are used or moved back.
        stock.own += tokens(20);
        CPPUNIT_ASSERT_EQUAL(20U, take_spare(stock, 0));
        stock.own += tokens(20);
        CPPUNIT_ASSERT(take_spare(stock, 25) < 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_token_stock);

} // namespace
