#ifndef PARSLEYPLANK_USAGE_DUTY_HPP
#define PARSLEYPLANK_USAGE_DUTY_HPP

// Which instance holds the duty to report usage, as recorded in the store. The
// record lies under the lease of its holder's registration. A holder acts only
// while it knows that the lease has not ended, and its calls bear a fencing
// token that rises with each change of holder.

#include <parsleyplank/usage/hand_over.hpp>

#include <optional>

namespace parsleyplank::usage
{

// The record of the holder in the store.
struct holder_record
{
    instance_id holder;
    // Start time of its process in Unix milliseconds.
    std::uint64_t started_ms = 0;
    fence_token token;
    // Tokens of the former holders whose sums this one has taken over.
    fence_tokens inherits;

    bool operator==(const holder_record&) const = default;

    MSGPACK_DEFINE_ARRAY(holder, started_ms, token, inherits)
};

// The sums that a holder with this token has left at a planned stop.
struct sums_record
{
    fence_token token;
    // Tokens of the former holders whose sums are among these.
    fence_tokens inherits;
    window_counts sums;

    bool operator==(const sums_record&) const = default;

    MSGPACK_DEFINE_ARRAY(token, inherits, sums)
};

// Returns the tokens whose sums the next holder takes over: those of the latest
// holders, since windows are short.
fence_tokens inherited_tokens(const sums_record& left);

// The highest token that was given, which outlives the record of the holder.
struct fence_record
{
    fence_token highest;

    bool operator==(const fence_record&) const = default;

    MSGPACK_DEFINE_ARRAY(highest)
};

struct duty_options
{
    // Lifetime of the lease without renewal.
    milliseconds lease_ttl{4'000};
    // Time before the end of the lease from which the holder does not act.
    milliseconds lease_margin{800};
    // Time after it has lost the duty in which an instance does not claim it.
    milliseconds claim_pause{3'300};
    // Time by which each further candidate delays its claim.
    milliseconds candidate_delay{1'000};
};

struct duty_state
{
    instance_id self;
    std::uint64_t started_ms = 0;
    duty_options options;
    // The record as the store last showed it, and since when there is none.
    std::optional<holder_record> current;
    std::optional<boot_time> absent_since;
    // Token and record revision of this process while it holds the duty.
    std::optional<fence_token> held;
    revision held_revision;
    // Token of this process that the platform has refused.
    std::optional<fence_token> refused;
    // Start of the last successful renewal of the lease.
    std::optional<boot_time> lease_confirmed;
    boot_time claim_not_before{0};
};

// Returns the token for a claim: higher than the stored one, and than those
// given before this time, which the store may have lost. Tokens of different
// instances differ except for one pair in 1,024.
fence_token next_token(fence_token stored, std::int64_t unix_ms,
                       const instance_id& claimant);

// Applies what the store shows. Both return whether this process lost the duty
// by that.
bool note_record(duty_state& duty, const holder_record& record, boot_time now);
bool note_absent_record(duty_state& duty, boot_time now);

// Records a successful renewal that began then.
void note_renewal(duty_state& duty, boot_time began);

// Returns whether this instance is to claim the duty. The rank is its place
// among the candidates, from 0. Also if the record names this process, which
// does not know of it: the answer to its claim was lost.
bool should_claim(const duty_state& duty, std::size_t rank, boot_time now);

// Records that the claim was applied.
void begin_duty(duty_state& duty, const holder_record& record,
                revision record_revision);

// Returns whether this process may begin the duty with a record that names it,
// without a new token.
bool may_adopt(const duty_state& duty, const holder_record& record);

// Records that the platform has refused the token, and ends the duty.
void note_refused(duty_state& duty, fence_token token, boot_time now);

// Ends the duty of this process. Returns false if it did not hold it.
bool end_duty(duty_state& duty, boot_time now);

// Returns the time until which the holder may act; nullopt if this process does
// not hold the duty.
std::optional<boot_time> may_act_until(const duty_state& duty);

} // namespace parsleyplank::usage

#endif
