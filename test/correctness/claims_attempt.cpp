// Guards the state of an attempt on its owner. A second dispatch, a dispatch
// after the answer "not run" or a wrong answer to a writer's query would
// execute an order twice.

#include <parsleyplank/claims/attempt.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::claims;

namespace
{

class claims_attempt : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_attempt);
    CPPUNIT_TEST(repeated_grant_is_dispatched_once);
    CPPUNIT_TEST(grant_after_deadline_is_released);
    CPPUNIT_TEST(grant_too_long_ago_is_not_dispatched);
    CPPUNIT_TEST(dispatched_attempt_is_never_abandoned);
    CPPUNIT_TEST(query_is_answered_exactly);
    CPPUNIT_TEST(other_key_or_customer_has_another_hash);
    CPPUNIT_TEST(large_response_is_stored_as_digest);
    CPPUNIT_TEST(finish_is_sent_until_recorded);
    CPPUNIT_TEST_SUITE_END();

    using kind = attempt_event::kind;

    attempt_table table;
    const time_point start{std::chrono::hours(1)};
    const attempt_id id{instance_id("entry-1"), incarnation(7), 1};

    attempt_event grant(milliseconds after)
    {
        return receive(table, {id, claim_outcome::granted, {}}, start + after);
    }

    attempt_phase phase(const attempt_id& of)
    {
        return answer_query(table, {of, 0, {}}).phase;
    }

public:
    void setUp() override
    {
        table.self = id.instance;
        table.life = id.life;
        CPPUNIT_ASSERT(begin_attempt(table, 0, {1, 2}, 3, start)->attempt ==
                       id);
    }

    void repeated_grant_is_dispatched_once()
    {
        CPPUNIT_ASSERT(!start_dispatch(table, 1, start));
        CPPUNIT_ASSERT(grant(milliseconds(1)).type == kind::dispatch);
        CPPUNIT_ASSERT(grant(milliseconds(2)).type == kind::none);
        CPPUNIT_ASSERT(start_dispatch(table, 1, start));
        CPPUNIT_ASSERT(grant(milliseconds(3)).type == kind::none);
        CPPUNIT_ASSERT(!start_dispatch(table, 1, start));
    }

    void grant_after_deadline_is_released()
    {
        CPPUNIT_ASSERT(grant(milliseconds(2'000)).type == kind::none);
        const auto actions = advance(table, start + milliseconds(2'000));
        CPPUNIT_ASSERT(actions.events.at(0).outcome == run_outcome::not_run);
        CPPUNIT_ASSERT(actions.finishes.at(0).state == claim_state::not_run);
        const auto late = grant(milliseconds(2'001));
        CPPUNIT_ASSERT(late.type == kind::none && late.release);
        CPPUNIT_ASSERT(!start_dispatch(table, 1, start));
    }

    void grant_too_long_ago_is_not_dispatched()
    {
        grant(milliseconds(0));
        CPPUNIT_ASSERT(!start_dispatch(table, 1, start + milliseconds(5'000)));
        const auto actions = advance(table, start + milliseconds(5'000));
        CPPUNIT_ASSERT(actions.events.at(0).outcome == run_outcome::not_run);
        CPPUNIT_ASSERT(phase(id) == attempt_phase::not_run);
    }

    void dispatched_attempt_is_never_abandoned()
    {
        grant(milliseconds(0));
        CPPUNIT_ASSERT(start_dispatch(table, 1, start));
        CPPUNIT_ASSERT(!abandon_attempt(table, 1, start));
        CPPUNIT_ASSERT(
            advance(table, start + std::chrono::hours(1)).events.empty());
        receive(table, {id, claim_outcome::in_flight, {}}, start);
        CPPUNIT_ASSERT(phase(id) == attempt_phase::dispatched);
    }

    void query_is_answered_exactly()
    {
        CPPUNIT_ASSERT(phase(id) == attempt_phase::claiming);
        auto other = id;
        other.life = incarnation(6);
        CPPUNIT_ASSERT(phase(other) == attempt_phase::not_found);
        CPPUNIT_ASSERT(abandon_attempt(table, 1, start));
        CPPUNIT_ASSERT(phase(id) == attempt_phase::abandoned);
        table.settings.max_finished_attempts = 0;
        begin_attempt(table, 0, {1, 2}, 3, start);
        CPPUNIT_ASSERT(abandon_attempt(table, 2, start));
        CPPUNIT_ASSERT(phase(id) == attempt_phase::not_found);
    }

    void other_key_or_customer_has_another_hash()
    {
        const auto hash =
            [](const char* customer, const char* route, const char* key)
        {
            return key_hash(customer_id(customer), route_id(route), key);
        };
        CPPUNIT_ASSERT(hash("a", "b", "c") == hash("a", "b", "c"));
        CPPUNIT_ASSERT(hash("a", "bc", "d") != hash("ab", "c", "d"));
        CPPUNIT_ASSERT(hash("a", "b", "c") != hash("x", "b", "c"));
    }

    void large_response_is_stored_as_digest()
    {
        grant(milliseconds(0));
        start_dispatch(table, 1, start);
        const std::string body(4'097, 'x');
        const auto finish = finish_attempt(table, 1, attempt_phase::completed,
                                           201, body, start);
        CPPUNIT_ASSERT(finish->response ==
                       (stored_response{201, true, sha256_hex(body)}));
    }

    void finish_is_sent_until_recorded()
    {
        grant(milliseconds(0));
        start_dispatch(table, 1, start);
        finish_attempt(table, 1, attempt_phase::outcome_unknown, 0, {}, start);
        const auto later = start + milliseconds(1'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             advance(table, later).finishes.size());
        receive(table, {id, claim_outcome::recorded, {}}, later);
        CPPUNIT_ASSERT(
            advance(table, start + std::chrono::hours(1)).finishes.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_attempt);

} // namespace
