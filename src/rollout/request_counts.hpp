#ifndef PARSLEYPLANK_ROLLOUT_REQUEST_COUNTS_HPP
#define PARSLEYPLANK_ROLLOUT_REQUEST_COUNTS_HPP

// Counts of requests per route on the old and the new version of an upstream,
// and time windows over them. Counts are cumulative, so a lost or repeated
// report does no harm: the next report replaces it.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>

namespace parsleyplank::rollout
{

// Bucket i counts latencies below 0.5 ms * 1.5^i that no lower bucket counts;
// the last one counts all others.
inline constexpr std::size_t latency_buckets = 32;

struct version_counts
{
    std::uint64_t failed = 0;
    std::uint64_t succeeded = 0;
    // Histogram of the latencies of successful requests on warm servers.
    std::array<std::uint32_t, latency_buckets> latencies{};

    bool operator==(const version_counts&) const = default;

    MSGPACK_DEFINE_ARRAY(failed, succeeded, latencies)
};

struct route_counts
{
    version_counts old_version;
    version_counts new_version;

    bool operator==(const route_counts&) const = default;

    MSGPACK_DEFINE_ARRAY(old_version, new_version)
};

using counts_by_route = std::map<route_id, route_counts>;

// Returns the index of the histogram bucket of a latency.
std::size_t latency_bucket(std::chrono::microseconds latency);

// Result of one finished request.
struct observation
{
    bool new_version = false;
    bool failed = false;
    // False while the server is in slow start: its caches are cold, which makes
    // any version slow.
    bool warm = true;
    std::chrono::microseconds latency{0};
};

// Counts one finished request.
void record(counts_by_route& counts, const route_id& route,
            const observation& seen);

// Adds more to sum.
void add(counts_by_route& sum, const counts_by_route& more);

// Returns later minus earlier counts of the same source. An entry that is lower
// than before, because the source restarted, gives 0.
counts_by_route difference(const counts_by_route& later,
                           const counts_by_route& earlier);

// Snapshots of cumulative counts, from which time windows are computed.
struct history
{
    struct snapshot
    {
        time_point taken_at;
        counts_by_route counts;
    };
    // In order of time, oldest first.
    std::deque<snapshot> snapshots;
};

// Adds a snapshot if the last one is at least 5 s old, and drops snapshots that
// are older than the longest window.
void add_snapshot(history& past, const counts_by_route& counts, time_point now);

// Returns the requests counted since the oldest snapshot that is within the
// given length of time, so the window may be shorter by up to one snapshot
// interval. Returns no counts if there is no such snapshot.
counts_by_route counts_in_window(const history& past,
                                 const counts_by_route& counts,
                                 milliseconds length, time_point now);

} // namespace parsleyplank::rollout

#endif
