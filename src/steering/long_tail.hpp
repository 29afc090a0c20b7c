#ifndef PARSLEYPLANK_STEERING_LONG_TAIL_HPP
#define PARSLEYPLANK_STEERING_LONG_TAIL_HPP

// Decides when a request that takes much longer than its kind does is sent to a
// second server. Derives from response times relative to the expected ones.

#include <parsleyplank/core/clock.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace parsleyplank::steering
{

struct tail_options
{
    // Part of the requests that may last until a second server is asked.
    double max_part = 0.1;
    // The mean remaining time must exceed that of a second request by this
    // factor.
    double min_gain = 1.2;
    // Number of responses from which the histogram is used, and at which its
    // counts are halved.
    double min_responses = 50;
    double max_responses = 400;
    // Weight of one response in the average of second requests.
    double second_weight = 0.1;
    // Expected time of a second request before any was sent, and the weight of
    // each response of a first one in the return to it, so that second servers
    // are tried again after a while.
    double initial_second_ratio = 1.5;
    double return_weight = 0.002;
};

// Lower edges of the buckets, as multiples of the expected time.
inline constexpr std::array tail_edges{0.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0,
                                       3.5, 4.0,  5.0, 6.0,  8.0, 12.0};

struct response_tail
{
    // Requests that lasted until the lower edge of each bucket, and those of
    // them that ended in it.
    std::array<double, tail_edges.size()> reached{};
    std::array<double, tail_edges.size()> ended{};
    // Average time of second requests relative to their expected time.
    double second_ratio = tail_options{}.initial_second_ratio;
};

// Records the time of a call, as a multiple of the expected time. A call that
// was cancelled counts only up to that time.
void record_call_time(response_tail& tail, double ratio, bool completed,
                      const tail_options& options);

// Records the time of a second request that got a response.
void record_second_time(response_tail& tail, double ratio,
                        const tail_options& options);

// Returns the mean remaining time of requests that have lasted until the lower
// edge of a bucket, as a multiple of the expected time.
double mean_remaining(const response_tail& tail, std::size_t bucket);

// Returns the multiple of the expected time after which a second server is
// asked; nullopt if that is not expected to help.
std::optional<double> second_request_after(const response_tail& tail,
                                           const tail_options& options);

} // namespace parsleyplank::steering

#endif
