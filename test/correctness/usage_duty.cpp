// Tests who holds the duty to report usage, and the fencing tokens.

#include <parsleyplank/usage/duty.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::usage;

namespace
{

const instance_id self("self");
const instance_id other("other");

class usage_duty : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_duty);
    CPPUNIT_TEST(an_absent_record_is_claimed_in_the_order_of_candidates);
    CPPUNIT_TEST(a_record_of_another_is_not_claimed);
    CPPUNIT_TEST(a_holder_acts_only_while_its_lease_is_confirmed);
    CPPUNIT_TEST(a_holder_that_lost_the_duty_pauses_before_it_claims_again);
    CPPUNIT_TEST(a_claim_without_an_answer_is_adopted);
    CPPUNIT_TEST(a_record_of_an_earlier_process_is_not_adopted);
    CPPUNIT_TEST(a_refused_token_is_not_used_again);
    CPPUNIT_TEST(tokens_rise);
    CPPUNIT_TEST(tokens_rise_after_the_store_has_lost_some);
    CPPUNIT_TEST(tokens_of_two_claims_at_the_same_time_differ);
    CPPUNIT_TEST_SUITE_END();

    boot_time now{std::chrono::hours(1)};
    duty_state duty;

    void hold(fence_token token)
    {
        note_renewal(duty, now);
        begin_duty(duty, {self, 5, token}, revision(9));
    }

public:
    void setUp() override
    {
        duty = {};
        duty.self = self;
        duty.started_ms = 5;
    }

    void an_absent_record_is_claimed_in_the_order_of_candidates()
    {
        CPPUNIT_ASSERT(!should_claim(duty, 0, now));
        note_absent_record(duty, now);
        CPPUNIT_ASSERT(should_claim(duty, 0, now));
        CPPUNIT_ASSERT(!should_claim(duty, 2, now));
        // A repeated report of the absence does not delay the claim.
        now += duty.options.candidate_delay;
        note_absent_record(duty, now);
        CPPUNIT_ASSERT(should_claim(duty, 1, now));
        CPPUNIT_ASSERT(!should_claim(duty, 2, now));
        now += duty.options.candidate_delay;
        CPPUNIT_ASSERT(should_claim(duty, 2, now));
    }

    void a_record_of_another_is_not_claimed()
    {
        note_absent_record(duty, now);
        note_record(duty, {other, 1, fence_token(3)}, now);
        now += std::chrono::hours(1);
        CPPUNIT_ASSERT(!should_claim(duty, 0, now));
    }

    // Guards against a holder that goes on to report after a pause in which its
    // lease has ended.
    void a_holder_acts_only_while_its_lease_is_confirmed()
    {
        CPPUNIT_ASSERT(!may_act_until(duty));
        hold(fence_token(3));
        const auto until = may_act_until(duty);
        CPPUNIT_ASSERT(*until < now + duty.options.lease_ttl);
        now += milliseconds(1'000);
        note_renewal(duty, now);
        CPPUNIT_ASSERT(*may_act_until(duty) == *until + milliseconds(1'000));
        end_duty(duty, now);
        CPPUNIT_ASSERT(!may_act_until(duty));
    }

    // Guards against holders in the order A, B, A within the lease time.
    void a_holder_that_lost_the_duty_pauses_before_it_claims_again()
    {
        hold(fence_token(3));
        CPPUNIT_ASSERT(note_record(duty, {other, 1, fence_token(4)}, now));
        CPPUNIT_ASSERT(!note_absent_record(duty, now));
        CPPUNIT_ASSERT(!should_claim(duty, 0, now));
        now += duty.options.claim_pause - milliseconds(1);
        CPPUNIT_ASSERT(!should_claim(duty, 0, now));
        now += milliseconds(1);
        CPPUNIT_ASSERT(should_claim(duty, 0, now));
    }

    // Guards against a duty that nobody does because its holder does not know
    // that it has it.
    void a_claim_without_an_answer_is_adopted()
    {
        const holder_record record{self, 5, fence_token(3)};
        note_record(duty, record, now);
        CPPUNIT_ASSERT(should_claim(duty, 4, now));
        CPPUNIT_ASSERT(may_adopt(duty, record));
    }

    void a_record_of_an_earlier_process_is_not_adopted()
    {
        const holder_record record{self, 4, fence_token(3)};
        note_record(duty, record, now);
        CPPUNIT_ASSERT(!should_claim(duty, 0, now));
        CPPUNIT_ASSERT(!may_adopt(duty, record));
    }

    void a_refused_token_is_not_used_again()
    {
        hold(fence_token(3));
        note_refused(duty, fence_token(3), now);
        CPPUNIT_ASSERT(!may_act_until(duty));
        CPPUNIT_ASSERT(!should_claim(duty, 0, now));
        now += duty.options.claim_pause;
        CPPUNIT_ASSERT(should_claim(duty, 0, now));
        CPPUNIT_ASSERT(!may_adopt(duty, {self, 5, fence_token(3)}));
        CPPUNIT_ASSERT(may_adopt(duty, {self, 5, fence_token(4)}));
        // A late answer to a call with an earlier token ends nothing.
        hold(fence_token(4));
        note_refused(duty, fence_token(3), now);
        CPPUNIT_ASSERT(may_act_until(duty).has_value());
    }

    void tokens_rise()
    {
        constexpr std::int64_t unix_ms = 1'700'000'000'000;
        auto token = next_token({}, unix_ms, self);
        for (int i = 0; i < 1'000; ++i)
        {
            // The clock of the claimant may be behind.
            const auto next =
                next_token(token, unix_ms - i, i % 2 == 0 ? other : self);
            CPPUNIT_ASSERT(next > token);
            token = next;
        }
        // The platform may keep tokens as floating-point numbers.
        CPPUNIT_ASSERT(token.value < std::uint64_t(1) << 53);
    }

    // Guards against a token that is given twice because the store came back
    // from an older copy.
    void tokens_rise_after_the_store_has_lost_some()
    {
        constexpr std::int64_t unix_ms = 1'700'000'000'000;
        const auto kept = next_token({}, unix_ms, self);
        auto lost = next_token(kept, unix_ms + 1'000, other);
        lost = next_token(lost, unix_ms + 2'000, other);
        CPPUNIT_ASSERT(next_token(kept, unix_ms + 3'000, self) > lost);
    }

    void tokens_of_two_claims_at_the_same_time_differ()
    {
        constexpr std::int64_t unix_ms = 1'700'000'000'000;
        CPPUNIT_ASSERT(next_token({}, unix_ms, self) !=
                       next_token({}, unix_ms, other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_duty);

} // namespace
