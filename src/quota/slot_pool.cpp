#include <parsleyplank/quota/customer_pool.hpp>
#include <parsleyplank/quota/slot_pool.hpp>

#include <algorithm>

namespace parsleyplank::quota
{

namespace
{

auto find_borrowed(slot_pool& pool, const member& lender, std::uint64_t number)
{
    return std::ranges::find_if(
        pool.borrowed, [&](const borrowed_slots& it)
        { return it.number == number && it.lender == lender; });
}

std::uint32_t used_home_slots(const slot_pool& pool)
{
    std::uint32_t used = pool.in_flight;
    for (const auto& it : pool.lent)
        used += it.slots;
    return used;
}

} // namespace

std::uint32_t home_slots(std::uint32_t total, share_ppm share)
{
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(total) *
                                      share.value / ppm_total);
}

void drop_expired(slot_pool& pool, time_point now)
{
    const auto ended = [&](const auto& it)
    {
        return it.end <= now;
    };
    std::erase_if(pool.lent, ended);
    std::erase_if(pool.borrowed, ended);
}

std::uint32_t free_home_slots(const slot_pool& pool)
{
    const auto home = home_slots(pool.total, pool.share);
    return home - std::min(home, used_home_slots(pool));
}

std::optional<slot_ticket> acquire(slot_pool& pool, bool home_usable,
                                   time_point deadline, time_point now)
{
    drop_expired(pool, now);
    const auto it = std::ranges::find_if(
        pool.borrowed, [&](const borrowed_slots& loan)
        { return loan.in_flight < loan.slots && deadline < loan.end; });
    if (it != pool.borrowed.end())
    {
        ++it->in_flight;
        return slot_ticket{it->lender, it->number};
    }
    if (!home_usable || free_home_slots(pool) == 0)
        return std::nullopt;
    ++pool.in_flight;
    return slot_ticket{};
}

void release(slot_pool& pool, const slot_ticket& ticket)
{
    if (!ticket.lender)
    {
        pool.in_flight -= std::min(pool.in_flight, 1U);
        return;
    }
    const auto it = find_borrowed(pool, *ticket.lender, ticket.loan);
    if (it != pool.borrowed.end())
        it->in_flight -= std::min(it->in_flight, 1U);
}

std::optional<slot_grant> lend(slot_pool& pool, const member& borrower,
                               std::uint32_t slots, milliseconds duration,
                               time_point now)
{
    drop_expired(pool, now);
    const auto count = std::min(slots, free_home_slots(pool));
    if (count == 0)
        return std::nullopt;
    const auto number = pool.next_loan++;
    pool.lent.push_back({number, borrower, count, now + duration});
    return slot_grant{number, count,
                      static_cast<std::uint32_t>(duration.count())};
}

void accept(slot_pool& pool, const member& lender, const slot_grant& grant,
            time_point requested_at, time_point now)
{
    drop_expired(pool, now);
    const auto end =
        borrower_loan_end(requested_at, milliseconds(grant.duration_ms));
    if (end <= now ||
        find_borrowed(pool, lender, grant.loan) != pool.borrowed.end())
        return;
    pool.borrowed.push_back({lender, grant.loan, grant.slots, 0, end});
}

std::optional<slot_return> give_back(slot_pool& pool, const member& lender,
                                     std::uint64_t loan, time_point now)
{
    drop_expired(pool, now);
    const auto it = find_borrowed(pool, lender, loan);
    if (it == pool.borrowed.end() || it->slots == it->in_flight)
        return std::nullopt;
    it->slots = it->in_flight;
    return slot_return{loan, it->slots};
}

void apply_return(slot_pool& pool, const member& borrower,
                  const slot_return& item, time_point now)
{
    drop_expired(pool, now);
    const auto it =
        std::ranges::find(pool.lent, item.loan, &lent_slots::number);
    if (it == pool.lent.end() || it->borrower != borrower)
        return;
    it->slots = std::min(it->slots, item.kept);
}

share_ppm donatable(const slot_pool& pool)
{
    if (pool.total == 0)
        return pool.share;
    // Rounds up so that the remaining share still covers the used slots.
    const std::uint64_t used = used_home_slots(pool);
    const auto needed = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        ppm_total, (used * ppm_total + pool.total - 1) / pool.total));
    return share_ppm{pool.share.value - std::min(pool.share.value, needed)};
}

} // namespace parsleyplank::quota
