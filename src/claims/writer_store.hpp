#ifndef PARSLEYPLANK_CLAIMS_WRITER_STORE_HPP
#define PARSLEYPLANK_CLAIMS_WRITER_STORE_HPP

// The store calls of a bucket writer: loading, group commit, sealing and
// retention. Used by bucket_writer only.

#include <parsleyplank/claims/bucket_writer.hpp>

namespace parsleyplank::claims
{

// Adds the reads that are due, as far as the bound on reads in flight allows.
void start_reads(bucket_writer& writer, time_point now,
                 std::vector<store_call>& calls);

// Adds the writes and deletes that are due, as far as the write budget allows:
// first the bucket whose oldest claim waits longest, then finishes that waited
// for finish_delay, then retention.
void start_writes(bucket_writer& writer, time_point now, wall_time wall,
                  std::vector<store_call>& calls);

// Answers the operations of a write that is in the store.
void answer_committed(bucket_writer& writer, bucket& b,
                      const std::vector<operation>& operations);

// Makes blocked claims pending again whose key has another state by now.
void recheck_blocked(bucket& b);

} // namespace parsleyplank::claims

#endif
