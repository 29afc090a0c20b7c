#ifndef PARSLEYPLANK_CLAIMS_MESSAGE_HPP
#define PARSLEYPLANK_CLAIMS_MESSAGE_HPP

// Messages between the owner of an attempt, i.e. the instance that received the
// at-most-once request, and the writer of the bucket that holds its claim.
// Every message may be lost, repeated, delayed or reordered.

#include <parsleyplank/core/codec.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::claims
{

// Identifies one attempt to execute one request. Never reused: a restarted
// instance has a new incarnation, and the number only increases within one.
struct attempt_id
{
    instance_id instance;
    incarnation life;
    std::uint64_t number = 0;

    auto operator<=>(const attempt_id&) const = default;

    MSGPACK_DEFINE_ARRAY(instance, life, number)
};

// State of a claim in the store.
enum class claim_state : std::uint8_t
{
    claimed,
    completed,
    not_run,
    unknown
};

constexpr int enum_size(claim_state /*kind*/)
{
    return static_cast<int>(claim_state::unknown) + 1;
}

// State of an attempt on its owner.
enum class attempt_phase : std::uint8_t
{
    claiming,
    granted,
    dispatched,
    completed,
    outcome_unknown,
    not_run,   // granted, but certainly not executed
    abandoned, // ended before a grant; never dispatched
    not_found, // the owner has no record of this attempt
};

constexpr int enum_size(attempt_phase /*kind*/)
{
    return static_cast<int>(attempt_phase::not_found) + 1;
}

// Reply of the writer to a claim_request or claim_finish.
enum class claim_outcome : std::uint8_t
{
    granted,    // the claim is in the store for this attempt
    replay,     // another attempt completed; its response is attached
    in_flight,  // another attempt is running
    unknown,    // another attempt may have been executed
    key_reused, // the key is claimed for a request with another body
    released,   // this attempt was released earlier
    refused,    // not queued: the writer's queue is full
    recorded,   // the claim_finish need not be sent again
};

constexpr int enum_size(claim_outcome /*kind*/)
{
    return static_cast<int>(claim_outcome::recorded) + 1;
}

// The response of the backend server as it is stored with a claim.
struct stored_response
{
    std::uint16_t status = 0;
    // True if the response was too large; body then holds its SHA-256 in
    // hexadecimal.
    bool digest_only = false;
    std::string body;

    bool operator==(const stored_response&) const = default;

    MSGPACK_DEFINE_ARRAY(status, digest_only, body)
};

// Asks the writer to claim the key for the attempt.
struct claim_request
{
    attempt_id attempt;
    std::uint32_t bucket = 0;
    hash128_value key;
    std::uint64_t body_hash = 0;

    MSGPACK_DEFINE_ARRAY(attempt, bucket, key, body_hash)
};

// Reply of the writer; response is set for the outcome replay.
struct claim_reply
{
    attempt_id attempt;
    claim_outcome outcome = claim_outcome::refused;
    stored_response response;

    MSGPACK_DEFINE_ARRAY(attempt, outcome, response)
};

// Reports the final state of an attempt to the writer; claim_state::not_run
// releases the key.
struct claim_finish
{
    attempt_id attempt;
    std::uint32_t bucket = 0;
    hash128_value key;
    claim_state state = claim_state::unknown;
    stored_response response;

    MSGPACK_DEFINE_ARRAY(attempt, bucket, key, state, response)
};

// Query of a writer that has a claim of a key that this attempt has claimed.
struct attempt_query
{
    attempt_id attempt;
    std::uint32_t bucket = 0;
    hash128_value key;

    MSGPACK_DEFINE_ARRAY(attempt, bucket, key)
};

// Answer of the owner to an attempt_query.
struct attempt_state
{
    attempt_id attempt;
    std::uint32_t bucket = 0;
    hash128_value key;
    attempt_phase phase = attempt_phase::not_found;
    stored_response response;

    MSGPACK_DEFINE_ARRAY(attempt, bucket, key, phase, response)
};

// All messages to one instance that are due at the same time, sent as one peer
// message.
struct claim_batch
{
    std::vector<claim_request> requests;
    std::vector<claim_reply> replies;
    std::vector<claim_finish> finishes;
    std::vector<attempt_query> queries;
    std::vector<attempt_state> states;

    MSGPACK_DEFINE_ARRAY(requests, replies, finishes, queries, states)
};

// Messages to send, by destination instance.
using outbox = std::map<instance_id, claim_batch>;

// Returns the hash of an idempotency key. The hash also covers the customer and
// the route, so that equal keys of different customers or routes differ.
hash128_value key_hash(const customer_id& customer, const route_id& route,
                       std::string_view key);

// Returns the bucket of a key hash. Throws error if buckets is 0. The number of
// buckets must not change while claims are stored, since a key that moves to
// another bucket could be claimed a second time.
std::uint32_t bucket_of(const hash128_value& key, std::uint32_t buckets);
std::uint32_t bucket_of(const customer_id& customer, const route_id& route,
                        std::string_view key, std::uint32_t buckets);

// Returns the instance to which the bucket is assigned, or nullptr if none is
// live. Instances may temporarily disagree; that reduces performance, not
// safety.
const instance_id* writer_of(std::uint32_t bucket,
                             std::span<const instance_id> live);

} // namespace parsleyplank::claims

#endif
