#ifndef PARSLEYPLANK_CLAIMS_ATTEMPT_HPP
#define PARSLEYPLANK_CLAIMS_ATTEMPT_HPP

// Attempts on the instance that received the requests (their owner). Only the
// owner dispatches an attempt, and start_dispatch returns true at most once per
// attempt, so repeated or late grants are harmless.
//
//   claiming -> granted -> dispatched -> completed | outcome_unknown | not_run
//   claiming -> abandoned;  granted -> not_run
//
// "Not run" speaks of the attempt of this caller request. It says nothing about
// an earlier request with the same key.

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

struct attempt_settings
{
    // Time for a claim to be granted; after it the answer is "not run".
    milliseconds claim_wait{2'000};
    // A claim_request without a reply is sent again after this time.
    milliseconds claim_resend_interval{250};
    // Time from the grant to the dispatch.
    milliseconds dispatch_timeout{5'000};
    // A claim_finish without a reply is sent again after this time.
    milliseconds finish_resend_interval{1'000};
    std::uint32_t max_finish_resends = 30;
    // Larger responses are kept as status and digest.
    std::size_t max_response_bytes = 4'096;
    // Attempts that may still run; further requests are refused.
    std::size_t max_unfinished_attempts = 10'000;
    // Finished attempts kept to answer an attempt_query.
    std::size_t max_finished_attempts = 20'000;
};

struct attempt
{
    attempt_id id;
    std::uint32_t bucket = 0;
    hash128_value key;
    std::uint64_t body_hash = 0;
    attempt_phase phase = attempt_phase::claiming;
    // End of the present wait for a grant or a dispatch.
    time_point deadline;
    time_point resend_at;
    std::uint32_t resends = 0;
    stored_response response;
};

struct attempt_table
{
    instance_id self;
    incarnation life;
    attempt_settings settings;
    std::uint64_t next_number = 1;
    std::unordered_map<std::uint64_t, attempt> attempts;
    // Attempts that wait for a grant, a dispatch or a recorded finish.
    std::set<std::uint64_t> waiting;
    // Finished attempts, oldest first.
    std::deque<std::uint64_t> finished;
};

// What the request flow has to do about an attempt.
struct attempt_event
{
    enum class kind : std::uint8_t
    {
        none,
        dispatch, // granted: call start_dispatch, then send the request
        answer    // final: answer the caller as below
    };

    kind type = kind::none;
    std::uint64_t number = 0;
    run_outcome outcome = run_outcome::not_run;
    // Set if the outcome is not a result.
    std::optional<refusal_reason> reason;
    // The stored response, if the outcome is a result.
    stored_response response;
    // To send to the writer of the bucket.
    std::optional<claim_finish> release;
};

struct attempt_actions
{
    std::vector<attempt_event> events;
    std::vector<claim_request> requests;
    std::vector<claim_finish> finishes;
};

// Starts an attempt and returns the request for the writer of the bucket, or
// nothing if the table is full: then the caller request is refused as not run.
std::optional<claim_request> begin_attempt(attempt_table& table,
                                           std::uint32_t bucket,
                                           const hash128_value& key,
                                           std::uint64_t body_hash,
                                           time_point now);

// Takes a reply. A grant of an attempt that is no longer waiting is answered
// with a release unless the attempt may have run.
attempt_event receive(attempt_table& table, const claim_reply& reply,
                      time_point now);

// Returns true if the request may be sent now; at most once per attempt.
// Returns false if the attempt is not granted or waited too long.
bool start_dispatch(attempt_table& table, std::uint64_t number, time_point now);

// Ends an attempt with completed, outcome_unknown or not_run and returns the
// message for the writer. Only not_run is valid before the dispatch. After it,
// not_run is valid only if every server that was tried surely did not run the
// request. Returns nothing if the attempt can't end like this; then nothing is
// changed.
std::optional<claim_finish>
finish_attempt(attempt_table& table, std::uint64_t number, attempt_phase phase,
               std::uint16_t status, std::string_view body, time_point now);

// Gives up an attempt that was not dispatched, for example because the caller
// is gone. Returns the release for the writer, or nothing if the attempt was
// dispatched or has ended.
std::optional<claim_finish>
abandon_attempt(attempt_table& table, std::uint64_t number, time_point now);

// Answers a writer's question. Exact for attempts in the table; for others
// (an earlier incarnation, or removed since) unknown_to_me.
attempt_state answer_query(const attempt_table& table,
                           const attempt_query& query);

// Handles timeouts and returns messages to send again. Call about every 50 ms.
attempt_actions advance(attempt_table& table, time_point now);

} // namespace parsleyplank::claims

#endif
