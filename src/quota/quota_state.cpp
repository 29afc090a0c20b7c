#include <parsleyplank/core/error.hpp>
#include <parsleyplank/quota/exchange.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <algorithm>
#include <set>

namespace parsleyplank::quota
{

namespace
{

// Returns the share that this instance may use: its share in the table less the
// pending donation.
share_ppm own_share(const quota_state& state)
{
    const auto share = usable_share(state.table, state.self).value;
    const auto given = state.pending ? state.pending->share.value : 0;
    return share_ppm{share - std::min(share, given)};
}

void apply_share(quota_state& state, time_point now)
{
    for (auto& it : state.customers)
        set_share(it.pool, own_share(state), now);
}

customer_state* find_customer(quota_state& state, const customer_id& customer)
{
    const auto it = state.by_id.find(customer);
    return it == state.by_id.end() ? nullptr : &state.customers[it->second];
}

void index_customers(quota_state& state)
{
    state.by_id.clear();
    state.by_key.clear();
    state.by_short_key.clear();
    for (std::size_t i = 0; i < state.customers.size(); ++i)
    {
        const auto& id = state.customers[i].pool.limits.customer;
        const auto key = key_of(id);
        state.by_id[id] = i;
        state.by_key[key] = i;
        state.by_short_key[static_cast<std::uint32_t>(key)] = i;
    }
}

// Sets the limits of a customer that is no longer listed to zero. Returns true
// if its pool must be kept, so that outstanding loans stay debited and repeated
// grants are still recognized if the customer is listed again soon.
bool remove_limits_if_unlisted(customer_state& customer,
                               std::span<const customer_limits> limits,
                               time_point now)
{
    auto& pool = customer.pool;
    const auto id = pool.limits.customer;
    if (std::ranges::find(limits, id, &customer_limits::customer) !=
        limits.end())
        return false;
    set_limits(pool, {id, token_rate(0), tokens(0)}, now);
    for (const auto& it : pool.borrowed)
        pool.ended.push_back({it.lender, it.number, it.end});
    pool.borrowed.clear();
    return !pool.lent.empty() || !pool.ended.empty();
}

// Returns true if rate is lent proactively for the customer. Splitting a bucket
// of a few tokens by demand leaves parts that are too small to admit a request
// and that lose tokens by overflow, so small customers only borrow tokens on
// request.
bool worth_lending(const quota_state& state, const customer_state& customer)
{
    const auto n = static_cast<double>(state.peers.size() + 1);
    return customer.pool.limits.burst.value >=
           n * state.settings.min_home_burst;
}

// Returns the share, in ppm, that can be donated without donating what is lent.
std::uint32_t free_share(const quota_state& state)
{
    std::uint32_t least = own_share(state).value;
    for (const auto& it : state.customers)
        least = std::min(least, donatable(it.pool).value);
    return least;
}

// Admits the request if the pool has a token. Returns false otherwise.
bool try_admit(quota_state& state, customer_state& customer, admission& result,
               time_point now)
{
    const auto until = take_token(customer.pool, home_usable(state, now));
    if (!until)
        return false;
    result.verdict = admit_verdict::admitted;
    result.valid_until = std::min(*until, state.fresh_until);
    return true;
}

// Requests tokens from peers and decides whether the request at this position
// in the queue can expect a token before its wait ends.
void decide_wait(quota_state& state, customer_state& customer,
                 std::uint32_t position, time_point arrival, time_point now,
                 admission& result)
{
    auto round = begin_round(state);
    request_tokens(state, customer, std::max(position, customer.waiting), round,
                   now);
    send_round(state, round, result.messages, now);
    const bool usable = home_usable(state, now);
    const auto latest = arrival + state.settings.borrow_wait;
    const double left = seconds_between(now, latest);
    const double rate = usable_rate(customer.pool, usable).value;
    const double held = available(customer.pool, usable).value;
    double expected = held;
    for (const auto& it : customer.open_requests)
        expected += it.count;
    // Under overload, waiting for the refill of the own buckets only adds
    // latency, because the queue would never drain.
    if (!overloaded(customer, now))
        expected += rate * left;
    if (left <= 0 || expected < position)
        return;
    result.verdict = admit_verdict::wait;
    const double refill_wait =
        rate > 0 ? std::clamp((position - held) / rate, 0.001, left) : left;
    result.decide_at = now + std::chrono::duration_cast<time_point::duration>(
                                 std::chrono::duration<double>(refill_wait));
}

} // namespace

quota_state make_quota_state(const member& self, const quota_settings& settings,
                             time_point now)
{
    if (settings.loan_duration > settings.freshness_bound ||
        settings.token_loan_duration > settings.freshness_bound)
        throw config_error(
            "loans of " + std::to_string(settings.loan_duration.count()) +
            " ms and " + std::to_string(settings.token_loan_duration.count()) +
            " ms must not outlast the freshness bound of " +
            std::to_string(settings.freshness_bound.count()) + " ms");
    quota_state state;
    state.self = self;
    state.settings = settings;
    state.request_budget =
        empty_bucket(token_rate(settings.requests_per_second),
                     tokens(settings.requests_per_second), now);
    return state;
}

void set_customers(quota_state& state, std::span<const customer_limits> limits,
                   time_point now)
{
    std::vector<customer_state> customers;
    for (auto& it : state.customers)
        if (remove_limits_if_unlisted(it, limits, now))
            customers.push_back(std::move(it));
    for (const auto& it : limits)
    {
        if (auto* known = find_customer(state, it.customer))
        {
            set_limits(known->pool, it, now);
            customers.push_back(std::move(*known));
            continue;
        }
        customer_state added;
        added.pool = make_pool(it, now);
        added.estimate.updated = now;
        set_share(added.pool, own_share(state), now);
        customers.push_back(std::move(added));
    }
    state.customers = std::move(customers);
    index_customers(state);
}

void set_peers(quota_state& state, std::span<const member> peers)
{
    std::vector<peer_state> next;
    for (const auto& identity : peers)
    {
        const auto it =
            std::ranges::find(state.peers, identity, &peer_state::identity);
        next.push_back(it == state.peers.end() ? peer_state{identity, 0, 0}
                                               : *it);
    }
    state.peers = std::move(next);
}

void set_share_table(quota_state& state, const share_table& table,
                     time_point now)
{
    if (table.number < state.table.number)
        return;
    if (state.pending && table.number > state.pending->expected_epoch)
        state.pending.reset();
    state.table = table;
    const auto* entry = find_holder(table, state.self);
    const auto entry_epoch = entry == nullptr ? epoch(0) : entry->entry_epoch;
    // The share belonged to others in the meantime: their buckets were not
    // debited for the tokens that this one holds.
    if (entry_epoch != state.entry_epoch)
        for (auto& it : state.customers)
            clear_home_tokens(it.pool, now);
    state.entry_epoch = entry_epoch;
    apply_share(state, now);
}

void set_fresh_until(quota_state& state, time_point until)
{
    state.fresh_until = until;
}

bool home_usable(const quota_state& state, time_point now)
{
    return now < state.fresh_until && own_share(state).value > 0;
}

std::optional<share_table> prepare_donations(quota_state& state,
                                             std::span<const donation> wanted,
                                             time_point now)
{
    if (!home_usable(state, now) || state.pending)
        return std::nullopt;
    for (auto& it : state.customers)
        expire_and_refill(it.pool, now);
    std::uint32_t left = free_share(state);
    std::uint32_t given = 0;
    std::vector<donation> donations;
    for (const auto& it : wanted)
    {
        const auto part = std::min(left, it.share.value);
        if (part > 0)
            donations.push_back({it.receiver, share_ppm{part}});
        left -= part;
        given += part;
    }
    if (given == 0)
        return std::nullopt;
    auto table = donate(state.table, state.self, donations);
    state.pending = {state.table.number, share_ppm{given}};
    apply_share(state, now);
    return table;
}

void begin_leaving(quota_state& state)
{
    state.leaving = true;
}

std::optional<share_table> prepare_hand_over(quota_state& state,
                                             std::span<const member> others,
                                             time_point now)
{
    const auto share = own_share(state);
    if (!home_usable(state, now) || state.pending || others.empty())
        return std::nullopt;
    for (auto& it : state.customers)
        expire_and_refill(it.pool, now);
    if (free_share(state) < share.value)
        return std::nullopt;
    auto table = hand_over(state.table, state.self, others);
    state.pending = {state.table.number, share};
    apply_share(state, now);
    return table;
}

admission admit(quota_state& state, const customer_id& customer, time_point now)
{
    admission result;
    auto* it = find_customer(state, customer);
    if (it == nullptr)
        return result;
    ++it->estimate.arrivals;
    if (now >= state.fresh_until)
    {
        result.reason = refusal_reason::stale_state;
        return result;
    }
    expire_and_refill(it->pool, now);
    const bool first =
        it->waiting == 0 ||
        available(it->pool, home_usable(state, now)).value >= it->waiting + 1;
    if (first && try_admit(state, *it, result, now))
        return result;
    decide_wait(state, *it, it->waiting + 1, now, now, result);
    if (result.verdict == admit_verdict::wait)
        ++it->waiting;
    return result;
}

admission admit_waiting(quota_state& state, const customer_id& customer,
                        time_point arrival, time_point now)
{
    admission result;
    auto* it = find_customer(state, customer);
    if (it == nullptr)
        return result;
    expire_and_refill(it->pool, now);
    if (now >= state.fresh_until)
        result.reason = refusal_reason::stale_state;
    else if (!try_admit(state, *it, result, now))
        decide_wait(state, *it, 1, arrival, now, result);
    if (result.verdict != admit_verdict::wait)
        cancel_waiting(state, customer);
    return result;
}

void cancel_waiting(quota_state& state, const customer_id& customer)
{
    auto* it = find_customer(state, customer);
    if (it != nullptr && it->waiting > 0)
        --it->waiting;
}

quota_output tick(quota_state& state, time_point now)
{
    quota_output output;
    auto round = begin_round(state);
    const bool can_lend = home_usable(state, now) && !state.leaving;
    for (auto& it : state.customers)
    {
        expire_and_refill(it.pool, now);
        update(it.estimate, now);
        if (state.settings.lend_proactively && worth_lending(state, it))
        {
            const auto plan = plan_rates(state, it, now);
            if (state.settings.return_early)
                return_surplus(state, it, plan, round, now);
            if (can_lend)
                lend_proactively(state, it, plan, round, now);
        }
        if (state.settings.return_early)
            return_spent(state, it, round, now);
        request_tokens(state, it, it.waiting, round, now);
        if (it.waiting > 0)
            output.ready.push_back(it.pool.limits.customer);
    }
    send_round(state, round, output.messages, now);
    report_demand(state, output.messages, now);
    return output;
}

} // namespace parsleyplank::quota
