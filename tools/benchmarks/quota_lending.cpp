// Measures how well rate follows demand: refusals within the rate at 95% demand
// whose entry choice is skewed and moves every 10 s, against an even split and
// plain 2 s loans, and the effect of one customer at four times its rate.
// Usage: bench_quota [seeds] [seconds] [burst in seconds of rate]

#include "support/quota_fleet.hpp"

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

constexpr std::size_t instances = 10;
constexpr std::array rates{1200.0, 800.0, 500.0, 120.0, 80.0, 50.0, 30.0, 20.0};
constexpr double zipf_exponent = 1.2;
constexpr int moves_every = 10;

struct policy
{
    const char* name;
    quota_settings settings;
};

struct run_result
{
    std::vector<double> refused;
    std::vector<double> ideal;
    double total_refused = 0;
    double worst_window = 0;
    double messages = 0;
    double bytes = 0;
    double waited_p99 = 0;
    double follow_ms = 0;
};

std::vector<policy> policies()
{
    quota_settings even;
    even.lend_proactively = even.request_when_short = false;
    even.borrow_wait = milliseconds(0);
    quota_settings plain;
    plain.request_when_short = plain.extend_loans = plain.return_early = false;
    plain.borrow_wait = milliseconds(0);
    plain.min_home_burst = 0;
    return {{"even split", even}, {"plain 2 s loans", plain}, {"full", {}}};
}

std::vector<customer_limits> limits(double burst_seconds)
{
    std::vector<customer_limits> all;
    for (std::size_t i = 0; i < rates.size(); ++i)
        all.push_back({customer_id("customer-" + std::to_string(i)),
                       token_rate(rates[i]),
                       tokens(std::max(20.0, rates[i] * burst_seconds))});
    return all;
}

// Schedules the arrivals of one customer: Poisson in time, Zipf over the
// instances in an order that is drawn anew at each move.
void schedule(quota_fleet& fleet, std::size_t customer, double rate,
              int seconds, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + customer);
    std::vector<double> weights;
    for (std::size_t k = 0; k < instances; ++k)
        weights.push_back(std::pow(static_cast<double>(k + 1), -zipf_exponent));
    std::discrete_distribution<std::size_t> rank(weights.begin(),
                                                 weights.end());
    std::exponential_distribution<double> gap(rate);
    std::vector<std::size_t> order(instances);
    std::iota(order.begin(), order.end(), 0);
    const auto start = fleet.now;
    double t = 0;
    int period = -1;
    for (t += gap(random); t < seconds; t += gap(random))
    {
        if (static_cast<int>(t) / moves_every != period)
        {
            period = static_cast<int>(t) / moves_every;
            std::ranges::shuffle(order, random);
        }
        const auto i = order[rank(random)];
        fleet.at(start + std::chrono::duration_cast<time_point::duration>(
                             std::chrono::duration<double>(t)),
                 [&fleet, i, customer] { fleet.request(i, customer); });
    }
}

// Part that one central bucket would refuse of the same arrivals.
double central_refusals(const std::vector<time_point>& arrivals,
                        const customer_limits& limits, time_point start)
{
    auto bucket = empty_bucket(limits.rate, limits.burst, start);
    bucket.level = limits.burst;
    std::size_t refused = 0;
    for (const auto& it : arrivals)
        refused += take(bucket, tokens(1), it) ? 0 : 1;
    return static_cast<double>(refused) / static_cast<double>(arrivals.size());
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(
        part * static_cast<double>(values.size() - 1))];
}

// Mean time after a move until fewer than 2% of the requests of a tenth of a
// second are refused, for half a second.
double follow_time(const quota_fleet& fleet, time_point start, int seconds)
{
    constexpr int slot_ms = 100;
    std::vector<double> offered(seconds * 10 + 10);
    std::vector<double> refused(seconds * 10 + 10);
    for (const auto& it : fleet.records)
    {
        const auto slot =
            std::chrono::duration_cast<milliseconds>(it.at - start).count() /
            slot_ms;
        offered[slot] += 1;
        refused[slot] += it.admitted ? 0 : 1;
    }
    double sum = 0;
    int moves = 0;
    for (int t = moves_every; t < seconds; t += moves_every, ++moves)
    {
        int last_bad = 0;
        for (int k = 0; k < (moves_every - 1) * 10; ++k)
            if (refused[t * 10 + k] > 0.02 * offered[t * 10 + k])
                last_bad = k + 1;
        sum += last_bad * slot_ms;
    }
    return moves == 0 ? 0 : sum / moves;
}

run_result run(const policy& used, int seconds, double burst_seconds,
               std::uint64_t seed, double overload)
{
    quota_fleet fleet(instances, limits(burst_seconds), used.settings, seed);
    // The buckets fill first.
    fleet.run_until(fleet.now + std::chrono::seconds(5));
    for (auto& it : fleet.nodes)
        it.messages = it.bytes = 0;
    const auto start = fleet.now;
    for (std::size_t c = 0; c < rates.size(); ++c)
        schedule(fleet, c, rates[c] * (c == 1 ? overload : 0.95), seconds,
                 seed);
    fleet.run_until(start + std::chrono::seconds(seconds + 1));
    run_result result;
    std::vector<std::vector<time_point>> arrivals(rates.size());
    std::vector<double> refused(rates.size());
    std::vector<double> waits;
    double all_refused = 0;
    for (const auto& it : fleet.records)
    {
        arrivals[it.customer].push_back(it.at);
        refused[it.customer] += it.admitted ? 0 : 1;
        all_refused += it.admitted ? 0 : 1;
        if (it.admitted)
            waits.push_back(seconds_between(it.at, it.decided) * 1000);
    }
    for (std::size_t c = 0; c < rates.size(); ++c)
    {
        result.refused.push_back(refused[c] /
                                 static_cast<double>(arrivals[c].size()));
        result.ideal.push_back(
            central_refusals(arrivals[c], fleet.customers[c], start));
        result.worst_window =
            std::max(result.worst_window, fleet.window_usage_of(c));
    }
    result.total_refused =
        all_refused / static_cast<double>(fleet.records.size());
    for (const auto& it : fleet.nodes)
    {
        result.messages +=
            static_cast<double>(it.messages) / (seconds + 1.0) / instances;
        result.bytes +=
            static_cast<double>(it.bytes) / (seconds + 1.0) / instances;
    }
    result.waited_p99 = percentile(waits, 0.99);
    result.follow_ms = follow_time(fleet, start, seconds);
    return result;
}

void print(const char* name, std::uint64_t seed, const run_result& it)
{
    std::printf("%-16s seed %llu refused %6.3f%% window %.3f msgs/s %6.1f "
                "bytes/s %7.0f wait p99 %5.1f ms follow %5.0f ms |",
                name, static_cast<unsigned long long>(seed),
                it.total_refused * 100, it.worst_window, it.messages, it.bytes,
                it.waited_p99, it.follow_ms);
    for (std::size_t c = 0; c < it.refused.size(); ++c)
        std::printf(" %.2f(%.2f)", it.refused[c] * 100, it.ideal[c] * 100);
    std::printf("\n");
    std::fflush(stdout);
}

void measure(int seeds, int seconds, double burst_seconds, double overload)
{
    std::printf("customer 1 at %.2f of its rate, others at 0.95; per customer: "
                "refused%% (central bucket%%)\n",
                overload);
    for (const auto& used : policies())
    {
        run_result mean;
        double worst = 0;
        for (int seed = 1; seed <= seeds; ++seed)
        {
            const auto it = run(used, seconds, burst_seconds, seed, overload);
            print(used.name, seed, it);
            mean.total_refused += it.total_refused / seeds;
            mean.worst_window = std::max(mean.worst_window, it.worst_window);
            mean.messages += it.messages / seeds;
            mean.bytes += it.bytes / seeds;
            mean.follow_ms += it.follow_ms / seeds;
            mean.waited_p99 += it.waited_p99 / seeds;
            mean.refused.resize(rates.size());
            mean.ideal.resize(rates.size());
            for (std::size_t c = 0; c < rates.size(); ++c)
            {
                mean.refused[c] += it.refused[c] / seeds;
                mean.ideal[c] += it.ideal[c] / seeds;
            }
            for (std::size_t c = 0; c < rates.size(); ++c)
                if (c != 1)
                    worst = std::max(worst, it.refused[c]);
        }
        print(used.name, 0, mean);
        std::printf("%-16s worst-served other customer in any seed: %.3f%%\n",
                    used.name, worst * 100);
    }
}

void measure_cpu()
{
    quota_fleet fleet(instances, limits(1), {}, 1);
    for (std::size_t c = 0; c < rates.size(); ++c)
        schedule(fleet, c, rates[c] * 0.95, 9, 1);
    fleet.run_until(fleet.now + std::chrono::seconds(8));
    auto& state = fleet.nodes[0].state;
    using clock_type = std::chrono::steady_clock;
    constexpr int rounds = 200'000;
    auto begin = clock_type::now();
    for (int i = 0; i < rounds; ++i)
        admit(state, fleet.id_of(i % rates.size()),
              fleet.now + std::chrono::microseconds(i));
    const double per_admit =
        seconds_between(begin, clock_type::now()) * 1e9 / rounds;
    constexpr int ticks = 2'000;
    begin = clock_type::now();
    for (int i = 0; i < ticks; ++i)
        tick(state,
             fleet.now + milliseconds(200) + std::chrono::microseconds(i));
    const double per_tick =
        seconds_between(begin, clock_type::now()) * 1e6 / ticks;
    std::printf("CPU per admit %.0f ns, per tick %.1f us\n", per_admit,
                per_tick);
}

} // namespace

int main(int argc, char** argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 8;
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 60;
    const double burst_seconds = argc > 3 ? std::atof(argv[3]) : 1;
    measure(seeds, seconds, burst_seconds, 0.95);
    measure(seeds, seconds, burst_seconds, 4);
    measure_cpu();
    return 0;
}
