#ifndef PARSLEYPLANK_CLAIMS_ATTEMPT_HPP
#define PARSLEYPLANK_CLAIMS_ATTEMPT_HPP

// Attempts of at-most-once requests on their owner, the instance that received
// the requests. Only the owner dispatches an attempt, and start_dispatch
// returns true at most once per attempt, so that repeated or late grants have
// no effect. No I/O.
//
//   claiming -> granted -> dispatched -> completed | outcome_unknown | not_run
//   claiming -> abandoned;  granted -> not_run
//
// The outcome not_run refers to this attempt only. It does not say whether an
// earlier request with the same key was executed.

#include <parsleyplank/claims/message.hpp>
#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/reason.hpp>

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyplank::claims
{

// Limits and timeouts of the attempts of one instance.
struct attempt_settings
{
    // Time in which a claim has to be granted; after it the request is answered
    // with not_run.
    milliseconds claim_wait{2'000};
    // Interval at which a claim_request without a reply is sent again.
    milliseconds claim_resend_interval{250};
    // Longest time from the grant to the dispatch; after it the attempt ends as
    // not_run.
    milliseconds dispatch_timeout{5'000};
    // Time after which a claim_finish without a reply is sent again; doubled
    // after each repetition.
    milliseconds finish_resend_interval{1'000};
    std::uint32_t max_finish_resends = 30;
    // Larger response bodies are replaced by their digest.
    std::size_t max_response_bytes = 4'096;
    // Attempts that have not ended; further requests are refused.
    std::size_t max_unfinished_attempts = 10'000;
    // Ended attempts that are stored to answer an attempt_query; the oldest are
    // removed first.
    std::size_t max_finished_attempts = 20'000;
};

// One attempt on its owner.
struct attempt
{
    attempt_id id;
    std::uint32_t bucket = 0;
    hash128_value key;
    std::uint64_t body_hash = 0;
    attempt_phase phase = attempt_phase::claiming;
    // Deadline of the grant or, once granted, of the dispatch.
    time_point deadline;
    time_point resend_at;
    std::uint32_t resends = 0;
    stored_response response;
};

// All attempts of one incarnation of an instance.
struct attempt_table
{
    instance_id self;
    incarnation life;
    attempt_settings settings;
    std::uint64_t next_number = 1;
    std::unordered_map<std::uint64_t, attempt> attempts;
    // Attempts that wait for a grant, a dispatch or the confirmation of their
    // claim_finish.
    std::set<std::uint64_t> waiting;
    // Ended attempts, oldest first.
    std::deque<std::uint64_t> finished;
};

// The next step of the request flow for an attempt.
struct attempt_event
{
    enum class kind : std::uint8_t
    {
        none,
        dispatch, // granted: call start_dispatch, then send the request
        answer    // ended: answer the caller with the members below
    };

    kind type = kind::none;
    std::uint64_t number = 0;
    run_outcome outcome = run_outcome::not_run;
    // Reason of the refusal; set unless the outcome is result.
    std::optional<refusal_reason> reason;
    // Stored response; set if the outcome is result.
    stored_response response;
    // Message to send to the writer of the bucket, if any.
    std::optional<claim_finish> release;
};

// Events to handle and messages to send.
struct attempt_actions
{
    std::vector<attempt_event> events;
    std::vector<claim_request> requests;
    std::vector<claim_finish> finishes;
};

// Starts an attempt. Returns the request to send to the writer of the bucket,
// or nothing if the table is full; the caller's request is then refused as not
// run.
std::optional<claim_request> begin_attempt(attempt_table& table,
                                           std::uint32_t bucket,
                                           const hash128_value& key,
                                           std::uint64_t body_hash,
                                           time_point now);

// Handles a reply of a writer. A grant of an attempt that ended without a
// dispatch returns a release of the claim; other late or repeated grants are
// ignored.
attempt_event receive(attempt_table& table, const claim_reply& reply,
                      time_point now);

// Returns true if the request may be sent to a backend server now; at most once
// per attempt. Returns false if the attempt is not granted or its
// dispatch_timeout has passed.
bool start_dispatch(attempt_table& table, std::uint64_t number, time_point now);

// Ends an attempt with the phase completed, outcome_unknown or not_run and
// returns the message for the writer. Before the dispatch only not_run is
// valid. After it, not_run is valid only if it is certain that none of the
// backend servers tried executed the request. Returns nothing and changes
// nothing if the attempt can't end with this phase. status and body are used
// for completed only.
std::optional<claim_finish>
finish_attempt(attempt_table& table, std::uint64_t number, attempt_phase phase,
               std::uint16_t status, std::string_view body, time_point now);

// Ends an attempt that was not dispatched, for example because the caller has
// disconnected. Returns the release for the writer, or nothing if the attempt
// was dispatched or has ended.
std::optional<claim_finish>
abandon_attempt(attempt_table& table, std::uint64_t number, time_point now);

// Answers a query of a writer. Returns the exact phase of an attempt in the
// table, and not_found for any other (one of an earlier incarnation, or one
// that was removed).
attempt_state answer_query(const attempt_table& table,
                           const attempt_query& query);

// Handles timeouts and returns the answers and the messages that are due. To be
// called about every 50 ms.
attempt_actions advance(attempt_table& table, time_point now);

} // namespace parsleyplank::claims

#endif
