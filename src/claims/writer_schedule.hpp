#ifndef PARSLEYPLANK_CLAIMS_WRITER_SCHEDULE_HPP
#define PARSLEYPLANK_CLAIMS_WRITER_SCHEDULE_HPP

// Schedules the store calls of a bucket writer: loading, group commit, sealing
// and retention. Used within this library only.

#include <parsleyplank/claims/bucket_writer.hpp>

namespace parsleyplank::claims
{

// Appends the reads that are due to calls, within the limit of reads in flight.
void start_reads(bucket_writer& writer, time_point now,
                 std::vector<store_call>& calls);

// Appends the writes and deletes that are due to calls, within the write
// budget. A bucket's claims are due on arrival and its finishes after
// finish_delay; the bucket whose operation has been due for the longest time is
// written first, and retention last. Long lists of copies to delete come before
// the writes, other deletes after them.
void start_writes(bucket_writer& writer, time_point now, wall_time wall,
                  std::vector<store_call>& calls);

} // namespace parsleyplank::claims

#endif
