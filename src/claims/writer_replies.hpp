#ifndef PARSLEYPLANK_CLAIMS_WRITER_REPLIES_HPP
#define PARSLEYPLANK_CLAIMS_WRITER_REPLIES_HPP

// Replies of a bucket writer to the owners of attempts. Every reply is based on
// content that the store holds, never on an unconfirmed write. Used within this
// library only.

#include <parsleyplank/claims/bucket_writer.hpp>

#include <functional>

namespace parsleyplank::claims
{

// Adds a reply to the outgoing messages of the writer and counts it.
void reply(bucket_writer& writer, const attempt_id& to, claim_outcome outcome,
           stored_response response = {});

// Adds a query to the owner of the attempt that blocks this claim.
void query_owner(bucket_writer& writer, const bucket& b,
                 const blocked_claim& claim);

// Removes the matching blocked claims and returns them.
std::vector<blocked_claim>
extract_blocked(bucket& b,
                const std::function<bool(const blocked_claim&)>& matches);

// Answers or blocks the pending operations that need no write, if
// recheck_pending is set. Assumes that the bucket is loaded.
void answer_pending(bucket_writer& writer, bucket& b, time_point now);

// Answers the operations of a write that the store has applied.
void answer_committed(bucket_writer& writer, bucket& b,
                      const std::vector<operation>& operations);

// Makes a blocked claim pending again if the attempt that blocked it no longer
// holds the key in the claimed state.
void recheck_blocked(bucket& b);

} // namespace parsleyplank::claims

#endif
