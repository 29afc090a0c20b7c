#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/token_pool.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace parsleyplank::edge
{

namespace
{

constexpr double ms_per_s = 1'000;

double seconds(milliseconds span)
{
    return static_cast<double>(span.count()) / ms_per_s;
}

bool is_suspect(const token_pool_state& state, const instance_id& id,
                time_point now)
{
    const auto it = state.suspects.find(id);
    return it != state.suspects.end() && now < it->second;
}

// Returns the instance of the region with the highest weight for the customer
// among those that answer, or nullptr if there is none.
const steering::fleet_member* choose_pool(const token_pool_state& state,
                                          const customer_id& customer,
                                          const region_id& region,
                                          time_point now)
{
    const auto members = state.peers.find(region);
    if (members == state.peers.end())
        return nullptr;
    const steering::fleet_member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& it : members->second)
    {
        if (is_suspect(state, it.id, now))
            continue;
        const auto weight = rendezvous_weight(customer.value, it.id.value);
        if (best == nullptr || weight > best_weight)
        {
            best = &it;
            best_weight = weight;
        }
    }
    return best;
}

// Returns the pool of the customer in the region. Looked up once for each
// change of the peers or of those that are suspected.
const steering::fleet_member* pool_of(const token_pool_state& state,
                                      customer_tokens& customer,
                                      const customer_id& id,
                                      const region_id& region, time_point now)
{
    const auto [it, added] = customer.pools.try_emplace(region, nullptr);
    if (added)
        it->second = choose_pool(state, id, region, now);
    return it->second;
}

// An instance that is cut off, or alone in its region, is its own pool.
bool is_pool(const token_pool_state& state, customer_tokens& customer,
             const customer_id& id, time_point now)
{
    if (now < state.cut_off_until)
        return true;
    const auto* pool = pool_of(state, customer, id, state.region, now);
    return pool == nullptr || pool->id == state.self;
}

void forget_pools(token_pool_state& state)
{
    for (auto& [id, it] : state.customers)
        it.pools.clear();
}

customer_tokens* find_customer(token_pool_state& state, std::uint32_t number)
{
    const auto id = state.numbers.find(number);
    if (id == state.numbers.end())
        return nullptr;
    const auto it = state.customers.find(id->second);
    return it == state.customers.end() ? nullptr : &it->second;
}

// Returns the customer with its stock refilled, or nullptr if it is not known.
customer_tokens* refill_customer(token_pool_state& state, std::uint32_t number,
                                 time_point now)
{
    auto* customer = find_customer(state, number);
    if (customer != nullptr)
        quota::refill(customer->stock,
                      is_pool(state, *customer, state.numbers.at(number), now),
                      now);
    return customer;
}

// Removes suspicions that have ended.
void expire_suspicions(token_pool_state& state, time_point now)
{
    if (std::erase_if(state.suspects,
                      [&](const auto& it) { return it.second <= now; }) > 0)
        forget_pools(state);
}

// Returns the expected number of requests in a time.
double expected_requests(const steering::demand_meter& demand, token_rate rate,
                         milliseconds time)
{
    return std::min(demand.per_second, rate.value) * seconds(time);
}

// Returns the tokens to hold for this number of requests: two standard
// deviations more.
double with_reserve(double expected)
{
    return expected + 2 * std::sqrt(expected);
}

// Tokens that the pool keeps for the requests of its region.
double pool_expects(const token_pool_state& state,
                    const customer_tokens& customer)
{
    return expected_requests(customer.pool_demand, customer.rate,
                             state.options.pool_horizon);
}

double own_need(const token_pool_state& state, const customer_tokens& customer)
{
    return with_reserve(expected_requests(customer.own_demand, customer.rate,
                                          state.options.own_horizon));
}

// Collects the items of each receiver.
using transfer_table =
    std::map<steering::server_endpoint, std::vector<token_transfer::item>>;

std::vector<token_transfer> to_list(const transfer_table& table)
{
    std::vector<token_transfer> list;
    list.reserve(table.size());
    for (const auto& [to, items] : table)
        list.push_back({to, items});
    return list;
}

void move_spare(token_pool_state& state, const customer_id& id,
                customer_tokens& customer, transfer_table& table,
                time_point now)
{
    auto& stock = customer.stock;
    if (is_pool(state, customer, id, now))
        return;
    const auto* pool = pool_of(state, customer, id, state.region, now);
    // Others that do not reach the pool may ask here.
    if (now - customer.last_peer_request > state.options.pool_use_time)
        stock.spare += std::exchange(stock.pooled, tokens(0));
    const auto count = quota::take_spare(stock, own_need(state, customer));
    if (count > 0)
        table[pool->token_endpoint].push_back({customer_number(id), count});
}

// An instance whose demand exceeds its part holds tokens in advance.
void request_wanted(token_pool_state& state, const customer_id& id,
                    customer_tokens& customer, transfer_table& table,
                    time_point now)
{
    const auto& stock = customer.stock;
    const auto missing =
        std::floor(own_need(state, customer) - stock.own.value);
    const bool served_alone =
        customer.own_demand.per_second <= stock.part.rate.value ||
        stock.part.own_burst.value <= 0;
    if (served_alone || missing < 1 || is_pool(state, customer, id, now))
        return;
    const auto* pool = pool_of(state, customer, id, state.region, now);
    table[pool->token_endpoint].push_back(
        {customer_number(id), static_cast<std::uint32_t>(missing)});
}

void request_lent(token_pool_state& state, const customer_id& id,
                  customer_tokens& customer, transfer_table& table,
                  time_point now)
{
    const auto expected = pool_expects(state, customer);
    const auto pooled = customer.stock.pooled.value;
    if (pooled >= expected)
        return;
    const auto missing = std::ceil(with_reserve(expected) - pooled);
    for (const auto& [region, members] : state.peers)
    {
        if (region == state.region)
            continue;
        if (const auto* pool = pool_of(state, customer, id, region, now))
            table[pool->token_endpoint].push_back(
                {customer_number(id), static_cast<std::uint32_t>(missing)});
    }
}

// Drops lent tokens that are neither needed any more nor part of the burst of
// this pool: the region that lent them has issued others since.
void drop_excess(const token_pool_state& state, customer_tokens& customer)
{
    const auto need = with_reserve(pool_expects(state, customer));
    const auto limit =
        std::max(customer.stock.part.pool_burst, tokens(std::ceil(need)));
    customer.stock.pooled = std::min(customer.stock.pooled, limit);
}

} // namespace

void adopt_division(token_pool_state& state,
                    std::span<const steering::traffic_customer> customers,
                    const quota::rate_division& division,
                    std::vector<steering::fleet_member> peers, time_point now)
{
    const bool begins = division.issuing && !state.division.issuing &&
                        division.issuing_since != time_point{};
    state.division = division;
    std::map<region_id, std::vector<steering::fleet_member>> by_region;
    for (auto& it : peers)
        by_region[it.region].push_back(std::move(it));
    if (by_region != state.peers)
    {
        state.peers = std::move(by_region);
        forget_pools(state);
    }
    std::set<customer_id> limited;
    for (const auto& it : customers)
    {
        if (it.rate.value <= 0)
            continue;
        limited.insert(it.id);
        const auto part = quota::divide_rate(it.rate, it.burst, division);
        const auto [entry, added] = state.customers.try_emplace(it.id);
        auto& customer = entry->second;
        customer.rate = it.rate;
        if (added)
        {
            std::uniform_real_distribution<double> phase(0, 1);
            customer.stock = quota::make_stock(part, phase(state.rng), now);
            state.numbers[customer_number(it.id)] = it.id;
        }
        else if (customer.stock.part != part)
            quota::set_part(customer.stock, part, now);
        if (begins)
            quota::issue_since(customer.stock, division.issuing_since);
    }
    std::erase_if(state.customers,
                  [&](const auto& it) { return !limited.contains(it.first); });
    std::erase_if(state.numbers,
                  [&](const auto& it) { return !limited.contains(it.second); });
}

void count_request(token_pool_state& state, const customer_id& customer)
{
    const auto it = state.customers.find(customer);
    if (it != state.customers.end())
        steering::count_demand(it->second.own_demand);
}

token_source take_token(token_pool_state& state, const customer_id& id,
                        time_point now)
{
    const auto it = state.customers.find(id);
    if (it == state.customers.end())
        return token_source::taken;
    auto& customer = it->second;
    const bool here = is_pool(state, customer, id, now);
    const bool own = customer.stock.own >= tokens(1);
    if (here && !own)
        steering::count_demand(customer.pool_demand);
    if (quota::take(customer.stock, here, now))
        return token_source::taken;
    return here || now < customer.refused_until ? token_source::refused
                                                : token_source::pool;
}

pool_request make_pool_request(token_pool_state& state, const customer_id& id,
                               time_point now)
{
    auto& customer = state.customers.at(id);
    const auto* pool = pool_of(state, customer, id, state.region, now);
    const auto& options = state.options;
    const auto wanted = std::ceil(customer.own_demand.per_second *
                                  seconds(options.move_interval));
    return {pool->id, pool->token_endpoint, customer_number(id),
            std::clamp(static_cast<std::uint32_t>(wanted), 1U,
                       options.max_request)};
}

std::optional<pool_request> make_other_region_request(token_pool_state& state,
                                                      const customer_id& id,
                                                      time_point now)
{
    const auto it = state.customers.find(id);
    if (it == state.customers.end() ||
        now < it->second.refused_elsewhere_until || now < state.cut_off_until)
        return std::nullopt;
    std::vector<region_id> others;
    for (const auto& [region, members] : state.peers)
        if (region != state.region)
            others.push_back(region);
    if (others.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> drawn(0, others.size() - 1);
    const auto* pool =
        pool_of(state, it->second, id, others[drawn(state.rng)], now);
    if (pool == nullptr)
        return std::nullopt;
    return pool_request{pool->id, pool->token_endpoint, customer_number(id), 1};
}

void note_answer(token_pool_state& state, const instance_id& pool)
{
    state.unanswered.erase(pool);
    state.silent_pools = 0;
}

void note_other_region_refusal(token_pool_state& state, const customer_id& id,
                               time_point now)
{
    const auto it = state.customers.find(id);
    if (it != state.customers.end())
        it->second.refused_elsewhere_until =
            now + state.options.other_region_refusal_time;
}

void add_own(token_pool_state& state, std::uint32_t number, std::uint32_t count)
{
    if (auto* customer = find_customer(state, number))
        customer->stock.own += tokens(count);
}

void note_refusal(token_pool_state& state, const customer_id& id,
                  time_point now)
{
    const auto it = state.customers.find(id);
    if (it != state.customers.end())
        it->second.refused_until = now + state.options.refusal_time;
}

void note_silence(token_pool_state& state, const instance_id& pool,
                  time_point now)
{
    if (is_suspect(state, pool, now) ||
        ++state.unanswered[pool] < state.options.max_unanswered)
        return;
    state.unanswered.erase(pool);
    state.suspects[pool] = now + state.options.suspicion_time;
    if (++state.silent_pools >= state.options.max_silent_pools)
        state.cut_off_until = now + state.options.suspicion_time;
    forget_pools(state);
}

std::uint32_t grant_tokens(token_pool_state& state, std::uint32_t number,
                           std::uint32_t wanted, time_point now)
{
    auto* customer = refill_customer(state, number, now);
    if (customer == nullptr)
        return 0;
    customer->last_peer_request = now;
    steering::count_demand(customer->pool_demand, wanted);
    return quota::take_pooled(customer->stock, wanted);
}

bool grant_elsewhere(token_pool_state& state, std::uint32_t number,
                     time_point now)
{
    auto* customer = refill_customer(state, number, now);
    if (customer == nullptr)
        return false;
    return quota::take_pooled(customer->stock, 1) == 1;
}

std::uint32_t lend_tokens(token_pool_state& state, std::uint32_t number,
                          std::uint32_t wanted, time_point now)
{
    auto* customer = refill_customer(state, number, now);
    if (customer == nullptr)
        return 0;
    const auto kept = with_reserve(pool_expects(state, *customer));
    const auto available =
        std::max(0.0, std::floor(customer->stock.pooled.value - kept));
    return quota::take_pooled(
        customer->stock,
        std::min(wanted, static_cast<std::uint32_t>(available)));
}

void add_spare(token_pool_state& state, std::uint32_t number,
               std::uint32_t count)
{
    if (auto* customer = find_customer(state, number))
        quota::add_pooled(customer->stock, count);
}

void add_lent(token_pool_state& state, std::uint32_t number,
              std::uint32_t count)
{
    if (auto* customer = find_customer(state, number))
        customer->stock.pooled += tokens(count);
}

token_transfers move_tokens(token_pool_state& state, time_point now)
{
    expire_suspicions(state, now);
    transfer_table spare;
    transfer_table wanted;
    transfer_table requested;
    for (auto& [id, customer] : state.customers)
    {
        steering::measure_demand(customer.own_demand,
                                 state.options.demand_half_life, now);
        steering::measure_demand(customer.pool_demand,
                                 state.options.demand_half_life, now);
        quota::refill(customer.stock, is_pool(state, customer, id, now), now);
        move_spare(state, id, customer, spare, now);
        request_wanted(state, id, customer, wanted, now);
        request_lent(state, id, customer, requested, now);
        drop_excess(state, customer);
    }
    return {to_list(spare), to_list(wanted), to_list(requested)};
}

milliseconds token_wait(const token_pool_state& state,
                        const customer_id& customer)
{
    constexpr double max_wait_ms = 5'000;
    const auto it = state.customers.find(customer);
    if (it == state.customers.end())
        return milliseconds(0);
    const auto& division = state.division;
    const auto part = static_cast<double>(division.issuers_in_touch) /
                      static_cast<double>(division.issuers);
    const auto wait_ms = ms_per_s / (it->second.rate.value * part);
    return milliseconds(
        static_cast<std::int64_t>(std::min(max_wait_ms, wait_ms)));
}

} // namespace parsleyplank::edge
