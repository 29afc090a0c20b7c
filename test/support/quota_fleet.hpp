#ifndef PARSLEYPLANK_TEST_SUPPORT_QUOTA_FLEET_HPP
#define PARSLEYPLANK_TEST_SUPPORT_QUOTA_FLEET_HPP

// Simulates a fleet of quota states with one manual clock and a seeded network
// that loses, repeats and delays messages. Tests schedule requests, pauses and
// restarts.

#include <parsleyplank/quota/quota_state.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace parsleyplank::test
{

using namespace parsleyplank::quota;

struct network_faults
{
    // Probabilities per message.
    double lost = 0;
    double repeated = 0;
    // Largest additional delay; reorders messages if above the tick interval.
    milliseconds jitter{0};
};

// Result of one request.
struct request_record
{
    std::size_t customer = 0;
    time_point at;
    time_point decided;
    bool admitted = false;
};

// Returns the largest (admissions - rate * T) / burst over all windows T,
// computed with a reference bucket that starts full. It is at most 1 if the
// trace stays within the limits.
inline double window_usage(std::vector<time_point> trace, token_rate rate,
                           tokens burst)
{
    std::ranges::sort(trace);
    double used = 0;
    double most = 0;
    for (std::size_t i = 0; i < trace.size(); ++i)
    {
        if (i > 0)
            used =
                std::max(0.0, used - rate.value * seconds_between(trace[i - 1],
                                                                  trace[i]));
        used += 1;
        most = std::max(most, used);
    }
    return most / burst.value;
}

class quota_fleet
{
public:
    struct waiting_request
    {
        std::size_t record;
        time_point arrival;
    };

    struct node
    {
        quota_state state;
        std::size_t region = 0;
        bool alive = true;
        bool store_reachable = true;
        time_point paused_until;
        std::map<std::size_t, std::deque<waiting_request>> waiting;
        std::vector<std::function<void()>> delayed;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    quota_fleet(std::size_t count, std::vector<customer_limits> limits,
                const quota_settings& settings, std::uint64_t seed,
                std::size_t regions = 3)
        : customers(std::move(limits)), config(settings), random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            nodes.emplace_back();
            nodes.back().region = i % regions;
        }
        std::vector<member> all;
        for (std::size_t i = 0; i < count; ++i)
            all.push_back(member_at(i));
        table = create_share_table(all[0]);
        table = donate(table, all[0], even_split(table, all[0], all));
        for (std::size_t i = 0; i < count; ++i)
            start(i);
    }

    member member_at(std::size_t i) const
    {
        const auto incarnation_number =
            i < incarnations.size() ? incarnations[i] : 1;
        return {instance_id("entry-" + std::to_string(i)),
                incarnation(incarnation_number)};
    }

    std::vector<member> live() const
    {
        std::vector<member> all;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].alive)
                all.push_back(member_at(i));
        return all;
    }

    // Starts an instance with empty state and updates the peer lists of all.
    void start(std::size_t i)
    {
        incarnations.resize(nodes.size(), 1);
        auto& it = nodes[i];
        it.alive = true;
        it.state = make_quota_state(member_at(i), config, now);
        it.waiting.clear();
        set_customers(it.state, customers, now);
        set_share_table(it.state, table, now);
        set_fresh_until(it.state, now + config.freshness_bound);
        for (std::size_t k = 0; k < nodes.size(); ++k)
            update_peers(k);
        const auto incarnation_number = incarnations[i];
        // The ticks of the instances are spread over the tick interval.
        at(now + milliseconds(1 + 200 * i / nodes.size()),
           [this, i, incarnation_number] { run_tick(i, incarnation_number); });
    }

    void kill(std::size_t i)
    {
        nodes[i].alive = false;
        ++incarnations[i];
    }

    void pause(std::size_t i, milliseconds length)
    {
        nodes[i].paused_until = now + length;
        at(now + length,
           [this, i]
           {
               for (auto& it : std::exchange(nodes[i].delayed, {}))
                   it();
           });
    }

    // Schedules a callback; callbacks of the same time run in this order.
    void at(time_point when, std::function<void()> run)
    {
        events.push({when, next_event++, std::move(run)});
    }

    // Runs all events up to that time.
    void run_until(time_point end)
    {
        while (!events.empty() && events.top().when <= end)
        {
            auto run = events.top().run;
            now = events.top().when;
            events.pop();
            run();
        }
        now = end;
    }

    void request(std::size_t i, std::size_t customer)
    {
        run_on_node(i, incarnations[i],
                    [this, i, customer]
                    {
                        records.push_back({customer, now, now});
                        auto result =
                            admit(nodes[i].state, id_of(customer), now);
                        send(i, result.messages);
                        apply(i, {records.size() - 1, now}, result, false);
                    });
    }

    // Runs the callback on the instance, after its pause if it is paused. Does
    // nothing if this incarnation of the instance has ended.
    void run_on_node(std::size_t i, std::uint64_t incarnation_number,
                     const std::function<void()>& run)
    {
        auto& it = nodes[i];
        if (!it.alive || incarnations[i] != incarnation_number)
            return;
        if (now < it.paused_until)
            it.delayed.push_back([this, i, incarnation_number, run]
                                 { run_on_node(i, incarnation_number, run); });
        else
            run();
    }

    void deliver(std::size_t to, const member& sender, const message_body& body)
    {
        run_on_node(to, incarnations[to],
                    [this, to, sender, body]
                    {
                        auto output =
                            on_message(nodes[to].state, sender, body, now);
                        send(to, output.messages);
                        decide_waiting(to, output.ready);
                        measure_sums();
                    });
    }

    std::vector<time_point> admitted(std::size_t customer) const
    {
        std::vector<time_point> trace;
        for (const auto& it : records)
            if (it.customer == customer && it.admitted)
                trace.push_back(it.decided);
        return trace;
    }

    double window_usage_of(std::size_t customer) const
    {
        return window_usage(admitted(customer), customers[customer].rate,
                            customers[customer].burst);
    }

    // Records the largest fraction of a customer's rate or burst that its
    // buckets hold in the whole fleet at this instant; above 1, something was
    // counted twice. Buckets that are not usable now do not count.
    void measure_sums()
    {
        for (std::size_t c = 0; c < customers.size(); ++c)
        {
            double rate = 0;
            double burst = 0;
            for (const auto& it : nodes)
            {
                if (!it.alive || it.state.customers.size() <= c)
                    continue;
                const auto& pool = it.state.customers[c].pool;
                if (home_usable(it.state, now))
                {
                    rate += pool.home.rate.value;
                    burst += pool.home.burst.value;
                }
                for (const auto& loan : pool.borrowed)
                    if (loan.end > now)
                    {
                        rate += loan.bucket.rate.value;
                        burst += loan.bucket.burst.value;
                    }
            }
            const auto& limits = customers[c];
            largest_usage = std::max({largest_usage, rate / limits.rate.value,
                                      burst / limits.burst.value});
        }
    }

    // Reads the share table and confirms it, unless the store is unreachable.
    void refresh(std::size_t i)
    {
        auto& it = nodes[i];
        if (!it.store_reachable)
            return;
        set_share_table(it.state, table, now);
        set_fresh_until(it.state, now + config.freshness_bound);
    }

    const customer_id& id_of(std::size_t customer) const
    {
        return customers[customer].customer;
    }

    std::vector<customer_limits> customers;
    quota_settings config;
    std::mt19937_64 random;
    network_faults faults;
    share_table table;
    std::vector<node> nodes;
    std::vector<std::uint64_t> incarnations;
    std::vector<request_record> records;
    double largest_usage = 0;
    time_point now{std::chrono::hours(1)};

private:
    struct event
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    void update_peers(std::size_t i)
    {
        std::vector<member> peers;
        for (const auto& it : live())
            if (it != member_at(i))
                peers.push_back(it);
        set_peers(nodes[i].state, peers);
    }

    void run_tick(std::size_t i, std::uint64_t incarnation_number)
    {
        run_on_node(i, incarnation_number,
                    [this, i, incarnation_number]
                    {
                        refresh(i);
                        auto output = tick(nodes[i].state, now);
                        send(i, output.messages);
                        decide_waiting(i, output.ready);
                        measure_sums();
                        at(now + milliseconds(200),
                           [this, i, incarnation_number]
                           { run_tick(i, incarnation_number); });
                    });
    }

    void apply(std::size_t i, const waiting_request& request,
               const admission& result, bool waited)
    {
        auto& record = records[request.record];
        record.decided = now;
        record.admitted = result.verdict == admit_verdict::admitted;
        if (result.verdict != admit_verdict::wait)
            return;
        auto& queue = nodes[i].waiting[record.customer];
        if (waited)
            queue.push_front(request);
        else
            queue.push_back(request);
        const auto incarnation_number = incarnations[i];
        const auto customer = record.customer;
        at(result.decide_at,
           [this, i, incarnation_number, customer]
           {
               run_on_node(i, incarnation_number,
                           [this, i, customer]
                           { decide_waiting(i, {id_of(customer)}); });
           });
    }

    // Decides the waiting requests in the order of arrival until one has to
    // wait again.
    void decide_waiting(std::size_t i, const std::vector<customer_id>& ready)
    {
        for (const auto& id : ready)
        {
            const auto customer = static_cast<std::size_t>(
                std::ranges::find(customers, id, &customer_limits::customer) -
                customers.begin());
            auto& queue = nodes[i].waiting[customer];
            while (!queue.empty())
            {
                const auto request = queue.front();
                queue.pop_front();
                auto result =
                    admit_waiting(nodes[i].state, id, request.arrival, now);
                send(i, result.messages);
                apply(i, request, result, true);
                if (result.verdict == admit_verdict::wait)
                    break;
            }
        }
    }

    void send(std::size_t i, const std::vector<outgoing_message>& messages)
    {
        for (const auto& it : messages)
        {
            ++nodes[i].messages;
            nodes[i].bytes += pack_body(it.body).size() + envelope_bytes;
            const auto to = std::stoul(it.receiver.value.substr(6));
            std::bernoulli_distribution lost(faults.lost);
            std::bernoulli_distribution repeated(faults.repeated);
            for (int copies = repeated(random) ? 2 : 1; copies > 0; --copies)
                if (!lost(random))
                    post(i, to, it.body);
        }
    }

    void post(std::size_t from, std::size_t to, const message_body& body)
    {
        const auto base = nodes[from].region == nodes[to].region
                              ? milliseconds(1)
                              : milliseconds(55);
        std::uniform_int_distribution<std::int64_t> extra(
            0, faults.jitter.count());
        const auto sender = member_at(from);
        at(now + base + milliseconds(extra(random)),
           [this, to, sender, body] { deliver(to, sender, body); });
    }

    // Encoded size of {sending instance, incarnation, sequence, kind}.
    static constexpr std::uint64_t envelope_bytes = 24;

    std::priority_queue<event> events;
    std::uint64_t next_event = 0;
};

} // namespace parsleyplank::test

#endif
