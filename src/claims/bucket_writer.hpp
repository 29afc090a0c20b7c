#ifndef PARSLEYPLANK_CLAIMS_BUCKET_WRITER_HPP
#define PARSLEYPLANK_CLAIMS_BUCKET_WRITER_HPP

// Writes the claims of the buckets that other instances send here, with group
// commit. Any number of instances may write the same bucket: a claim is granted
// only after an applied compare-and-swap of the bucket's head or after a read
// that shows it. A bucket that is not assigned is written on request too, so
// that instances with different views of the live instances make progress.

#include <parsleyplank/claims/bucket.hpp>
#include <parsleyplank/core/clock.hpp>

#include <map>
#include <set>
#include <span>
#include <vector>

namespace parsleyplank::claims
{

struct writer_settings
{
    // Bytes of entries at which the current segment is sealed. Every claim
    // write carries the whole segment: 256 KiB took 18.7 MB/s at 100 orders/s,
    // 32 KiB took 2.4 MB/s with the same latency.
    std::size_t segment_bytes = 32'768;
    // Sealed segments of one bucket. Beyond it claims are not taken until the
    // retention frees a segment; bounds memory and the size of the head.
    std::size_t max_segments = 1'000;
    // Store writes and deletes per second of this instance.
    double write_rate = 30;
    // Writes that may follow each other at once after a quiet time.
    double write_burst = 10;
    // Store reads in flight.
    std::size_t max_reads = 4;
    // Claims and finishes that wait for a write, over all buckets.
    std::size_t max_operations = 20'000;
    // A claim that waited this long is dropped; its owner has given it up.
    milliseconds claim_wait{2'000};
    // A finish waits this long for a claim to share its write.
    milliseconds finish_delay{500};
    // Time for the owner of a claim to answer an attempt_query.
    milliseconds query_timeout{500};
    // Pause after a store call that failed.
    milliseconds retry_delay{100};
    // Unassigned buckets without messages are forgotten after this time.
    milliseconds idle_timeout{30'000};
    // Age at which claims are forgotten. Calendar clocks must be right to well
    // within this time.
    std::chrono::seconds retention{86'400};
};

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

struct bucket_writer
{
    writer_settings settings;
    std::map<std::uint32_t, bucket> buckets;
    std::set<std::uint32_t> assigned;
    std::uint64_t next_call = 1;
    // Bucket of each store call in flight.
    std::map<std::uint64_t, std::uint32_t> calls;
    std::size_t reads_in_flight = 0;
    std::size_t operations = 0;
    double write_budget = 0;
    time_point budget_updated_at;
    outbox messages;
    writer_counters counters;
};

struct writer_actions
{
    std::vector<store_call> calls;
    outbox messages;
};

// Returns a writer with no buckets. Throws config_error if a setting is out of
// range.
bucket_writer make_writer(const writer_settings& settings);

// Sets the buckets that this instance should write. Those are loaded ahead of
// requests; others are forgotten when idle.
void assign(bucket_writer& writer, std::span<const std::uint32_t> buckets);

// Takes a message. The replies are returned by the next advance.
void receive(bucket_writer& writer, const claim_request& request,
             time_point now);
void receive(bucket_writer& writer, const claim_finish& finish, time_point now);
void receive(bucket_writer& writer, const attempt_state& state, time_point now);

// Takes the outcome of a store call. Outcomes of calls that are not in flight
// are ignored.
void receive(bucket_writer& writer, const store_outcome& outcome,
             time_point now);

// Returns the store calls and messages that are due. Every call needs exactly
// one outcome, at the latest "unknown" or "unavailable" after a timeout. Call
// after inputs and about every 10 ms.
writer_actions advance(bucket_writer& writer, time_point now, wall_time wall);

} // namespace parsleyplank::claims

#endif
