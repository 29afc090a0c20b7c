#include <parsleyplank/quota/token_bucket.hpp>
#include <parsleyplank/quota/token_stock.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace parsleyplank::quota
{

namespace
{

// Parts below this rate, in tokens per second, are left to the pool: with only
// a few tokens per second, an instance would refuse requests by chance that are
// within the customer's rate.
constexpr double min_kept_rate = 2;
// Smallest part of the burst of which an instance keeps a half, in tokens.
constexpr double min_kept_burst = 2;
constexpr double kept_part = 0.5;
// Spare tokens are dropped beyond what is issued in this time. They are moved
// more often than that unless the process is paused.
constexpr double max_spare_s = 0.5;
// A level this far below a whole token is one: it is a sum of many parts.
constexpr double rounding = 1e-9;

// Removes the whole tokens of a level and returns their number, at most
// `wanted`.
std::uint32_t take_whole(tokens& level, std::uint32_t wanted)
{
    const auto whole = std::floor(std::max(0.0, level.value + rounding));
    const auto count = static_cast<std::uint32_t>(
        std::min(whole, static_cast<double>(wanted)));
    level -= tokens(count);
    return count;
}

bool take_one(tokens& level)
{
    return take_whole(level, 1) == 1;
}

// Adds tokens up to the limit; a level that is already above it stays. Returns
// those that were not added.
tokens add_up_to(tokens& level, tokens added, tokens limit)
{
    const auto room = std::max(tokens(0), limit - level);
    const auto fitting = std::min(room, added);
    level += fitting;
    return added - fitting;
}

} // namespace

rate_part divide_rate(token_rate rate, tokens burst,
                      const rate_division& division)
{
    const auto issuers =
        static_cast<double>(std::max<std::size_t>(1, division.issuers));
    const auto even_rate = rate * (1 / issuers);
    const auto even_burst = burst * (1 / issuers);
    const bool kept =
        even_rate.value >= min_kept_rate && even_burst.value >= min_kept_burst;
    const auto own = kept ? even_burst * kept_part : tokens(0);
    const auto in_touch = static_cast<double>(
        std::max<std::size_t>(1, division.issuers_in_touch));
    return {
        division.issuing ? even_rate : token_rate(0), own,
        tokens(std::max(1.0, std::ceil((even_burst - own).value * in_touch)))};
}

token_stock make_stock(const rate_part& part, double phase, time_point now)
{
    token_stock stock;
    stock.part = part;
    stock.spare = tokens(phase);
    stock.refilled = now;
    return stock;
}

void issue_since(token_stock& stock, time_point since)
{
    stock.refilled = std::min(stock.refilled, since);
}

void set_part(token_stock& stock, const rate_part& part, time_point now)
{
    refill(stock, false, now);
    stock.part = part;
}

void refill(token_stock& stock, bool is_pool, time_point now)
{
    if (now <= stock.refilled)
        return;
    const tokens issued(stock.part.rate.value *
                        seconds_between(stock.refilled, now));
    stock.refilled = now;
    const auto beyond_own = add_up_to(stock.own, issued, stock.part.own_burst);
    const tokens max_spare(1 + stock.part.rate.value * max_spare_s);
    add_up_to(stock.spare, beyond_own, max_spare);
    if (is_pool)
    {
        const auto moved = std::exchange(stock.spare, tokens(0));
        add_up_to(stock.pooled, moved, stock.part.pool_burst);
    }
}

bool take(token_stock& stock, bool is_pool, time_point now)
{
    refill(stock, is_pool, now);
    return take_one(stock.own) || take_one(stock.spare) ||
           (is_pool && take_one(stock.pooled));
}

std::uint32_t take_pooled(token_stock& stock, std::uint32_t wanted)
{
    return take_whole(stock.pooled, wanted);
}

void add_pooled(token_stock& stock, std::uint32_t count)
{
    add_up_to(stock.pooled, tokens(count), stock.part.pool_burst);
}

std::uint32_t take_spare(token_stock& stock, double expected)
{
    const auto kept = std::max(stock.part.own_burst, tokens(expected));
    const auto excess = std::max(tokens(0), stock.own - kept);
    stock.own -= excess;
    stock.spare += excess;
    return take_whole(stock.spare, std::numeric_limits<std::uint32_t>::max());
}

} // namespace parsleyplank::quota
