#include <parsleyplank/quota/token_bucket.hpp>

#include <algorithm>

namespace parsleyplank::quota
{

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

token_bucket empty_bucket(token_rate rate, tokens burst, time_point now)
{
    return {rate, burst, tokens(0), now};
}

void refill(token_bucket& bucket, time_point now)
{
    if (now <= bucket.refilled)
        return;
    const tokens added(bucket.rate.value *
                       seconds_between(bucket.refilled, now));
    bucket.level = std::min(bucket.burst, bucket.level + added);
    bucket.refilled = now;
}

void resize(token_bucket& bucket, token_rate rate, tokens burst, time_point now)
{
    refill(bucket, now);
    bucket.rate = std::max(rate, token_rate(0));
    bucket.burst = std::max(burst, tokens(0));
    bucket.level = std::min(bucket.level, bucket.burst);
}

bool take(token_bucket& bucket, tokens count, time_point now)
{
    refill(bucket, now);
    if (bucket.level < count)
        return false;
    bucket.level -= count;
    return true;
}

} // namespace parsleyplank::quota
