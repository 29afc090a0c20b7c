#ifndef PARSLEYPLANK_LOAD_HISTOGRAM_HPP
#define PARSLEYPLANK_LOAD_HISTOGRAM_HPP

// Counts of latencies in log-linear buckets: each power of two is split into
// 128 equal parts, so a quantile is off by at most 1/128 of its value.

#include <chrono>
#include <cstdint>
#include <vector>

namespace parsleyplank::load
{

using std::chrono::microseconds;

struct histogram
{
    std::vector<std::uint64_t> buckets;
    std::uint64_t count = 0;
    microseconds largest{0};
};

// Counts a latency; a negative one counts as zero.
void record(histogram& h, microseconds latency);

// Adds the counts of another histogram.
void merge(histogram& h, const histogram& other);

// Returns the latency that the fraction q (0 to 1) of all counted ones does not
// exceed, 0 if there are none.
microseconds quantile(const histogram& h, double q);

} // namespace parsleyplank::load

#endif
