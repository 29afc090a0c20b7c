// Guards the rules of loans and shares message by message: no lost, repeated,
// late or reordered message, pause or restart may create tokens.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::quota;

namespace
{

class quota_loans : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_loans);
    CPPUNIT_TEST(repeated_grant_is_accepted_once);
    CPPUNIT_TEST(grant_for_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(late_grant_adds_no_tokens);
    CPPUNIT_TEST(borrower_stops_before_lender_takes_back);
    CPPUNIT_TEST(repeated_or_late_return_adds_nothing);
    CPPUNIT_TEST(borrowed_tokens_are_not_lent);
    CPPUNIT_TEST(extension_does_not_revive_a_loan);
    CPPUNIT_TEST(lost_donation_stays_debited);
    CPPUNIT_TEST(reclaimed_holder_starts_empty_after_its_pause);
    CPPUNIT_TEST(hand_over_waits_for_loans);
    CPPUNIT_TEST(dropped_customer_keeps_its_loans_debited);
    CPPUNIT_TEST(loans_must_end_within_the_freshness_bound);
    CPPUNIT_TEST_SUITE_END();

    const customer_id shop{"shop"};
    const customer_key key = key_of(customer_id("shop"));
    const time_point start{std::chrono::hours(1)};
    const time_point full = start + std::chrono::seconds(10);
    const member a{instance_id("entry-0"), incarnation(1)};
    const member b{instance_id("entry-1"), incarnation(1)};
    const member c{instance_id("entry-2"), incarnation(1)};
    share_table table;
    quota_state lender;
    quota_state borrower;

    // Returns a state with half of 100 tokens/s and a burst of 100 tokens,
    // whose bucket is full at the time full.
    quota_state make(const member& self) const
    {
        auto state = make_quota_state(self, {}, start);
        const std::vector<customer_limits> limits{
            {shop, token_rate(100), tokens(100)}};
        set_customers(state, limits, start);
        set_peers(state, self == a ? std::vector{b, c} : std::vector{a, c});
        set_share_table(state, table, start);
        set_fresh_until(state, start + std::chrono::hours(1));
        return state;
    }

    static customer_pool& pool(quota_state& state)
    {
        return state.customers[0].pool;
    }

    std::size_t count_admitted(quota_state& state, time_point now) const
    {
        std::size_t n = 0;
        while (admit(state, shop, now).verdict == admit_verdict::admitted)
            ++n;
        // The last request may be waiting.
        cancel_waiting(state, shop);
        return n;
    }

    // Sends a token request of the borrower and returns the lender's answer.
    message_body borrow(double count, time_point now)
    {
        loan_request request{borrower.next_request++,
                             {{key, static_cast<std::uint32_t>(count * 10)}}};
        borrower.sent_requests.push_back({request.number, now});
        return on_message(lender, b, request, now).messages.at(0).body;
    }

public:
    void setUp() override
    {
        table = create_share_table(a);
        table =
            donate(table, a, std::vector<donation>{{b, share_ppm{500'000}}});
        lender = make(a);
        borrower = make(b);
    }

    void repeated_grant_is_accepted_once()
    {
        const auto grant = borrow(20, full);
        on_message(borrower, a, grant, full);
        on_message(borrower, a, grant, full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(70), count_admitted(borrower, full));
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), count_admitted(lender, full));
        give_back(pool(borrower), a, 1, 1, full);
        on_message(borrower, a, grant, full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_admitted(borrower, full));
    }

    void grant_for_an_earlier_incarnation_is_ignored()
    {
        const auto grant = borrow(20, full);
        const member restarted{b.instance, incarnation(2)};
        borrower = make(restarted);
        const auto later = full + milliseconds(900);
        borrower.sent_requests.push_back({1, later});
        on_message(borrower, a, grant, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_admitted(borrower, later));
    }

    void late_grant_adds_no_tokens()
    {
        const auto grant = borrow(20, full);
        const auto later = full + milliseconds(995);
        on_message(borrower, a, grant, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), count_admitted(borrower, later));
    }

    void borrower_stops_before_lender_takes_back()
    {
        // The grant arrives 60 ms after the request was sent.
        const auto grant = borrow(20, full);
        on_message(borrower, a, grant, full + milliseconds(60));
        const auto end = full + milliseconds(990);
        // A decision before a pause must not be used after the loan's end.
        const auto result = admit(borrower, shop, full + milliseconds(60));
        CPPUNIT_ASSERT(result.valid_until == end);
        expire_and_refill(pool(borrower), end);
        CPPUNIT_ASSERT(pool(borrower).borrowed.empty());
        expire_and_refill(pool(lender), end);
        CPPUNIT_ASSERT(pool(lender).home.burst.value < 30.1);
        expire_and_refill(pool(lender), full + milliseconds(1'000));
        CPPUNIT_ASSERT(pool(lender).home.burst == tokens(50));
        CPPUNIT_ASSERT(pool(lender).home.level < tokens(31));
    }

    void repeated_or_late_return_adds_nothing()
    {
        const auto grant = borrow(20, full);
        on_message(borrower, a, grant, full);
        const auto half = give_back(pool(borrower), a, 1, 0.5, full);
        const auto rest = give_back(pool(borrower), a, 1, 1, full);
        CPPUNIT_ASSERT(pool(borrower).borrowed.empty());
        const loan_return first{a.life, {half}};
        on_message(lender, c, first, full);
        CPPUNIT_ASSERT(pool(lender).home.level < tokens(30.1));
        on_message(lender, b, first, full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), count_admitted(lender, full));
        on_message(lender, b, first, full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_admitted(lender, full));
        on_message(lender, b, loan_return{a.life, {rest}}, full);
        on_message(lender, b, first, full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), count_admitted(lender, full));
    }

    void borrowed_tokens_are_not_lent()
    {
        const auto grant = borrow(40, full);
        on_message(borrower, a, grant, full);
        const loan_request request{1, {{key, 900}}};
        const auto answer = on_message(borrower, c, request, full);
        const auto& given =
            std::get<loan_grant>(answer.messages.at(0).body).loans.at(0);
        CPPUNIT_ASSERT(given.level <= 50);
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), count_admitted(borrower, full));
    }

    void extension_does_not_revive_a_loan()
    {
        const auto grant = borrow(20, full);
        const loan_grant extension{b.life, false, 1, 2'000, {}, {{key, {1}}}};
        // The extension arrives before the grant, which is then too late.
        const auto answer = on_message(borrower, a, extension, full);
        on_message(borrower, a, grant, full);
        CPPUNIT_ASSERT(pool(borrower).borrowed.empty());
        on_message(lender, b, answer.messages.at(0).body, full);
        CPPUNIT_ASSERT(pool(lender).home.burst == tokens(50));
    }

    void lost_donation_stays_debited()
    {
        const std::vector<donation> wanted{{c, share_ppm{200'000}}};
        const auto next = prepare_donations(lender, wanted, full);
        CPPUNIT_ASSERT(usable_share(*next, c).value == 200'000);
        // The response to the write is lost and the old table is read again.
        set_share_table(lender, table, full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), count_admitted(lender, full));
        CPPUNIT_ASSERT(!prepare_donations(lender, wanted, full));
        // Another write came first, so this one can no longer take effect.
        auto other = table;
        ++other.number.value;
        set_share_table(lender, other, full);
        CPPUNIT_ASSERT(pool(lender).home.burst == tokens(50));
        CPPUNIT_ASSERT(pool(lender).home.level < tokens(1));
    }

    void reclaimed_holder_starts_empty_after_its_pause()
    {
        set_fresh_until(lender, full);
        CPPUNIT_ASSERT(admit(lender, shop, full).reason ==
                       refusal_reason::stale_state);
        auto next = redistribute(revoke(table, a), a, std::vector{b});
        next = donate(next, b, std::vector<donation>{{a, share_ppm{500'000}}});
        set_share_table(lender, next, full);
        set_fresh_until(lender, full + std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_admitted(lender, full));
        // An older table does not restore the share.
        set_share_table(lender, revoke(next, a), full);
        set_share_table(lender, table, full);
        CPPUNIT_ASSERT(!home_usable(lender, full));
    }

    void hand_over_waits_for_loans()
    {
        borrow(20, full);
        begin_leaving(lender);
        CPPUNIT_ASSERT(!prepare_hand_over(lender, std::vector{b}, full));
        const auto later = full + std::chrono::seconds(1);
        const auto next = prepare_hand_over(lender, std::vector{b}, later);
        CPPUNIT_ASSERT(usable_share(*next, b).value == ppm_total);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count_admitted(lender, later));
        const auto answer =
            on_message(lender, b, loan_request{9, {{key, 100}}}, later);
        CPPUNIT_ASSERT(
            std::get<loan_grant>(answer.messages.at(0).body).loans[0].loan ==
            0);
        // The capacity that the receiver gains starts empty.
        expire_and_refill(pool(borrower), later);
        set_share_table(borrower, *next, later);
        CPPUNIT_ASSERT(pool(borrower).home.level == tokens(50));
    }

    void dropped_customer_keeps_its_loans_debited()
    {
        borrow(20, full);
        set_customers(lender, {}, full);
        const std::vector<customer_limits> limits{
            {shop, token_rate(100), tokens(100)}};
        set_customers(lender, limits, full);
        CPPUNIT_ASSERT(pool(lender).home.burst < tokens(30.1));
    }

    void loans_must_end_within_the_freshness_bound()
    {
        quota_settings settings;
        settings.freshness_bound = milliseconds(1'500);
        CPPUNIT_ASSERT_THROW(make_quota_state(a, settings, start),
                             config_error);
        loan_grant grant{b.life, false, 1, 60'000, {{key, 5, 0, 9, 9}}, {}};
        borrower.sent_requests.push_back({1, full});
        on_message(borrower, a, grant, full);
        CPPUNIT_ASSERT(pool(borrower).borrowed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_loans);

} // namespace
