#ifndef PARSLEYPLANK_QUOTA_TOKEN_BUCKET_HPP
#define PARSLEYPLANK_QUOTA_TOKEN_BUCKET_HPP

// A token bucket that is refilled by elapsed time. Tokens are never created in
// any other way: a larger capacity starts empty.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/units.hpp>

namespace parsleyplank::quota
{

struct token_bucket
{
    token_rate rate;
    tokens burst;
    tokens level;
    // Time up to which the refill has been added.
    time_point refilled;
};

// Returns an empty bucket whose refill starts now.
token_bucket empty_bucket(token_rate rate, tokens burst, time_point now);

// Adds the refill since the last call, up to the burst. A time before the last
// call changes nothing.
void refill(token_bucket& bucket, time_point now);

// Refills at the old rate, then sets rate and burst. A level above the new
// burst drops to it; a larger burst adds no tokens. Negative values count as
// zero.
void resize(token_bucket& bucket, token_rate rate, tokens burst,
            time_point now);

// Takes the tokens if the bucket holds them now; otherwise takes nothing and
// returns false.
bool take(token_bucket& bucket, tokens count, time_point now);

// Returns the seconds between two points, negative if the second is earlier.
double seconds_between(time_point from, time_point to);

} // namespace parsleyplank::quota

#endif
