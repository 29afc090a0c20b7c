#ifndef PARSLEYPLANK_CLAIMS_WRITER_REPLIES_HPP
#define PARSLEYPLANK_CLAIMS_WRITER_REPLIES_HPP

// What a bucket writer tells the owners of attempts. Every answer comes from
// content that is in the store, never from a write that is not confirmed. Used
// within this library only.

#include <parsleyplank/claims/bucket_writer.hpp>

#include <functional>

namespace parsleyplank::claims
{

// Adds a reply to the messages of the writer.
void reply(bucket_writer& writer, const attempt_id& to, claim_outcome outcome,
           stored_response response = {});

// Asks the owner of the claim that blocks this one.
void query_owner(bucket_writer& writer, const bucket& b,
                 const blocked_claim& claim);

// Removes the claims that match from blocked and returns them.
std::vector<blocked_claim>
extract_blocked(bucket& b,
                const std::function<bool(const blocked_claim&)>& matches);

// Answers or blocks the pending operations that need no write.
void answer_pending(bucket_writer& writer, bucket& b, time_point now);

// Answers the operations of a write that is in the store.
void answer_committed(bucket_writer& writer, bucket& b,
                      const std::vector<operation>& operations);

// Makes blocked claims pending again whose key has another state by now.
void recheck_blocked(bucket& b);

} // namespace parsleyplank::claims

#endif
