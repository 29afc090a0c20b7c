#ifndef PARSLEYPLANK_ROLLOUT_VERSION_COMPARISON_HPP
#define PARSLEYPLANK_ROLLOUT_VERSION_COMPARISON_HPP

// Compares a new version with the old one over the same time, route by route,
// by Fisher's exact test: how likely it is that so many of the failures (or
// slow requests) of both fell to the new version if the two were alike. A test
// against the old version's estimated rate is not enough: at a share of 95% the
// old version has few requests, and chance in its estimate rolled back good
// versions.

#include <parsleyplank/rollout/request_counts.hpp>

#include <optional>
#include <string>

namespace parsleyplank::rollout
{

struct comparison_options
{
    // Probability below which a difference is not chance. A rollout is looked
    // at about 600 times, in three windows, for two tests and a few routes,
    // which makes about 10^4 correlated looks.
    double significance = 1e-7;
    // Requests of the old version without which latencies are not compared.
    std::uint64_t min_old_requests = 50;
    // Part of the old version's requests above the limit that counts as slow.
    double slow_fraction = 0.1;
    // A new version is slow only if this part of its requests is, or more.
    double min_slow_fraction = 0.25;
};

// Requests of one version, and how many of them are faulty.
struct sample
{
    std::uint64_t faulty = 0;
    std::uint64_t total = 0;
};

// Returns the probability that the first sample has at least as many of the
// faulty requests of both as it has, if each request is equally likely faulty.
double fisher_tail(const sample& tested, const sample& reference);

// Returns what shows the new version to be bad, naming the route; nothing if
// nothing does.
std::optional<std::string> find_regression(const counts_by_route& counts,
                                           const comparison_options& options);

} // namespace parsleyplank::rollout

#endif
