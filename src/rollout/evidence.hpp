#ifndef PARSLEYPLANK_ROLLOUT_EVIDENCE_HPP
#define PARSLEYPLANK_ROLLOUT_EVIDENCE_HPP

// Counts of requests per route on the old and the new version of an upstream,
// and windows over them. Counts only grow, so a lost or repeated report does no
// harm: the next one replaces it.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>

namespace parsleyplank::rollout
{

// Bucket i holds latencies below 0.5 ms * 1.5^i; the last one all others.
inline constexpr std::size_t latency_buckets = 32;

struct version_counts
{
    std::uint64_t failed = 0;
    std::uint64_t succeeded = 0;
    // Latencies of successful requests of warm servers.
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

// Returns the bucket of a latency.
std::size_t latency_bucket(std::chrono::microseconds latency);

struct observation
{
    bool new_version = false;
    bool failed = false;
    // False while the server is in its slow start: cold caches make any version
    // slow.
    bool warm = true;
    std::chrono::microseconds latency{0};
};

// Adds one finished request.
void record(counts_by_route& counts, const route_id& route,
            const observation& seen);

// Adds counts, and subtracts earlier counts of the same source; entries that
// shrank, since the source restarted, count as zero.
void add(counts_by_route& sum, const counts_by_route& more);
counts_by_route difference(const counts_by_route& later,
                           const counts_by_route& earlier);

// Snapshots of a growing sum, to cut windows from.
struct history
{
    struct snapshot
    {
        time_point taken;
        counts_by_route counts;
    };
    std::deque<snapshot> snapshots;
};

// Takes a snapshot if the last one is old enough, and drops those that no
// window needs.
void remember(history& past, const counts_by_route& counts, time_point now);

// Returns what was counted in about the last stretch of time.
counts_by_route window(const history& past, const counts_by_route& counts,
                       milliseconds length, time_point now);

} // namespace parsleyplank::rollout

#endif
