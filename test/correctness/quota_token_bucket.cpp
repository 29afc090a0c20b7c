// Guards the rule that only elapsed time creates tokens: not a larger capacity,
// a clock that steps back, or a changed limit.

#include <parsleyplank/quota/customer_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::quota;

namespace
{

class quota_token_bucket : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_token_bucket);
    CPPUNIT_TEST(refills_by_elapsed_time_up_to_the_burst);
    CPPUNIT_TEST(resize_only_lowers_the_level);
    CPPUNIT_TEST(raised_limits_start_empty);
    CPPUNIT_TEST(parts_of_a_token_add_up);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};

public:
    void refills_by_elapsed_time_up_to_the_burst()
    {
        auto it = empty_bucket(token_rate(10), tokens(5), start);
        CPPUNIT_ASSERT(!take(it, tokens(1), start));
        CPPUNIT_ASSERT(take(it, tokens(1), start + milliseconds(100)));
        refill(it, start);
        CPPUNIT_ASSERT(it.refilled == start + milliseconds(100));
        refill(it, start + std::chrono::hours(1));
        CPPUNIT_ASSERT(it.level == tokens(5));
    }

    void resize_only_lowers_the_level()
    {
        auto it = empty_bucket(token_rate(10), tokens(5), start);
        refill(it, start + std::chrono::seconds(9));
        resize(it, token_rate(10), tokens(2), start + std::chrono::seconds(9));
        CPPUNIT_ASSERT(it.level == tokens(2));
        resize(it, token_rate(99), tokens(9), start + std::chrono::seconds(9));
        CPPUNIT_ASSERT(it.level == tokens(2));
    }

    void raised_limits_start_empty()
    {
        const customer_id id("shop");
        auto pool = make_pool({id, token_rate(10), tokens(10)}, start);
        set_share(pool, share_ppm{500'000}, start);
        const auto later = start + std::chrono::seconds(60);
        expire_and_refill(pool, later);
        CPPUNIT_ASSERT(pool.home.level == tokens(5));
        set_limits(pool, {id, token_rate(20), tokens(20)}, later);
        CPPUNIT_ASSERT(pool.home.level == tokens(5));
        CPPUNIT_ASSERT(pool.home.burst == tokens(10));
        set_limits(pool, {id, token_rate(2), tokens(2)}, later);
        CPPUNIT_ASSERT(pool.home.level == tokens(1));
    }

    void parts_of_a_token_add_up()
    {
        auto pool =
            make_pool({customer_id("shop"), token_rate(1), tokens(1)}, start);
        set_share(pool, share_ppm{500'000}, start);
        const member lender{instance_id("entry-1"), incarnation(1)};
        accept(pool, lender, {0, 7, 0, 0.5F, 0.5F},
               start + std::chrono::seconds(90), start);
        const auto later = start + std::chrono::seconds(60);
        expire_and_refill(pool, later);
        CPPUNIT_ASSERT(take_token(pool, true) ==
                       start + std::chrono::seconds(90));
        CPPUNIT_ASSERT(!take_token(pool, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_token_bucket);

} // namespace
