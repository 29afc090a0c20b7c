#include <parsleyplank/core/error.hpp>
#include <parsleyplank/quota/customer_pool.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::quota
{

namespace
{

// Rounds down to a float, because messages carry floats: a message must never
// state more than the sender holds.
float round_down(double value)
{
    const auto rounded = static_cast<float>(value);
    return static_cast<double>(rounded) > value ? std::nextafter(rounded, 0.0F)
                                                : rounded;
}

double fraction(share_ppm share)
{
    return share.value / static_cast<double>(ppm_total);
}

// Sizes the home bucket to the share of the limits less what is lent.
void resize_home(customer_pool& pool, time_point now)
{
    auto rate = pool.limits.rate * fraction(pool.share);
    auto burst = pool.limits.burst * fraction(pool.share);
    for (const auto& it : pool.lent)
    {
        rate -= it.rate;
        burst -= it.burst;
    }
    resize(pool.home, rate, burst, now);
}

auto find_lent(customer_pool& pool, std::uint64_t number)
{
    return std::ranges::find(pool.lent, number, &lent_loan::number);
}

auto find_borrowed(customer_pool& pool, const member& lender,
                   std::uint64_t number)
{
    return std::ranges::find_if(
        pool.borrowed, [&](const borrowed_loan& it)
        { return it.number == number && it.lender == lender; });
}

void expire_lent(customer_pool& pool, time_point now)
{
    const auto by_end = [](const auto& loans)
    {
        return std::ranges::min_element(loans, {}, &lent_loan::end);
    };
    for (auto it = by_end(pool.lent); it != pool.lent.end() && it->end <= now;
         it = by_end(pool.lent))
    {
        const auto end = it->end;
        refill(pool.home, end);
        pool.lent.erase(it);
        resize_home(pool, end);
    }
}

} // namespace

time_point borrower_loan_end(time_point requested_at, milliseconds duration)
{
    return requested_at + std::chrono::duration_cast<time_point::duration>(
                              duration * borrower_duration_fraction);
}

customer_pool make_pool(const customer_limits& limits, time_point now)
{
    return {limits, share_ppm{0}, empty_bucket(token_rate(0), tokens(0), now),
            {},     {},           {}};
}

void set_limits(customer_pool& pool, const customer_limits& limits,
                time_point now)
{
    expire_and_refill(pool, now);
    if (limits.rate < pool.limits.rate || limits.burst < pool.limits.burst)
        for (auto& it : pool.lent)
            it.extendable = false;
    pool.limits = limits;
    resize_home(pool, now);
}

void set_share(customer_pool& pool, share_ppm share, time_point now)
{
    expire_and_refill(pool, now);
    pool.share = share;
    resize_home(pool, now);
}

void clear_home_tokens(customer_pool& pool, time_point now)
{
    refill(pool.home, now);
    pool.home.level = tokens(0);
}

void expire_and_refill(customer_pool& pool, time_point now)
{
    expire_lent(pool, now);
    refill(pool.home, now);
    std::erase_if(pool.borrowed,
                  [&](const borrowed_loan& it) { return it.end <= now; });
    std::erase_if(pool.ended,
                  [&](const ended_loan& it) { return it.until <= now; });
    for (auto& it : pool.borrowed)
        refill(it.bucket, now);
}

tokens available(const customer_pool& pool, bool home_usable)
{
    tokens sum = home_usable ? pool.home.level : tokens(0);
    for (const auto& it : pool.borrowed)
        sum += it.bucket.level;
    return sum;
}

token_rate usable_rate(const customer_pool& pool, bool home_usable)
{
    token_rate sum = home_usable ? pool.home.rate : token_rate(0);
    for (const auto& it : pool.borrowed)
        sum += it.bucket.rate;
    return sum;
}

std::optional<time_point> take_token(customer_pool& pool, bool home_usable)
{
    if (available(pool, home_usable) < tokens(1))
        return std::nullopt;
    tokens need(1);
    auto until = time_point::max();
    const auto take_from = [&](token_bucket& bucket)
    {
        const auto part = std::min(need, bucket.level);
        bucket.level -= part;
        need -= part;
        return part > tokens(0);
    };
    // The loans are sorted by their end.
    for (auto& it : pool.borrowed)
        if (need > tokens(0) && take_from(it.bucket))
            until = std::min(until, it.end);
    if (need > tokens(0))
        take_from(pool.home);
    return until;
}

std::optional<grant_item> lend(customer_pool& pool, std::uint64_t number,
                               const member& borrower, const loan_terms& terms,
                               milliseconds duration, time_point now)
{
    const auto& home = pool.home;
    grant_item item;
    item.customer = key_of(pool.limits.customer);
    item.loan = number;
    item.rate = round_down(std::min(terms.rate, home.rate).value);
    item.burst = round_down(std::min(terms.burst, home.burst).value);
    item.level = std::max(
        0.0F, std::min(item.burst,
                       round_down(std::min(terms.level, home.level).value)));
    if (item.burst <= 0 || (item.rate <= 0 && item.level <= 0))
        return std::nullopt;
    pool.lent.push_back(
        {number, borrower, token_rate(static_cast<double>(item.rate)),
         tokens(static_cast<double>(item.burst)), now + duration});
    pool.home.level -= tokens(static_cast<double>(item.level));
    resize_home(pool, now);
    return item;
}

bool extend_lent(customer_pool& pool, std::uint64_t number,
                 milliseconds duration, time_point now)
{
    const auto it = find_lent(pool, number);
    if (it == pool.lent.end() || !it->extendable || it->end <= now)
        return false;
    it->end = std::max(it->end, now + duration);
    return true;
}

void apply_return(customer_pool& pool, const member& borrower,
                  const return_item& item, time_point now)
{
    expire_and_refill(pool, now);
    const auto it = find_lent(pool, item.loan);
    if (it == pool.lent.end() || it->borrower != borrower)
        return;
    const tokens freed =
        it->burst - std::clamp(tokens(static_cast<double>(item.burst)),
                               tokens(0), it->burst);
    it->rate = std::clamp(token_rate(static_cast<double>(item.rate)),
                          token_rate(0), it->rate);
    it->burst -= freed;
    if (it->rate == token_rate(0) && it->burst == tokens(0))
        pool.lent.erase(it);
    resize_home(pool, now);
    const auto back =
        std::clamp(tokens(static_cast<double>(item.level)), tokens(0), freed);
    pool.home.level = std::min(pool.home.burst, pool.home.level + back);
}

void accept(customer_pool& pool, const member& lender, const grant_item& item,
            time_point end, time_point now)
{
    expire_and_refill(pool, now);
    const bool ended_before = std::ranges::any_of(
        pool.ended, [&](const ended_loan& it)
        { return it.number == item.loan && it.lender == lender; });
    if (end <= now || ended_before ||
        find_borrowed(pool, lender, item.loan) != pool.borrowed.end())
        return;
    token_bucket bucket{token_rate(static_cast<double>(item.rate)),
                        tokens(static_cast<double>(item.burst)),
                        tokens(static_cast<double>(item.level)), now};
    pool.borrowed.push_back({lender, item.loan, bucket, end});
    std::ranges::sort(pool.borrowed, {}, &borrowed_loan::end);
}

bool extend_borrowed(customer_pool& pool, const member& lender,
                     std::uint64_t number, time_point end)
{
    const auto it = find_borrowed(pool, lender, number);
    if (it == pool.borrowed.end())
        return false;
    it->end = std::max(it->end, end);
    std::ranges::sort(pool.borrowed, {}, &borrowed_loan::end);
    return true;
}

return_item give_back(customer_pool& pool, const member& lender,
                      std::uint64_t number, double part, time_point now)
{
    expire_and_refill(pool, now);
    const auto it = find_borrowed(pool, lender, number);
    if (it == pool.borrowed.end())
        throw error("loan " + std::to_string(number) + " of " +
                    lender.instance.value + " is not held");
    const double kept = 1 - std::clamp(part, 0.0, 1.0);
    auto& bucket = it->bucket;
    return_item item{number, round_down(bucket.rate.value * kept),
                     round_down(bucket.burst.value * kept),
                     round_down(bucket.level.value * (1 - kept))};
    bucket.level -= tokens(static_cast<double>(item.level));
    resize(bucket, token_rate(static_cast<double>(item.rate)),
           tokens(static_cast<double>(item.burst)), now);
    if (kept <= 0)
    {
        pool.ended.push_back({lender, number, it->end});
        pool.borrowed.erase(it);
    }
    return item;
}

return_item return_unheld_loan(customer_pool& pool, const member& lender,
                               std::uint64_t number, time_point until)
{
    pool.ended.push_back({lender, number, until});
    return {number, 0, 0, 0};
}

share_ppm donatable(const customer_pool& pool)
{
    double lent_part = 0;
    double lent_rate = 0;
    double lent_burst = 0;
    for (const auto& it : pool.lent)
    {
        lent_rate += it.rate.value;
        lent_burst += it.burst.value;
    }
    if (lent_rate > 0)
        lent_part = lent_rate / pool.limits.rate.value;
    if (lent_burst > 0)
        lent_part = std::max(lent_part, lent_burst / pool.limits.burst.value);
    const auto lent_ppm =
        static_cast<std::uint32_t>(std::min(1.0, lent_part) * ppm_total) +
        (lent_part > 0 ? 1U : 0U);
    return share_ppm{pool.share.value - std::min(pool.share.value, lent_ppm)};
}

} // namespace parsleyplank::quota
