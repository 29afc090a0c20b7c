#include <parsleyplank/load/histogram.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>

namespace parsleyplank::load
{

namespace
{

constexpr std::size_t parts = 128;

std::size_t bucket_of(std::uint64_t value)
{
    const auto width = static_cast<std::size_t>(std::bit_width(value));
    // Values below 2 * parts have a bucket each.
    const std::size_t shift = width > 8 ? width - 8 : 0;
    return shift * parts + (value >> shift);
}

std::uint64_t middle_of(std::size_t bucket)
{
    if (bucket < 2 * parts)
        return bucket;
    const std::size_t shift = bucket / parts - 1;
    const std::uint64_t base = bucket - shift * parts;
    return (base << shift) + (std::uint64_t{1} << shift) / 2;
}

} // namespace

void record(histogram& h, microseconds latency)
{
    const auto value = std::max(latency, microseconds(0));
    const auto n = bucket_of(static_cast<std::uint64_t>(value.count()));
    if (n >= h.buckets.size())
        h.buckets.resize(n + 1);
    ++h.buckets[n];
    ++h.count;
    h.largest = std::max(h.largest, value);
}

void merge(histogram& h, const histogram& other)
{
    h.buckets.resize(std::max(h.buckets.size(), other.buckets.size()));
    std::ranges::transform(other.buckets, h.buckets, h.buckets.begin(),
                           std::plus<>());
    h.count += other.count;
    h.largest = std::max(h.largest, other.largest);
}

microseconds quantile(const histogram& h, double q)
{
    if (h.count == 0)
        return microseconds(0);
    const double share = std::clamp(q, 0.0, 1.0);
    const auto rank =
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(
                                       share * static_cast<double>(h.count))));
    std::uint64_t seen = 0;
    const auto it = std::ranges::find_if(h.buckets,
                                         [&](std::uint64_t n)
                                         {
                                             seen += n;
                                             return seen >= rank;
                                         });
    const auto bucket = static_cast<std::size_t>(it - h.buckets.begin());
    return std::min(microseconds(middle_of(bucket)), h.largest);
}

} // namespace parsleyplank::load
