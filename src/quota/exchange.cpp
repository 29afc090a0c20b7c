#include <parsleyplank/quota/exchange.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::quota
{

namespace
{

// A peer whose last report is older than this is left out of plans.
constexpr milliseconds report_lifetime{2'500};
// Longest time between two reports of a customer's figures.
constexpr milliseconds max_report_interval{1'000};
// Longest time between two demand messages. Grants refer to the number of a
// demand message, and its sending time determines when the loan ends.
constexpr milliseconds max_demand_interval{400};
// Time after which an unanswered token request is no longer counted on.
constexpr milliseconds request_timeout{300};
// Loans are extended when less than this fraction of their duration is left.
constexpr double extension_fraction = 0.7;
// Differences from the plan below this fraction of the lender's home rate cause
// no loans or returns.
constexpr double dead_band = 0.04;
// Duration of its own demand for which a lender reserves tokens.
constexpr double reserve_seconds = 0.05;
// Duration of missing rate for which a borrower requests tokens: a round trip
// between regions plus a tick, increased by half.
constexpr double request_horizon_seconds = 0.4;
constexpr std::size_t max_request_peers = 9;
// Fraction of its home rate that an instance without demand keeps. Loans to an
// instance that is killed or paused are lost for their duration; without this
// reserve, all other instances refused its callers for 2 s.
constexpr double idle_rate_fraction = 0.1;
// Smallest number of tokens that is worth a request.
constexpr double min_requested_tokens = 0.2;
// Fraction of its burst below which a token loan counts as spent.
constexpr double spent_level_fraction = 0.1;
constexpr std::size_t max_recorded_numbers = 64;

bool is_recent(const peer_report& report, time_point now)
{
    return now - report.last_received < report_lifetime;
}

double home_rate(const quota_state& state, const customer_state& customer,
                 const member& identity)
{
    return usable_share(state.table, identity).value /
           static_cast<double>(ppm_total) * customer.pool.limits.rate.value;
}

lending_party make_party(double home, double demand)
{
    return {home, std::max(demand, idle_rate_fraction * home)};
}

double lent_rate(const customer_pool& pool, const member& borrower)
{
    double sum = 0;
    for (const auto& it : pool.lent)
        if (it.borrower == borrower)
            sum += it.rate.value;
    return sum;
}

// Extends the peer's loans up to the planned rate; the others expire.
void extend_loans(customer_state& customer, const member& borrower,
                  double planned, milliseconds duration,
                  std::vector<extension_item>& extended, time_point now)
{
    const double limit =
        planned * 1.2 + dead_band * customer.pool.home.rate.value;
    double kept = 0;
    extension_item item{key_of(customer.pool.limits.customer), {}};
    for (const auto& it : customer.pool.lent)
    {
        if (it.borrower != borrower || it.rate.value <= 0 ||
            kept + it.rate.value > limit)
            continue;
        kept += it.rate.value;
        if (it.end - now < duration * extension_fraction)
            item.loans.push_back(it.number);
    }
    std::erase_if(item.loans,
                  [&](std::uint64_t number) {
                      return !extend_lent(customer.pool, number, duration, now);
                  });
    if (!item.loans.empty())
        extended.push_back(std::move(item));
}

void record_sent(std::deque<sent_number>& sent, std::uint64_t number,
                 time_point now)
{
    sent.push_back({number, now});
    if (sent.size() > max_recorded_numbers)
        sent.pop_front();
}

bool is_report_due(const customer_state& customer, double demand, double spare,
                   time_point now)
{
    const auto& pool = customer.pool;
    const double home_burst = pool.limits.burst.value * pool.share.value /
                              static_cast<double>(ppm_total);
    return now - customer.last_reported >= max_report_interval ||
           std::abs(demand - customer.reported_demand) >
               0.1 * customer.reported_demand + 1 ||
           std::abs(spare - customer.reported_spare) >
               0.3 * customer.reported_spare + 0.1 * home_burst;
}

} // namespace

exchange_round begin_round(const quota_state& state)
{
    const auto n = state.peers.size();
    return {std::vector<loan_grant>(n), std::vector<loan_return>(n),
            std::vector<loan_request>(n)};
}

rate_plan plan_rates(const quota_state& state, const customer_state& customer,
                     time_point now)
{
    rate_plan plan;
    plan.parties.push_back(make_party(home_rate(state, customer, state.self),
                                      per_second(customer.estimate)));
    plan.peers.push_back(0);
    for (std::size_t i = 0; i < state.peers.size(); ++i)
    {
        const auto& identity = state.peers[i].identity;
        const auto it = customer.peer_reports.find(identity.instance);
        if (it == customer.peer_reports.end() || !is_recent(it->second, now))
            continue;
        plan.parties.push_back(make_party(home_rate(state, customer, identity),
                                          it->second.demand));
        plan.peers.push_back(i);
    }
    plan.targets = target_rates(plan.parties);
    return plan;
}

bool overloaded(const customer_state& customer, time_point now)
{
    double demand = per_second(customer.estimate);
    for (const auto& [id, report] : customer.peer_reports)
        if (is_recent(report, now))
            demand += report.demand;
    return demand > 1.15 * customer.pool.limits.rate.value;
}

double spare_tokens(const quota_state& state, const customer_state& customer,
                    time_point now)
{
    if (!home_usable(state, now) || state.leaving)
        return 0;
    const double reserve = per_second(customer.estimate) * reserve_seconds +
                           static_cast<double>(customer.waiting);
    return std::max(0.0, customer.pool.home.level.value - reserve);
}

void lend_proactively(quota_state& state, customer_state& customer,
                      const rate_plan& plan, exchange_round& round,
                      time_point now)
{
    const auto duration = state.settings.loan_duration;
    auto& pool = customer.pool;
    for (std::size_t i = 1; i < plan.parties.size(); ++i)
    {
        const auto& peer = state.peers[plan.peers[i]];
        auto& grant = round.grants[plan.peers[i]];
        const double planned = planned_loan(plan.parties, plan.targets, 0, i);
        if (peer.last_demand == 0)
            continue;
        if (state.settings.extend_loans)
            extend_loans(customer, peer.identity, planned, duration,
                         grant.extended, now);
        const double lent = lent_rate(pool, peer.identity);
        const double missing = std::min(planned - lent, pool.home.rate.value);
        const double least = plan.parties[0].home * dead_band;
        if (missing <= (lent > 0 ? least : least / 4))
            continue;
        const auto& limits = pool.limits;
        const loan_terms terms{
            token_rate(missing), limits.burst * (missing / limits.rate.value),
            pool.home.level * (missing / pool.home.rate.value)};
        if (auto item = lend(pool, state.next_loan, peer.identity, terms,
                             duration, now))
        {
            ++state.next_loan;
            grant.loans.push_back(*item);
        }
    }
}

void return_surplus(quota_state& state, customer_state& customer,
                    const rate_plan& plan, exchange_round& round,
                    time_point now)
{
    for (std::size_t i = 1; i < plan.parties.size(); ++i)
    {
        const auto lender = state.peers[plan.peers[i]].identity;
        std::vector<std::pair<std::uint64_t, double>> loans;
        double held = 0;
        for (const auto& it : customer.pool.borrowed)
            if (it.lender == lender && it.bucket.rate.value > 0)
            {
                loans.emplace_back(it.number, it.bucket.rate.value);
                held += it.bucket.rate.value;
            }
        const double planned = planned_loan(plan.parties, plan.targets, i, 0);
        double surplus = held - planned;
        if (surplus <= 0.25 * planned + dead_band * plan.parties[i].home)
            continue;
        auto& message = round.returns[plan.peers[i]];
        message.lender = lender.life;
        for (const auto& [number, rate] : loans)
        {
            if (surplus <= 0)
                break;
            const double part = surplus > 0.9 * rate ? 1 : surplus / rate;
            surplus -= part * rate;
            message.items.push_back(
                give_back(customer.pool, lender, number, part, now));
        }
    }
}

void return_spent(quota_state& state, customer_state& customer,
                  exchange_round& round, time_point now)
{
    for (std::size_t i = 0; i < state.peers.size(); ++i)
    {
        const auto& lender = state.peers[i].identity;
        std::vector<std::uint64_t> spent;
        for (const auto& it : customer.pool.borrowed)
            if (it.lender == lender && it.bucket.rate.value <= 0 &&
                it.bucket.level < it.bucket.burst * spent_level_fraction)
                spent.push_back(it.number);
        for (const auto number : spent)
        {
            round.returns[i].lender = lender.life;
            round.returns[i].items.push_back(
                give_back(customer.pool, lender, number, 1, now));
        }
    }
}

void request_tokens(quota_state& state, customer_state& customer,
                    std::uint32_t waiting, exchange_round& round,
                    time_point now)
{
    std::erase_if(customer.open_requests,
                  [&](const open_request& it) { return it.until <= now; });
    if (!state.settings.request_when_short)
        return;
    const bool usable = home_usable(state, now);
    const double demand = per_second(customer.estimate);
    const double lack =
        std::max(0.0, demand - usable_rate(customer.pool, usable).value);
    double need = waiting + lack * request_horizon_seconds +
                  demand * reserve_seconds -
                  available(customer.pool, usable).value;
    for (const auto& it : customer.open_requests)
        need -= it.count;
    std::vector<std::pair<double, std::size_t>> spare;
    for (std::size_t i = 0; i < state.peers.size(); ++i)
    {
        const auto it =
            customer.peer_reports.find(state.peers[i].identity.instance);
        if (it != customer.peer_reports.end() && is_recent(it->second, now) &&
            it->second.spare >= min_requested_tokens)
            spare.emplace_back(it->second.spare, i);
    }
    std::ranges::sort(spare, std::greater{});
    spare.resize(std::min(spare.size(), max_request_peers));
    for (const auto& [most, i] : spare)
    {
        if (need < min_requested_tokens ||
            !take(state.request_budget, tokens(1), now))
            return;
        const double count = std::min(need, most);
        const auto& peer = state.peers[i].identity.instance;
        round.requests[i].items.push_back(
            {key_of(customer.pool.limits.customer),
             static_cast<std::uint32_t>(std::ceil(count * 10))});
        customer.open_requests.push_back(
            {peer, state.next_request, count, now + request_timeout});
        customer.peer_reports[peer].spare -= count;
        need -= count;
    }
}

void send_round(quota_state& state, exchange_round& round,
                std::vector<outgoing_message>& messages, time_point now)
{
    bool asked = false;
    for (std::size_t i = 0; i < state.peers.size(); ++i)
    {
        const auto& peer = state.peers[i];
        auto& grant = round.grants[i];
        if (!grant.loans.empty() || !grant.extended.empty())
        {
            grant.borrower = peer.identity.life;
            grant.to_demand = true;
            grant.number = peer.last_demand;
            grant.duration_ms = static_cast<std::uint32_t>(
                state.settings.loan_duration.count());
            messages.push_back({peer.identity.instance, std::move(grant)});
        }
        if (!round.returns[i].items.empty())
            messages.push_back(
                {peer.identity.instance, std::move(round.returns[i])});
        if (!round.requests[i].items.empty())
        {
            round.requests[i].number = state.next_request;
            messages.push_back(
                {peer.identity.instance, std::move(round.requests[i])});
            asked = true;
        }
    }
    if (asked)
        record_sent(state.sent_requests, state.next_request++, now);
}

void report_demand(quota_state& state, std::vector<outgoing_message>& messages,
                   time_point now)
{
    demand message;
    for (auto& it : state.customers)
    {
        const double rate = per_second(it.estimate);
        const double spare = spare_tokens(state, it, now);
        if (!is_report_due(it, rate, spare, now))
            continue;
        it.reported_demand = rate;
        it.reported_spare = spare;
        it.last_reported = now;
        message.items.push_back(
            {static_cast<std::uint32_t>(key_of(it.pool.limits.customer)),
             static_cast<std::uint32_t>(std::lround(rate * 10)),
             static_cast<std::uint32_t>(spare * 10)});
    }
    const auto last = state.sent_demands.empty()
                          ? time_point{}
                          : state.sent_demands.back().sent;
    if (message.items.empty() && now - last < max_demand_interval)
        return;
    message.number = state.next_demand++;
    record_sent(state.sent_demands, message.number, now);
    for (const auto& it : state.peers)
        messages.push_back({it.identity.instance, message});
}

} // namespace parsleyplank::quota
