// Quota: the tick of 200 ms, demand messages, memory, and the share table.

#include "measure.hpp"
#include <parsleyplank/peer/message.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <cmath>
#include <random>

namespace parsleyplank::capacity
{

namespace
{

constexpr milliseconds tick_interval{200};
const time_point start{std::chrono::hours(1)};

// The customers together have 4,350 requests/s for each instance.
constexpr double instance_rate = 4'350;

quota::member member_of(std::size_t n)
{
    return {instance_name(n), incarnation(1'760'000'000'000)};
}

quota::share_table even_table(std::size_t n)
{
    quota::share_table table{epoch(1), {}};
    for (std::size_t i = 0; i < n; ++i)
        table.holders.push_back(
            {member_of(i), share_ppm{static_cast<std::uint32_t>(ppm_total / n)},
             epoch(1), epoch()});
    return table;
}

struct figures
{
    double tick_us = 0;
    double demand_us = 0;
    double messages = 0;
    double bytes = 0;
};

class node
{
public:
    node(std::size_t customers, std::size_t peers)
        : rate(instance_rate * static_cast<double>(peers + 1) /
               static_cast<double>(customers)),
          peers(peers), state(quota::make_quota_state(member_of(0), {}, start))
    {
        std::vector<quota::customer_limits> limits;
        for (std::size_t c = 0; c < customers; ++c)
            limits.push_back({customer_id("customer-" + std::to_string(c)),
                              token_rate(rate), tokens(rate)});
        quota::set_customers(state, limits, start);
        std::vector<quota::member> others;
        for (std::size_t i = 1; i <= peers; ++i)
            others.push_back(member_of(i));
        quota::set_peers(state, others);
        quota::set_share_table(state, even_table(peers + 1), start);
        quota::set_fresh_until(state, start + std::chrono::hours(1));
    }

    // Runs one interval; adds what it costs.
    void step(figures& sum)
    {
        now += tick_interval;
        receive_demand(sum);
        arrive();
        const double begin = cpu_us();
        const auto output = quota::tick(state, now);
        std::vector<std::string> bodies;
        for (const auto& it : output.messages)
            bodies.push_back(peer::encode_envelope(
                {state.self.instance, state.self.life, 100'000,
                 peer::message_kind::demand, quota::pack_body(it.body)}));
        sum.tick_us += cpu_us() - begin;
        for (const auto& it : bodies)
            sum.bytes += static_cast<double>(it.size());
        sum.messages += static_cast<double>(bodies.size());
    }

private:
    // Arrivals at 0.95 of an even part, with chance and a skew per customer.
    std::uint64_t draw()
    {
        const double mean =
            0.95 * rate / static_cast<double>(peers + 1) * skew(random) * 0.2;
        return std::poisson_distribution<std::uint64_t>(mean + 1e-9)(random);
    }

    void arrive()
    {
        for (auto& it : state.customers)
            it.estimate.arrivals += draw();
    }

    // One demand message of each peer. A third of the customers has changed
    // since the last one, as the sender leaves out what has hardly changed.
    void receive_demand(figures& sum)
    {
        ++number;
        for (std::size_t i = 1; i <= peers; ++i)
        {
            quota::demand message{number, {}};
            for (std::size_t c = (number + i) % 3; c < state.customers.size();
                 c += 3)
                message.items.push_back(
                    {static_cast<std::uint32_t>(quota::key_of(
                         state.customers[c].pool.limits.customer)),
                     static_cast<std::uint32_t>(draw() * 50), 10});
            const auto bytes = peer::encode_envelope(
                {instance_name(i), member_of(i).life, number,
                 peer::message_kind::demand, quota::pack_body(message)});
            const double begin = cpu_us();
            const auto decoded = peer::decode_envelope(bytes, "peer");
            keep(quota::on_message(
                state, {decoded.from, decoded.life},
                unpack_value<quota::demand>(decoded.body, "peer"), now));
            sum.demand_us += cpu_us() - begin;
        }
    }

    double rate;
    std::size_t peers;
    quota::quota_state state;
    time_point now = start;
    std::uint64_t number = 0;
    std::mt19937_64 random{1};
    std::uniform_real_distribution<double> skew{0.5, 1.5};
};

void measure(std::size_t customers, std::size_t peers)
{
    const double before = heap_bytes();
    node n(customers, peers);
    figures warm;
    for (int i = 0; i < 10; ++i)
        n.step(warm);
    const double memory = heap_bytes() - before;
    figures sum;
    int steps = 0;
    const double begin = cpu_us();
    for (; steps < 10 || (steps < 200 && cpu_us() - begin < 300'000); ++steps)
        n.step(sum);
    std::printf("%9zu %5zu %10.1f %12.2f %10.1f %10.0f %9.1f\n", customers,
                peers, sum.tick_us / steps,
                sum.demand_us / steps / static_cast<double>(peers),
                sum.messages / steps * 5, sum.bytes / steps * 5, memory / 1e3);
}

void measure_table(std::size_t n)
{
    const auto table = even_table(n);
    const auto bytes = quota::pack_share_table(table);
    const double packing = cpu_us_of(
        [&](std::size_t) { keep(quota::pack_share_table(table)); }, 1e5);
    const double unpacking = cpu_us_of(
        [&](std::size_t) { keep(quota::unpack_share_table(bytes)); }, 1e5);
    auto state = quota::make_quota_state(member_of(0), {}, start);
    const quota::customer_limits limits{customer_id("customer"),
                                        token_rate(1'000), tokens(1'000)};
    quota::set_customers(state, std::span(&limits, 1), start);
    auto next = table;
    const double adopting = cpu_us_of(
        [&](std::size_t i)
        {
            next.number = epoch(i + 2);
            quota::set_share_table(state, next, start);
        },
        1e5);
    std::vector<quota::member> listed;
    for (std::size_t i = 0; i < n; ++i)
        listed.push_back(member_of(i));
    quota::reclaim_watch watch;
    const double observing = cpu_us_of(
        [&](std::size_t i)
        {
            keep(quota::even_split(table, listed.front(), listed));
            keep(quota::update_reclaim_watch(watch, table, listed, true,
                                             milliseconds(7'000),
                                             start + std::chrono::seconds(i)));
        },
        1e5);
    std::printf("%8zu %8zu %9.1f %9.1f %9.1f %11.1f\n", n, bytes.size(),
                packing, unpacking, adopting, observing);
}

} // namespace

void measure_quota()
{
    std::printf("quota: CPU us of one tick with encoding, of one demand "
                "message with decoding; sent by one instance\n");
    std::printf("customers peers    tick_us demand_us/msg messages/s    "
                "bytes/s   heap_kB\n");
    for (const std::size_t customers : {8, 80, 800})
        for (const std::size_t peers : {9, 31, 95})
            measure(customers, peers);
    measure(8, 1'000);
    measure(8, 2'299);
}

void measure_share_table()
{
    std::printf("share table: CPU us; observe is the check of each second\n");
    std::printf(
        " holders    bytes   pack_us unpack_us  adopt_us  observe_us\n");
    for (const std::size_t n : {10, 24, 96, 100, 1'000, 2'300})
        measure_table(n);
}

} // namespace parsleyplank::capacity
