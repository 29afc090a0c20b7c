#include <parsleyplank/core/error.hpp>
#include <parsleyplank/quota/share_table.hpp>

#include <algorithm>
#include <numeric>

namespace parsleyplank::quota
{

namespace
{

// Longest time between two updates of a watch that counts in full.
constexpr milliseconds longest_counted_gap{1'000};

std::string describe(const member& identity)
{
    return identity.instance.value + " (incarnation " +
           std::to_string(identity.life.value) + ")";
}

share_holder* find_entry(share_table& table, const member& identity)
{
    const auto it =
        std::ranges::find(table.holders, identity, &share_holder::identity);
    return it == table.holders.end() ? nullptr : &*it;
}

share_table next_table(const share_table& table)
{
    share_table next = table;
    ++next.number.value;
    return next;
}

// Adds to the share of the member, whose entry is created if it has none.
void credit(share_table& table, const member& to, share_ppm share)
{
    if (share.value == 0)
        return;
    if (auto* it = find_entry(table, to))
        it->share.value += share.value;
    else
        table.holders.push_back({to, share, table.number, epoch(0)});
}

// Subtracts from the share of the member, whose entry is removed at zero.
// Throws error if it holds less.
void debit(share_table& table, const member& from, share_ppm share)
{
    auto* it = find_entry(table, from);
    if (it == nullptr || it->share < share)
        throw error("share table epoch " + std::to_string(table.number.value) +
                    ": " + describe(from) + " holds less than " +
                    std::to_string(share.value) + " ppm");
    it->share.value -= share.value;
    if (it->share.value == 0)
        std::erase_if(table.holders, [&](const share_holder& holder)
                      { return holder.identity == from; });
}

// Divides the share into equal parts; the first members get one ppm more each
// until the remainder is used up.
void credit_evenly(share_table& table, std::span<const member> to,
                   share_ppm share)
{
    if (to.empty())
        throw error("share table epoch " + std::to_string(table.number.value) +
                    ": no receiver for a share");
    const auto n = static_cast<std::uint32_t>(to.size());
    std::uint32_t rest = share.value % n;
    for (const auto& it : to)
    {
        credit(table, it, share_ppm{share.value / n + (rest > 0 ? 1U : 0U)});
        rest -= rest > 0 ? 1U : 0U;
    }
}

// Returns the entry of the member. Throws error if there is none or if it is
// not in the given state of revocation.
const share_holder& holder_in_state(const share_table& table,
                                    const member& identity, bool revoked)
{
    const auto* it = find_holder(table, identity);
    if (it == nullptr || (it->revoked_epoch.value != 0) != revoked)
        throw error("share table epoch " + std::to_string(table.number.value) +
                    ": " + describe(identity) +
                    (revoked ? " has no revoked share" : " has no share"));
    return *it;
}

} // namespace

share_table create_share_table(const member& creator)
{
    return {epoch(1), {{creator, share_ppm{ppm_total}, epoch(1), epoch(0)}}};
}

const share_holder* find_holder(const share_table& table,
                                const member& identity)
{
    const auto it =
        std::ranges::find(table.holders, identity, &share_holder::identity);
    return it == table.holders.end() ? nullptr : &*it;
}

share_ppm usable_share(const share_table& table, const member& identity)
{
    const auto* it = find_holder(table, identity);
    return it == nullptr || it->revoked_epoch.value != 0 ? share_ppm{0}
                                                         : it->share;
}

std::vector<donation> even_split(const share_table& table, const member& donor,
                                 std::span<const member> listed)
{
    std::vector<donation> donations;
    if (listed.empty())
        return donations;
    const auto target = ppm_total / static_cast<std::uint32_t>(listed.size());
    const auto own = usable_share(table, donor).value;
    std::uint32_t left = own > target ? own - target : 0;
    std::vector<member> order(listed.begin(), listed.end());
    std::ranges::sort(order);
    for (const auto& it : order)
    {
        const auto* holder = find_holder(table, it);
        const auto held = holder == nullptr ? 0 : holder->share.value;
        if (it == donor || held + target / 10 >= target)
            continue;
        const auto given = std::min(left, target - held);
        if (given > 0)
            donations.push_back({it, share_ppm{given}});
        left -= given;
    }
    return donations;
}

share_table donate(const share_table& table, const member& donor,
                   std::span<const donation> donations)
{
    holder_in_state(table, donor, false);
    auto next = next_table(table);
    for (const auto& it : donations)
    {
        debit(next, donor, it.share);
        credit(next, it.receiver, it.share);
    }
    return next;
}

share_table hand_over(const share_table& table, const member& leaving,
                      std::span<const member> others)
{
    const auto share = holder_in_state(table, leaving, false).share;
    auto next = next_table(table);
    debit(next, leaving, share);
    credit_evenly(next, others, share);
    return next;
}

share_table revoke(const share_table& table, const member& holder)
{
    holder_in_state(table, holder, false);
    auto next = next_table(table);
    find_entry(next, holder)->revoked_epoch = next.number;
    return next;
}

share_table restore(const share_table& table, const member& identity)
{
    holder_in_state(table, identity, true);
    auto next = next_table(table);
    find_entry(next, identity)->revoked_epoch = epoch(0);
    return next;
}

share_table redistribute(const share_table& table, const member& holder,
                         std::span<const member> receivers)
{
    const auto share = holder_in_state(table, holder, true).share;
    auto next = next_table(table);
    debit(next, holder, share);
    credit_evenly(next, receivers, share);
    return next;
}

std::string pack_share_table(const share_table& table)
{
    return pack_value(table);
}

share_table unpack_share_table(std::string_view bytes)
{
    auto table = unpack_value<share_table>(bytes, "share table");
    std::uint64_t sum = 0;
    for (const auto& it : table.holders)
        sum += it.share.value;
    if (sum > ppm_total)
        throw codec_error("share table epoch " +
                          std::to_string(table.number.value) +
                          ": shares sum to " + std::to_string(sum) + " ppm");
    return table;
}

milliseconds reclaim_wait(milliseconds freshness_bound, milliseconds margin)
{
    return 2 * freshness_bound + margin;
}

std::vector<reclaim_step>
update_reclaim_watch(reclaim_watch& watch, const share_table& table,
                     std::span<const member> listed, bool store_reachable,
                     milliseconds wait, time_point now)
{
    const auto gap = std::min(longest_counted_gap,
                              std::chrono::duration_cast<milliseconds>(
                                  now - watch.last_update.value_or(now)));
    const auto before = std::exchange(watch.absences, {});
    watch.last_update = now;
    std::vector<reclaim_step> due;
    if (!store_reachable)
        return due;
    for (const auto& holder : table.holders)
    {
        if (std::ranges::find(listed, holder.identity) != listed.end())
            continue;
        reclaim_watch::absence now_absent{holder.identity,
                                          holder.revoked_epoch};
        const auto it = std::ranges::find_if(
            before,
            [&](const reclaim_watch::absence& known)
            {
                return known.identity == holder.identity &&
                       known.revoked_epoch == holder.revoked_epoch;
            });
        if (it != before.end())
            now_absent.duration = it->duration + gap;
        if (now_absent.duration >= wait)
            due.push_back(
                {holder.identity, holder.revoked_epoch.value == 0
                                      ? reclaim_action::revoke
                                      : reclaim_action::redistribute});
        watch.absences.push_back(now_absent);
    }
    return due;
}

} // namespace parsleyplank::quota
