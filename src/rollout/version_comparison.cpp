#include <parsleyplank/rollout/version_comparison.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <span>

namespace parsleyplank::rollout
{

namespace
{

std::uint64_t sum(std::span<const std::uint32_t> counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
}

// Returns the logarithm of the binomial coefficient.
double log_choose(double n, double k)
{
    return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
}

std::string describe(const route_id& route, const char* what,
                     const sample& tested, const sample& reference)
{
    return "route " + route.value + ": " + std::to_string(tested.faulty) +
           " of " + std::to_string(tested.total) + " " + what +
           " on the new version, " + std::to_string(reference.faulty) + " of " +
           std::to_string(reference.total) + " on the old one";
}

sample failures(const version_counts& counts)
{
    return {counts.failed, counts.failed + counts.succeeded};
}

std::optional<std::string> find_failures(const route_id& route,
                                         const route_counts& counts,
                                         const comparison_options& options)
{
    const auto tested = failures(counts.new_version);
    const auto reference = failures(counts.old_version);
    if (fisher_tail(tested, reference) >= options.significance)
        return std::nullopt;
    return describe(route, "failed", tested, reference);
}

// Returns the lowest bucket such that it and the buckets above contain at most
// the given fraction of the counts.
std::size_t slow_bucket(const version_counts& counts, double part)
{
    const auto allowed = part * static_cast<double>(sum(counts.latencies));
    std::uint64_t above = 0;
    std::size_t i = counts.latencies.size();
    while (i > 0 &&
           static_cast<double>(above + counts.latencies.at(i - 1)) <= allowed)
        above += counts.latencies.at(--i);
    return i;
}

sample slow_requests(const version_counts& counts, std::size_t bucket)
{
    const std::span all(counts.latencies);
    return {sum(all.subspan(bucket)), sum(all)};
}

std::optional<std::string> find_slowness(const route_id& route,
                                         const route_counts& counts,
                                         const comparison_options& options)
{
    const auto bucket = slow_bucket(counts.old_version, options.slow_fraction);
    const auto tested = slow_requests(counts.new_version, bucket);
    const auto reference = slow_requests(counts.old_version, bucket);
    const bool enough = reference.total >= options.min_old_requests;
    const auto least =
        options.min_slow_fraction * static_cast<double>(tested.total);
    if (!enough || static_cast<double>(tested.faulty) < least ||
        fisher_tail(tested, reference) >= options.significance)
        return std::nullopt;
    return describe(route, "slow", tested, reference);
}

} // namespace

double fisher_tail(const sample& tested, const sample& reference)
{
    const auto n = static_cast<double>(tested.total);
    const auto m = static_cast<double>(reference.total);
    const auto faulty = static_cast<double>(tested.faulty + reference.faulty);
    const auto from = static_cast<double>(tested.faulty);
    if (from <= faulty * n / (n + m) || n + m == 0)
        return 1;
    // The first term is computed by logarithms, the others by the ratio of
    // consecutive terms. Above the mean the terms decrease, so the sum ends
    // when a term is negligible.
    double term = std::exp(log_choose(n, from) + log_choose(m, faulty - from) -
                           log_choose(n + m, faulty));
    double total = 0;
    const auto last = std::min(n, faulty);
    for (double i = from; i <= last && term > total * 1e-12; ++i)
    {
        total += term;
        term *= (n - i) * (faulty - i) / ((i + 1) * (m - faulty + i + 1));
    }
    return std::min(1.0, total);
}

std::optional<std::string> find_regression(const counts_by_route& counts,
                                           const comparison_options& options)
{
    std::optional<std::string> fault;
    std::ranges::for_each(
        counts,
        [&](const auto& it)
        {
            if (!fault)
                fault = find_failures(it.first, it.second, options);
            if (!fault)
                fault = find_slowness(it.first, it.second, options);
        });
    return fault;
}

} // namespace parsleyplank::rollout
