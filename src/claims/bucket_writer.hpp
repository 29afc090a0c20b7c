#ifndef PARSLEYPLANK_CLAIMS_BUCKET_WRITER_HPP
#define PARSLEYPLANK_CLAIMS_BUCKET_WRITER_HPP

// Writes the claims of the buckets that other instances send to this one, with
// group commit. Any number of instances may write the same bucket: a claim is
// granted only after an applied compare-and-swap of the bucket's head, or after
// a read that shows the claim. A bucket that is not assigned to this instance
// is written on request too, so that instances that disagree on which instances
// are live still make progress. No I/O.

#include <parsleyplank/claims/bucket.hpp>
#include <parsleyplank/core/clock.hpp>

#include <map>
#include <set>
#include <span>
#include <vector>

namespace parsleyplank::claims
{

// Limits, rates and timeouts of one writer.
struct writer_settings
{
    // Size in bytes of the entries at which the current segment is sealed.
    // Every write of a claim carries the whole segment: at 100 orders/s, 256
    // KiB took 18.7 MB/s and 32 KiB took 2.4 MB/s with the same latency.
    std::size_t segment_bytes = 32'768;
    // Largest number of sealed segments per bucket. At this limit a claim that
    // does not fit into the current segment is not granted until a segment
    // exceeds the retention. Bounds the memory and the size of the head.
    std::size_t max_segments = 1'000;
    // Store writes and deletes per second of this instance.
    double write_rate = 30;
    // Largest burst of writes and deletes after an idle period.
    double write_burst = 10;
    // Largest number of store reads in flight.
    std::size_t max_reads = 4;
    // Largest number of queued claims and finishes over all buckets; further
    // claims are refused and further finishes are dropped.
    std::size_t max_operations = 20'000;
    // Time after which a pending claim is dropped, since its owner has
    // abandoned it.
    milliseconds claim_wait{2'000};
    // Time that a finish waits for a claim to share its write.
    milliseconds finish_delay{500};
    // Time in which the owner of a claim has to answer an attempt_query; after
    // it the blocked claim is answered with unknown.
    milliseconds query_timeout{500};
    // Delay before the next store call of a bucket after a failed one.
    milliseconds retry_delay{100};
    // Time without messages after which an unassigned bucket is removed from
    // memory.
    milliseconds idle_timeout{30'000};
    // Age at which claims are deleted. The calendar clocks of the instances
    // must be accurate to well within this time.
    std::chrono::seconds retention{86'400};
};

// Counts of events since the start.
struct writer_counters
{
    std::uint64_t writes = 0;
    std::uint64_t written_bytes = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown_writes = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t undecodable = 0;
};

// The buckets that this instance holds, and its store calls in flight.
struct bucket_writer
{
    writer_settings settings;
    std::map<std::uint32_t, bucket> buckets;
    std::set<std::uint32_t> assigned;
    std::uint64_t next_call = 1;
    // Bucket number of each store call in flight, by call id.
    std::map<std::uint64_t, std::uint32_t> calls;
    std::size_t reads_in_flight = 0;
    // Pending, blocked and staged operations over all buckets.
    std::size_t operations = 0;
    // Store writes and deletes that may start now, as of budget_updated_at.
    double write_budget = 0;
    time_point budget_updated_at;
    outbox messages;
    writer_counters counters;
};

// Store calls to carry out and messages to send.
struct writer_actions
{
    std::vector<store_call> calls;
    outbox messages;
};

// Returns a writer without buckets. Throws config_error if a setting is out of
// range.
bucket_writer make_writer(const writer_settings& settings);

// Sets the buckets assigned to this instance. They are loaded ahead of
// requests; other buckets are removed from memory when idle.
void assign(bucket_writer& writer, std::span<const std::uint32_t> buckets);

// Handles a message. The replies are returned by the next call of advance.
void receive(bucket_writer& writer, const claim_request& request,
             time_point now);
void receive(bucket_writer& writer, const claim_finish& finish, time_point now);
void receive(bucket_writer& writer, const attempt_state& state, time_point now);

// Handles the outcome of a store call. Ignores the outcome of a call that is
// not in flight.
void receive(bucket_writer& writer, const store_outcome& outcome,
             time_point now);

// Returns the store calls and the messages that are due. Every call needs
// exactly one outcome: unknown or unavailable at the latest, after a timeout.
// To be called after inputs and about every 10 ms.
writer_actions advance(bucket_writer& writer, time_point now, wall_time wall);

} // namespace parsleyplank::claims

#endif
