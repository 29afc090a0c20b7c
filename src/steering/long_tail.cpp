#include <parsleyplank/steering/long_tail.hpp>

#include <algorithm>
#include <functional>

namespace parsleyplank::steering
{

namespace
{

// Width of a bucket; the last one has that of the one before it.
double width_of(std::size_t bucket)
{
    const auto i = std::min(bucket, tail_edges.size() - 2);
    return tail_edges.at(i + 1) - tail_edges.at(i);
}

} // namespace

void record_call_time(response_tail& tail, double ratio, bool completed,
                      const tail_options& options)
{
    const auto past = std::ranges::upper_bound(tail_edges, ratio);
    if (past == tail_edges.begin())
        return;
    const auto last = static_cast<std::size_t>(past - tail_edges.begin()) - 1;
    tail.second_ratio += (options.initial_second_ratio - tail.second_ratio) *
                         options.return_weight;
    for (std::size_t i = 0; i <= last; ++i)
        ++tail.reached.at(i);
    if (completed)
        ++tail.ended.at(last);
    if (tail.reached.front() < options.max_responses)
        return;
    std::ranges::for_each(tail.reached, [](double& n) { n /= 2; });
    std::ranges::for_each(tail.ended, [](double& n) { n /= 2; });
}

void record_second_time(response_tail& tail, double ratio,
                        const tail_options& options)
{
    constexpr double max_ratio = 10;
    tail.second_ratio += (std::min(ratio, max_ratio) - tail.second_ratio) *
                         options.second_weight;
}

double mean_remaining(const response_tail& tail, std::size_t bucket)
{
    double remaining = 0;
    for (auto i = tail_edges.size(); i-- > bucket;)
    {
        const auto reached = tail.reached.at(i);
        if (reached <= 0)
            continue;
        const auto ends = std::min(1.0, tail.ended.at(i) / reached);
        const auto width = width_of(i);
        remaining = ends * width / 2 + (1 - ends) * (width + remaining);
    }
    return remaining;
}

std::optional<double> second_request_after(const response_tail& tail,
                                           const tail_options& options)
{
    const auto all = tail.reached.front();
    if (all < options.min_responses)
        return std::nullopt;
    // Cancelled calls are missing from later buckets, so the part that lasts is
    // the product of the parts of each bucket.
    double part = 1;
    for (std::size_t i = 0; i + 1 < tail_edges.size(); ++i)
    {
        if (tail.reached.at(i) <= 0)
            return std::nullopt;
        part *= 1 - std::min(1.0, tail.ended.at(i) / tail.reached.at(i));
        if (part > 0 && part <= options.max_part &&
            mean_remaining(tail, i + 1) > tail.second_ratio * options.min_gain)
            return tail_edges.at(i + 1);
    }
    return std::nullopt;
}

} // namespace parsleyplank::steering
