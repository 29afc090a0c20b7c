#ifndef PARSLEYPLANK_QUOTA_TOKEN_BUCKET_HPP
#define PARSLEYPLANK_QUOTA_TOKEN_BUCKET_HPP

// A token bucket that is refilled by elapsed time only: capacity that is added
// to it starts empty.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/units.hpp>

namespace parsleyplank::quota
{

struct token_bucket
{
    token_rate rate;
    tokens burst;
    tokens level;
    // Time up to which refills have been added.
    time_point refilled;
};

// Returns an empty bucket whose refill starts now.
token_bucket empty_bucket(token_rate rate, tokens burst, time_point now);

// Adds the tokens for the time since the last refill, up to the burst. Has no
// effect if the time is not after the last refill.
void refill(token_bucket& bucket, time_point now);

// Refills at the old rate, then sets rate and burst. A level above the new
// burst is reduced to it; a larger burst adds no tokens. Negative values count
// as zero.
void resize(token_bucket& bucket, token_rate rate, tokens burst,
            time_point now);

// Refills the bucket and takes the tokens if it holds them; otherwise takes
// nothing and returns false.
bool take(token_bucket& bucket, tokens count, time_point now);

// Returns the seconds between two times, negative if the second is earlier.
double seconds_between(time_point from, time_point to);

} // namespace parsleyplank::quota

#endif
