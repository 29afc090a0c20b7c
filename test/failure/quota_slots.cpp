// Guards the in-flight capacity of an upstream: slots that are counted twice,
// after a repeated message or the end of a loan, would overload it.

#include <parsleyplank/quota/slot_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::quota;

namespace
{

class quota_slots : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_slots);
    CPPUNIT_TEST(rounding_never_exceeds_the_total);
    CPPUNIT_TEST(lent_slot_is_free_when_lender_reuses_it);
    CPPUNIT_TEST(repeated_grant_and_return_count_once);
    CPPUNIT_TEST(slots_in_flight_are_not_donated);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    const milliseconds loan_duration{2'000};
    const member lender{instance_id("entry-0"), incarnation(1)};
    const member borrower{instance_id("entry-1"), incarnation(1)};
    slot_pool home;
    slot_pool other;

public:
    void setUp() override
    {
        home = other = {};
        home.total = other.total = 8;
        home.share = other.share = share_ppm{500'000};
    }

    void rounding_never_exceeds_the_total()
    {
        for (std::uint32_t total = 0; total < 60; ++total)
            for (std::uint32_t n = 1; n < 12; ++n)
            {
                const auto each = home_slots(total, share_ppm{ppm_total / n});
                CPPUNIT_ASSERT(each * n <= total);
                CPPUNIT_ASSERT(each * n + 2 * n > total);
            }
    }

    void lent_slot_is_free_when_lender_reuses_it()
    {
        other.share = share_ppm{0};
        const auto grant = lend(home, borrower, 9, loan_duration, start);
        CPPUNIT_ASSERT_EQUAL(4U, grant->slots);
        CPPUNIT_ASSERT(!acquire(home, true, start + loan_duration, start));
        accept(other, lender, *grant, start, start + milliseconds(60));
        const auto late = start + milliseconds(1'990);
        CPPUNIT_ASSERT(!acquire(other, true, late, start));
        CPPUNIT_ASSERT(acquire(other, true, start + milliseconds(1'900),
                               start + milliseconds(60)));
        CPPUNIT_ASSERT(!acquire(other, true, late + loan_duration, late));
        CPPUNIT_ASSERT(acquire(home, true, start + 2 * loan_duration,
                               start + loan_duration));
    }

    void repeated_grant_and_return_count_once()
    {
        const auto grant = lend(home, borrower, 3, loan_duration, start);
        accept(other, lender, *grant, start, start);
        accept(other, lender, *grant, start, start);
        CPPUNIT_ASSERT(other.borrowed.size() == 1);
        const auto ticket =
            acquire(other, true, start + milliseconds(100), start);
        const auto first = give_back(other, lender, grant->loan, start);
        CPPUNIT_ASSERT_EQUAL(1U, first->kept);
        release(other, *ticket);
        const auto second = give_back(other, lender, grant->loan, start);
        accept(other, lender, *grant, start, start);
        CPPUNIT_ASSERT_EQUAL(0U, other.borrowed[0].slots);
        apply_return(home, borrower, *second, start);
        apply_return(home, borrower, *first, start);
        CPPUNIT_ASSERT_EQUAL(4U, free_home_slots(home));
    }

    void slots_in_flight_are_not_donated()
    {
        const auto ticket = acquire(home, true, start, start);
        lend(home, borrower, 1, loan_duration, start);
        const auto given = donatable(home);
        CPPUNIT_ASSERT_EQUAL(250'000U, given.value);
        home.share.value -= given.value;
        CPPUNIT_ASSERT_EQUAL(0U, free_home_slots(home));
        release(home, *ticket);
        CPPUNIT_ASSERT_EQUAL(1U, free_home_slots(home));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_slots);

} // namespace
