#include <support/token_fleet.hpp>

#include <algorithm>
#include <deque>

namespace parsleyplank::test
{

using namespace parsleyplank::edge;

namespace
{

constexpr milliseconds step_time{10};
constexpr milliseconds tick_interval{500};
constexpr milliseconds delay_in_region{2};
constexpr milliseconds delay_between_regions{55};
constexpr milliseconds store_delay{20};
constexpr milliseconds answer_timeout{60};
constexpr milliseconds other_region_timeout{250};
constexpr milliseconds lease_ttl{4'000};
constexpr milliseconds renewal_interval{1'333};
constexpr milliseconds start_span{300};
constexpr milliseconds drain_time{1'000};
constexpr double max_digests_per_s = 60;
constexpr std::chrono::seconds window{5};
constexpr int max_token_requests = 3;

} // namespace

struct token_fleet::instance
{
    int number = 0;
    int group = 0;
    bool running = false;
    bool frozen = false;
    bool muted = false;
    bool draining = false;
    // Increases with each start; messages to an earlier process are lost.
    int process = 0;
    member_record record;
    fleet_view fleet;
    fleet_options fleet_opts;
    rate_roster roster;
    token_pool_state tokens;
    std::uint64_t sequence_number = 0;
    std::size_t next_store_event = 0;
    time_point next_tick;
    time_point next_digest;
    time_point next_move;
    time_point last_renewal;
    time_point last_store_response;
    // Messages that arrive while the process is frozen.
    std::deque<std::function<void(instance&)>> inbox;
    std::size_t offered = 0;
    std::size_t served = 0;
};

struct token_fleet::store_state
{
    // What happened to a key of an instance.
    struct event
    {
        instance_id id;
        std::optional<member_record> registered;
        bool unregistered = false;
        std::optional<rate_roster::member> joined;
        bool left = false;
        time_point at{};
    };

    struct registration
    {
        member_record record;
        time_point expires;
    };

    std::map<instance_id, registration> registrations;
    std::map<instance_id, rate_roster::member> roster;
    std::uint64_t last_revision = 1;
    std::vector<event> events;
};

token_fleet::token_fleet(const token_fleet_options& chosen)
    : options(chosen), demand([](int) { return 0.0; }), rng(chosen.seed),
      store(std::make_unique<store_state>())
{
    customer.id = customer_id("shop");
    customer.rate = token_rate(options.rate);
    customer.burst = tokens(options.burst);
    for (int i = 0; i < options.instances; ++i)
    {
        auto it = std::make_unique<instance>();
        it->number = i;
        it->record.id = instance_id("edge-" + std::to_string(i));
        it->record.address = "10.0.0.1";
        it->record.peer_port = static_cast<std::uint16_t>(1'000 + i * 2);
        it->record.region =
            region_id("region-" + std::to_string(i % options.regions));
        it->record.domain =
            failure_domain_id(it->record.region.value + "-" +
                              std::to_string(i / options.regions % 2));
        instances.push_back(std::move(it));
    }
    for (const auto& it : instances)
    {
        std::uniform_int_distribution<int> delay(
            0, static_cast<int>(start_span.count()));
        events.emplace(at + milliseconds(delay(rng)),
                       [this, n = it->number] { start(n); });
    }
}

token_fleet::~token_fleet() = default;

int token_fleet::size() const
{
    return options.instances;
}

void token_fleet::set_demand(demand_source source)
{
    demand = std::move(source);
}

void token_fleet::set_group(int number, int group)
{
    instances[static_cast<std::size_t>(number)]->group = group;
}

void token_fleet::mute(int number, bool muted)
{
    instances[static_cast<std::size_t>(number)]->muted = muted;
}

void token_fleet::freeze(int number, bool frozen)
{
    auto& it = *instances[static_cast<std::size_t>(number)];
    it.frozen = frozen;
    if (frozen)
        return;
    // The requests of peers that came in the meantime are read first.
    while (!it.inbox.empty())
    {
        const auto action = std::move(it.inbox.front());
        it.inbox.pop_front();
        action(it);
    }
}

void token_fleet::kill(int number)
{
    auto& it = *instances[static_cast<std::size_t>(number)];
    it.running = false;
    it.frozen = false;
    it.inbox.clear();
}

void token_fleet::start(int number)
{
    auto& it = *instances[static_cast<std::size_t>(number)];
    if (it.running)
        return;
    it.running = true;
    it.draining = false;
    ++it.process;
    it.record.started_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch())
            .count());
    it.fleet = {};
    it.fleet.self = it.record.id;
    it.roster = {};
    it.roster.self = it.record.id;
    it.roster.started_ms = it.record.started_ms;
    it.roster.started_at = at;
    it.tokens = {};
    it.tokens.self = it.record.id;
    it.tokens.region = it.record.region;
    it.tokens.rng.seed(rng());
    it.sequence_number = 0;
    it.next_store_event = 0;
    std::uniform_int_distribution<int> phase(
        0, static_cast<int>(tick_interval.count()));
    it.next_tick = at + milliseconds(phase(rng));
    it.next_digest = it.next_tick;
    it.next_move = it.next_tick;
    it.last_renewal = {};
    it.last_store_response = {};
    it.offered = 0;
    it.served = 0;
}

void token_fleet::drain(int number)
{
    auto& it = *instances[static_cast<std::size_t>(number)];
    if (!it.running || it.draining)
        return;
    it.draining = true;
    publish(it);
    it.next_digest = at;
    if (reaches_store(it))
    {
        if (store->registrations.erase(it.record.id) > 0)
            store->events.push_back(
                {it.record.id, {}, true, {}, false, at + store_delay});
        if (store->roster.erase(it.record.id) > 0)
            store->events.push_back(
                {it.record.id, {}, false, {}, true, at + store_delay});
    }
    events.emplace(
        at + drain_time,
        [this, number, process = it.process]
        {
            if (instances[static_cast<std::size_t>(number)]->process == process)
                kill(number);
        });
}

bool token_fleet::reaches_store(const instance& it) const
{
    return it.group == 0 && it.running && !it.frozen;
}

int token_fleet::number_of(const steering::server_endpoint& to) const
{
    return (to.port - 1'001) / 2;
}

void token_fleet::deliver(int from, int to,
                          std::function<void(instance&)> action)
{
    const auto& sender = *instances[static_cast<std::size_t>(from)];
    auto& receiver = *instances[static_cast<std::size_t>(to)];
    std::uniform_real_distribution<double> drawn(0, 1);
    if (sender.group != receiver.group || sender.muted ||
        drawn(rng) < options.loss)
        return;
    const auto delay = sender.record.region == receiver.record.region
                           ? delay_in_region
                           : delay_between_regions;
    events.emplace(
        at + delay,
        [this, to, process = receiver.process, action = std::move(action)]
        {
            auto& it = *instances[static_cast<std::size_t>(to)];
            if (!it.running || it.process != process)
                return;
            if (it.frozen)
                it.inbox.push_back(action);
            else
                action(it);
        });
}

void token_fleet::renew_registration(instance& it)
{
    if (it.draining || !reaches_store(it) ||
        at - it.last_renewal < renewal_interval)
        return;
    it.last_renewal = at;
    auto& held = store->registrations[it.record.id];
    const bool fresh = held.record.started_ms != it.record.started_ms;
    held = {it.record, at + lease_ttl};
    if (fresh)
        store->events.push_back(
            {it.record.id, it.record, false, {}, false, at + store_delay});
}

void token_fleet::expire_leases()
{
    std::erase_if(store->registrations,
                  [&](const auto& it)
                  {
                      if (at < it.second.expires)
                          return false;
                      store->events.push_back(
                          {it.first, {}, true, {}, false, at + store_delay});
                      return true;
                  });
}

void token_fleet::apply_store_events(instance& it)
{
    if (!reaches_store(it))
        return;
    it.last_store_response = at;
    for (; it.next_store_event < store->events.size(); ++it.next_store_event)
    {
        const auto& event = store->events[it.next_store_event];
        if (event.at > at)
            return;
        if (event.registered)
            put_member(it.fleet, *event.registered, at);
        if (event.unregistered)
            remove_member(it.fleet, event.id);
        if (event.joined)
            put_roster_member(it.roster, event.id, event.joined->record,
                              event.joined->key_revision, at);
        if (event.left)
            remove_roster_member(it.roster, event.id);
    }
    it.roster.listed = true;
}

void token_fleet::update_roster(instance& it)
{
    const store_contact contact{reaches_store(it), it.last_store_response, {}};
    step_roster(it.roster, it.fleet, it.fleet_opts, contact, at);
    if (it.draining || !contact.reachable)
        return;
    const auto held = [&](const instance_id& id)
    {
        const auto found = store->roster.find(id);
        return found == store->roster.end() ? revision(0)
                                            : found->second.key_revision;
    };
    const auto write = next_roster_write(it.roster);
    if (write && held(it.record.id) == write->expected)
    {
        const rate_roster::member joined{{it.record.started_ms},
                                         revision(++store->last_revision)};
        store->roster[it.record.id] = joined;
        store->events.push_back(
            {it.record.id, {}, false, joined, false, at + store_delay});
        note_roster_write(it.roster, *write, at);
    }
    for (const auto& id : expired_members(it.roster, at))
        if (store->roster.erase(id) > 0)
            store->events.push_back(
                {id, {}, false, {}, true, at + store_delay});
}

void token_fleet::publish(instance& it)
{
    const store_contact contact{reaches_store(it), it.last_store_response, {}};
    quota::rate_division division{count_issuers(it.roster), 0,
                                  !it.draining &&
                                      may_issue(it.roster, contact, at),
                                  it.roster.issuing_since};
    std::vector<steering::fleet_member> peers;
    const auto add = [&](const member_record& peer)
    {
        peers.push_back(
            {peer.id,
             peer.domain,
             peer.region,
             {peer.address, static_cast<std::uint16_t>(peer.peer_port + 1)}});
        if (peer.region == it.record.region)
            ++division.issuers_in_touch;
    };
    if (!it.draining)
        add(it.record);
    for (const auto* peer : peers_in_touch(it.fleet, it.fleet_opts, at))
        add(peer->record);
    adopt_division(it.tokens, {&customer, 1}, division, std::move(peers), at);
}

void token_fleet::control_tick(instance& it)
{
    const auto slowed =
        std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
            static_cast<double>(it.fleet.peers.size()) / max_digests_per_s));
    it.fleet_opts.digest_interval = std::max(tick_interval, slowed);
    renew_registration(it);
    remove_expired_peers(it.fleet, it.fleet_opts, at);
    update_roster(it);
    if (at >= it.next_digest)
    {
        it.next_digest = at + it.fleet_opts.digest_interval;
        member_digest digest;
        digest.id = it.record.id;
        digest.started_ms = it.record.started_ms;
        digest.sequence_number = ++it.sequence_number;
        digest.leaving = it.draining;
        for (const auto& [id, peer] : it.fleet.peers)
            deliver(it.number, (peer.record.peer_port - 1'000) / 2,
                    [this, digest](instance& to)
                    { apply_digest(to.fleet, digest, at); });
    }
    publish(it);
}

void token_fleet::move_tokens(instance& it)
{
    const auto transfers = edge::move_tokens(it.tokens, at);
    for (const auto& transfer : transfers.spare)
        for (const auto& item : transfer.items)
            deliver(it.number, number_of(transfer.to),
                    [item](instance& to)
                    { add_spare(to.tokens, item.customer, item.count); });
    for (const auto& transfer : transfers.wanted)
        for (const auto& item : transfer.items)
            deliver(it.number, number_of(transfer.to),
                    [this, item, from = it.number](instance& to)
                    {
                        const auto count = grant_tokens(
                            to.tokens, item.customer, item.count, at);
                        deliver(to.number, from,
                                [item, count](instance& back) {
                                    add_own(back.tokens, item.customer, count);
                                });
                    });
    for (const auto& transfer : transfers.requested)
        for (const auto& item : transfer.items)
            deliver(
                it.number, number_of(transfer.to),
                [this, item, from = it.number](instance& to)
                {
                    const auto count =
                        lend_tokens(to.tokens, item.customer, item.count, at);
                    if (count > 0)
                        deliver(to.number, from,
                                [item, count](instance& back) {
                                    add_lent(back.tokens, item.customer, count);
                                });
                });
}

void token_fleet::end_request(instance& it, bool granted)
{
    if (!granted)
        return;
    ++it.served;
    admitted.push_back(at);
}

void token_fleet::request_elsewhere(instance& it)
{
    const auto wanted = make_other_region_request(it.tokens, customer.id, at);
    if (!wanted)
        return;
    const auto answered = std::make_shared<bool>(false);
    const auto end = [this, answered](instance& to, std::uint32_t count)
    {
        if (std::exchange(*answered, true))
        {
            add_own(to.tokens, customer_number(customer.id), count);
            return;
        }
        if (count == 0)
            note_other_region_refusal(to.tokens, customer.id, at);
        end_request(to, count > 0);
    };
    deliver(it.number, number_of(wanted->to),
            [this, wanted, end, from = it.number](instance& pool)
            {
                const auto count =
                    grant_elsewhere(pool.tokens, wanted->customer, at) ? 1U
                                                                       : 0U;
                deliver(pool.number, from,
                        [end, count](instance& to) { end(to, count); });
            });
    events.emplace(
        at + other_region_timeout,
        [this, end, answered, number = it.number, process = it.process]
        {
            auto& to = *instances[static_cast<std::size_t>(number)];
            if (to.running && to.process == process && !*answered)
                end(to, 0);
        });
}

void token_fleet::request(instance& it, int attempts_left)
{
    if (attempts_left == 0)
        return;
    const auto source = take_token(it.tokens, customer.id, at);
    if (source == token_source::taken)
        end_request(it, true);
    if (source == token_source::refused)
        request_elsewhere(it);
    if (source != token_source::pool)
        return;
    const auto wanted = make_pool_request(it.tokens, customer.id, at);
    const auto answered = std::make_shared<bool>(false);
    const auto on_answer =
        [this, answered, wanted](instance& to, std::uint32_t count)
    {
        if (std::exchange(*answered, true))
        {
            add_own(to.tokens, wanted.customer, count);
            return;
        }
        note_answer(to.tokens, wanted.pool);
        if (count == 0)
        {
            note_refusal(to.tokens, customer.id, at);
            request_elsewhere(to);
            return;
        }
        add_own(to.tokens, wanted.customer, count - 1);
        end_request(to, true);
    };
    deliver(it.number, number_of(wanted.to),
            [this, wanted, on_answer, from = it.number](instance& pool)
            {
                const auto count = grant_tokens(pool.tokens, wanted.customer,
                                                wanted.count, at);
                deliver(pool.number, from,
                        [on_answer, count](instance& to)
                        { on_answer(to, count); });
            });
    events.emplace(at + answer_timeout,
                   [this, answered, wanted, attempts_left, number = it.number,
                    process = it.process]
                   {
                       auto& to = *instances[static_cast<std::size_t>(number)];
                       if (!to.running || to.process != process || to.frozen ||
                           std::exchange(*answered, true))
                           return;
                       note_silence(to.tokens, wanted.pool, at);
                       request(to, attempts_left - 1);
                   });
}

void token_fleet::send_requests(instance& it)
{
    const std::chrono::duration<double> span = step_time;
    std::poisson_distribution<int> count(demand(it.number) * span.count());
    if (demand(it.number) <= 0)
        return;
    for (int n = count(rng); n > 0; --n)
    {
        ++it.offered;
        count_request(it.tokens, customer.id);
        request(it, max_token_requests);
    }
}

void token_fleet::step()
{
    at += step_time;
    while (!events.empty() && events.begin()->first <= at)
    {
        const auto action = std::move(events.begin()->second);
        events.erase(events.begin());
        action();
    }
    expire_leases();
    for (const auto& entry : instances)
    {
        auto& it = *entry;
        if (!it.running || it.frozen)
            continue;
        apply_store_events(it);
        if (at >= it.next_tick)
        {
            it.next_tick = at + tick_interval;
            control_tick(it);
        }
        if (at >= it.next_move)
        {
            it.next_move = at + it.tokens.options.move_interval;
            move_tokens(it);
        }
        send_requests(it);
    }
}

void token_fleet::run(milliseconds duration)
{
    for (const auto end = at + duration; at < end;)
        step();
}

std::size_t token_fleet::most_in_window() const
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last)
    {
        while (admitted[last] - admitted[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

double token_fleet::most_allowed() const
{
    constexpr double overage = 0.1;
    constexpr double slack = 20;
    const auto span = static_cast<double>(window.count());
    return (options.rate * span + options.burst) * (1 + overage) + slack;
}

double token_fleet::served_part(int group) const
{
    std::size_t offered = 0;
    std::size_t served = 0;
    for (const auto& it : instances)
        if (it->group == group)
        {
            offered += it->offered;
            served += it->served;
        }
    return offered == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(offered);
}

void token_fleet::reset_counts()
{
    for (const auto& it : instances)
    {
        it->offered = 0;
        it->served = 0;
    }
}

double token_fleet::issued_rate() const
{
    double sum = 0;
    for (const auto& it : instances)
        if (it->running)
            for (const auto& [id, held] : it->tokens.customers)
                sum += held.stock.part.rate.value;
    return sum;
}

} // namespace parsleyplank::test
