#include <parsleyplank/rollout/evidence.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::rollout
{

namespace
{

constexpr double first_bucket_us = 500;
constexpr double bucket_growth = 1.5;
constexpr milliseconds snapshot_interval{5'000};
// The longest window that is judged, and one interval more.
constexpr milliseconds longest_window{65'000};

template <typename Operation>
void combine(version_counts& into, const version_counts& other,
             Operation operation)
{
    into.failed = operation(into.failed, other.failed);
    into.succeeded = operation(into.succeeded, other.succeeded);
    std::ranges::transform(into.latencies, other.latencies,
                           into.latencies.begin(), operation);
}

template <typename Operation>
void combine(counts_by_route& into, const counts_by_route& other,
             Operation operation)
{
    std::ranges::for_each(
        other,
        [&](const auto& it)
        {
            auto& counts = into[it.first];
            combine(counts.old_version, it.second.old_version, operation);
            combine(counts.new_version, it.second.new_version, operation);
        });
}

} // namespace

std::size_t latency_bucket(std::chrono::microseconds latency)
{
    const auto us = std::max(1.0, static_cast<double>(latency.count()));
    const auto n =
        std::floor(std::log(us / first_bucket_us) / std::log(bucket_growth)) +
        1;
    return static_cast<std::size_t>(
        std::clamp(n, 0.0, static_cast<double>(latency_buckets - 1)));
}

void record(counts_by_route& counts, const route_id& route,
            const observation& seen)
{
    auto& both = counts[route];
    auto& side = seen.new_version ? both.new_version : both.old_version;
    if (seen.failed)
    {
        ++side.failed;
        return;
    }
    ++side.succeeded;
    if (seen.warm)
        ++side.latencies.at(latency_bucket(seen.latency));
}

void add(counts_by_route& sum, const counts_by_route& more)
{
    combine(sum, more, [](auto a, auto b) { return a + b; });
}

counts_by_route difference(const counts_by_route& later,
                           const counts_by_route& earlier)
{
    auto result = later;
    combine(result, earlier,
            [](auto a, auto b) { return a > b ? a - b : decltype(a)(0); });
    return result;
}

void remember(history& past, const counts_by_route& counts, time_point now)
{
    auto& all = past.snapshots;
    if (!all.empty() && now - all.back().taken < snapshot_interval)
        return;
    all.push_back({now, counts});
    while (now - all.front().taken > longest_window)
        all.pop_front();
}

counts_by_route window(const history& past, const counts_by_route& counts,
                       milliseconds length, time_point now)
{
    const auto it =
        std::ranges::find_if(past.snapshots, [&](const history::snapshot& s)
                             { return now - s.taken <= length; });
    return it == past.snapshots.end() ? counts_by_route{}
                                      : difference(counts, it->counts);
}

} // namespace parsleyplank::rollout
