#ifndef PARSLEYPLANK_CLAIMS_WRITER_SCHEDULE_HPP
#define PARSLEYPLANK_CLAIMS_WRITER_SCHEDULE_HPP

// Which store calls a bucket writer starts, and when: loading, group commit,
// sealing and retention. Used within this library only.

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

} // namespace parsleyplank::claims

#endif
