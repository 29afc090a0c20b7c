#ifndef PARSLEYPLANK_ROLLOUT_VERSION_COMPARISON_HPP
#define PARSLEYPLANK_ROLLOUT_VERSION_COMPARISON_HPP

// Compares a new version with the old one over the same time, per route, by
// Fisher's exact test: the probability that at least so many of the failures
// (or slow requests) of both versions fall on the new version if the versions
// do not differ. A test against the failure rate estimated for the old version
// is not enough: at a share of 95% the old version gets few requests, and the
// error of the estimate caused good versions to be rolled back.

#include <parsleyplank/rollout/request_counts.hpp>

#include <optional>
#include <string>

namespace parsleyplank::rollout
{

struct comparison_options
{
    // Significance level of one test. A rollout is tested about 600 times, in
    // three windows, for failures and slowness, on a few routes: about 10^4
    // correlated tests.
    double significance = 1e-7;
    // Latencies are compared only from this number of old-version requests on.
    std::uint64_t min_old_requests = 50;
    // Fraction of the old version's requests that may exceed the latency limit
    // above which a request counts as slow.
    double slow_fraction = 0.1;
    // Minimum fraction of slow requests for a new version to be slow.
    double min_slow_fraction = 0.25;
};

// Requests of one version and how many of them are faulty (failed or slow).
struct sample
{
    std::uint64_t faulty = 0;
    std::uint64_t total = 0;
};

// Returns the one-sided p-value of Fisher's exact test: the probability that
// the tested sample contains at least its number of faulty requests, given the
// number in both samples, if every request is equally likely to be faulty.
double fisher_tail(const sample& tested, const sample& reference);

// Returns a description of the first regression found, with the route and the
// counts, or nullopt if the new version shows none.
std::optional<std::string> find_regression(const counts_by_route& counts,
                                           const comparison_options& options);

} // namespace parsleyplank::rollout

#endif
