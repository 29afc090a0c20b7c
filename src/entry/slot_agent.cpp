#include <parsleyplank/entry/slot_agent.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace parsleyplank::entry
{

namespace
{

// Longer than the deadlines of most routes; a request whose deadline is later
// than the loan's end runs on a home slot only.
constexpr milliseconds loan_duration{15'000};
// A loan that ends sooner is asked for anew, because few requests fit into it.
constexpr milliseconds renewal_time{5'000};
// An answer that comes later is of no use, since requests are repeated sooner.
constexpr milliseconds answer_wait{2'000};
constexpr milliseconds ask_interval{400};
// Weight of one tick in the average demand: a time constant of about 2 s.
constexpr double demand_weight = 0.1;
// Slots that are kept beyond the average demand, so that a burst need not wait
// for a loan.
constexpr double headroom = 1.5;

bool home_usable(const slot_agent& agent, time_point now)
{
    return now <= agent.fresh_until;
}

std::uint32_t idle_slots(const quota::borrowed_slots& loan)
{
    return loan.slots - std::min(loan.slots, loan.in_flight);
}

std::uint32_t slots_in_use(const quota::slot_pool& pool)
{
    std::uint32_t n = pool.in_flight;
    std::ranges::for_each(pool.borrowed, [&](const quota::borrowed_slots& loan)
                          { n += loan.in_flight; });
    return n;
}

// Slots of this instance without loans that are about to end.
std::uint32_t count_held(const quota::slot_pool& pool, time_point now)
{
    std::uint32_t n = pool.in_flight + quota::free_home_slots(pool);
    std::ranges::for_each(
        pool.borrowed, [&](const quota::borrowed_slots& loan)
        { n += loan.end - now > renewal_time ? loan.slots : loan.in_flight; });
    return n;
}

// Slots that this instance should hold for its own requests.
std::uint32_t slots_needed(const slot_use& use)
{
    return use.demand < 0.05 ? 0
                             : static_cast<std::uint32_t>(
                                   std::ceil(use.demand * headroom + 1));
}

void update_demand(slot_use& use)
{
    const double now = slots_in_use(use.pool) + use.wanted;
    use.demand += demand_weight * (now - use.demand);
    // Requests that found no slot count at once.
    use.demand = std::max(use.demand, double(use.wanted));
    use.wanted = 0;
}

void ask(slot_agent& agent, node_context& context, const slot_pool_id& id,
         slot_use& use, const std::vector<instance_id>& peers)
{
    const auto now = context.loop.now();
    const auto held = count_held(use.pool, now);
    const auto needed = std::min(slots_needed(use), use.pool.total);
    if (needed <= held || peers.empty() || now - use.asked_at < ask_interval)
        return;
    use.asked_at = now;
    // Each peer is asked for its part and one more, since some have none.
    const auto each = (needed - held) / peers.size() + 1;
    std::ranges::for_each(
        peers,
        [&](const instance_id& peer)
        {
            const auto number = agent.next_number++;
            agent.sent[number] = {id, now};
            send_to(context, peer, peer::message_kind::slot_request,
                    slot_request{number, id, static_cast<std::uint32_t>(each)});
        });
}

void return_idle(node_context& context, const slot_pool_id& id, slot_use& use)
{
    const auto now = context.loop.now();
    auto spare = count_held(use.pool, now);
    const auto needed = slots_needed(use);
    spare -= std::min(spare, needed);
    const auto loans = use.pool.borrowed;
    std::ranges::for_each(
        loans,
        [&](const quota::borrowed_slots& loan)
        {
            const auto idle = idle_slots(loan);
            if (idle == 0 || idle > spare)
                return;
            const auto item =
                quota::give_back(use.pool, loan.lender, loan.number, now);
            if (!item)
                return;
            spare -= idle;
            send_to(context, loan.lender.instance,
                    peer::message_kind::slot_return,
                    slot_give_back{loan.lender.life, id, *item});
        });
}

void answer_request(slot_agent& agent, node_context& context,
                    const peer::envelope& message)
{
    const auto request =
        unpack_value<slot_request>(message.body, message.from.value);
    const auto it = agent.pools.find(request.pool);
    const auto now = context.loop.now();
    if (it == agent.pools.end() || agent.leaving || !home_usable(agent, now))
        return;
    auto& use = it->second;
    quota::drop_expired(use.pool, now);
    const auto held = count_held(use.pool, now);
    const auto spare = held - std::min(held, slots_needed(use));
    const auto slots =
        std::min({request.slots, spare, quota::free_home_slots(use.pool)});
    if (slots == 0)
        return;
    const auto grant = quota::lend(use.pool, {message.from, message.life},
                                   slots, loan_duration, now);
    if (grant)
        send_to(
            context, message.from, peer::message_kind::slot_grant,
            slot_answer{request.number, message.life, request.pool, *grant});
}

void take_grant(slot_agent& agent, node_context& context,
                const peer::envelope& message)
{
    const auto answer =
        unpack_value<slot_answer>(message.body, message.from.value);
    const auto sent = agent.sent.find(answer.number);
    if (answer.borrower != context.config.life || sent == agent.sent.end() ||
        sent->second.pool != answer.pool)
        return;
    const auto asked_at = sent->second.at;
    agent.sent.erase(sent);
    const auto it = agent.pools.find(answer.pool);
    if (it != agent.pools.end())
        quota::accept(it->second.pool, {message.from, message.life},
                      answer.grant, asked_at, context.loop.now());
}

void take_give_back(slot_agent& agent, node_context& context,
                    const peer::envelope& message)
{
    const auto returned =
        unpack_value<slot_give_back>(message.body, message.from.value);
    const auto it = agent.pools.find(returned.pool);
    if (returned.lender == context.config.life && it != agent.pools.end())
        quota::apply_return(it->second.pool, {message.from, message.life},
                            returned.item, context.loop.now());
}

} // namespace

void set_capacity(slot_agent& agent, const slot_pool_id& id,
                  std::uint32_t slots)
{
    agent.pools[id].pool.total = slots;
}

void set_share(slot_agent& agent, share_ppm share)
{
    std::ranges::for_each(agent.pools,
                          [&](auto& it) { it.second.pool.share = share; });
}

std::uint32_t free_slots(const slot_agent& agent, const slot_pool_id& id,
                         time_point deadline, time_point now)
{
    const auto it = agent.pools.find(id);
    if (it == agent.pools.end())
        return 0;
    const auto& pool = it->second.pool;
    std::uint32_t n =
        home_usable(agent, now) ? quota::free_home_slots(pool) : 0;
    std::ranges::for_each(pool.borrowed,
                          [&](const quota::borrowed_slots& loan)
                          {
                              if (deadline < loan.end)
                                  n += idle_slots(loan);
                          });
    return n;
}

std::uint32_t held_slots(const slot_agent& agent, const slot_pool_id& id,
                         time_point now)
{
    const auto it = agent.pools.find(id);
    return it == agent.pools.end() ? 0 : count_held(it->second.pool, now);
}

std::optional<quota::slot_ticket> take_slot(slot_agent& agent,
                                            const slot_pool_id& id,
                                            time_point deadline, time_point now)
{
    return quota::acquire(agent.pools.at(id).pool, home_usable(agent, now),
                          deadline, now);
}

void give_slot_back(slot_agent& agent, const slot_pool_id& id,
                    const quota::slot_ticket& ticket)
{
    quota::release(agent.pools.at(id).pool, ticket);
}

void note_wanted(slot_agent& agent, const slot_pool_id& id)
{
    ++agent.pools[id].wanted;
}

void tick(slot_agent& agent, node_context& context, const peer_contact& contact)
{
    const auto now = context.loop.now();
    agent.fresh_until =
        freshness::fresh_until(contact.fresh, now).value_or(agent.fresh_until);
    std::erase_if(agent.sent, [&](const auto& it)
                  { return now - it.second.at > answer_wait; });
    const auto peers = membership::usable_members(contact.members, now, false);
    std::ranges::for_each(agent.pools,
                          [&](auto& it)
                          {
                              auto& use = it.second;
                              quota::drop_expired(use.pool, now);
                              update_demand(use);
                              return_idle(context, it.first, use);
                              ask(agent, context, it.first, use, peers);
                          });
}

void take_message(slot_agent& agent, node_context& context,
                  const peer::envelope& message)
{
    if (message.kind == peer::message_kind::slot_request)
        answer_request(agent, context, message);
    else if (message.kind == peer::message_kind::slot_grant)
        take_grant(agent, context, message);
    else
        take_give_back(agent, context, message);
}

share_ppm donatable(const slot_agent& agent)
{
    share_ppm least{ppm_total};
    std::ranges::for_each(
        agent.pools, [&](const auto& it)
        { least = std::min(least, quota::donatable(it.second.pool)); });
    return least;
}

} // namespace parsleyplank::entry
