// Compares the latency of ways to choose a backend server when one of 14 is
// slow, in simulated time with a fixed seed: 10 instances, 4 slots per server,
// Poisson arrivals, exponential service times with a mean of 10 ms (100 ms on
// the slow server), load reports that are up to 1 s old.

#include <parsleyplank/placement/server_choice.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::placement;

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr int server_count = 14;
constexpr int slots = 4;
constexpr int instance_count = 10;
constexpr double service_time = 0.010; // seconds
constexpr double report_interval = 1;  // seconds
constexpr double duration = 120;       // simulated seconds

struct request
{
    double arrival = 0;
    int instance = 0;
    int server = 0;
};

struct sim_server
{
    double mean = service_time;
    int busy = 0;
    std::deque<request> waiting;
    double reported = 0;
};

struct event
{
    double time = 0;
    request ended;

    bool operator>(const event& other) const
    {
        return time > other.time;
    }
};

struct simulation
{
    std::mt19937_64 rng{42};
    std::vector<sim_server> servers{server_count};
    std::priority_queue<event, std::vector<event>, std::greater<>> ends;
    std::vector<double> latencies;
    int refused = 0;
};

// Chooses a server for an instance; below 0 for none.
using chooser = std::function<int(simulation&, int instance, double now)>;
using observer = std::function<void(const request&, double now)>;

void begin(simulation& sim, const request& it, double now)
{
    auto& server = sim.servers[it.server];
    ++server.busy;
    std::exponential_distribution<double> time(1 / server.mean);
    sim.ends.push({now + time(sim.rng), it});
}

void finish(simulation& sim, const event& it, const observer& observe)
{
    auto& server = sim.servers[it.ended.server];
    --server.busy;
    sim.latencies.push_back(it.time - it.ended.arrival);
    observe(it.ended, it.time);
    if (server.waiting.empty())
        return;
    const auto next = server.waiting.front();
    server.waiting.pop_front();
    begin(sim, next, it.time);
}

void arrive(simulation& sim, const chooser& choose, double now)
{
    request it{now, static_cast<int>(sim.rng() % instance_count), 0};
    it.server = choose(sim, it.instance, now);
    if (it.server < 0)
    {
        ++sim.refused;
        return;
    }
    auto& server = sim.servers[it.server];
    if (server.busy < slots)
        begin(sim, it, now);
    else
        server.waiting.push_back(it);
}

void report_loads(simulation& sim)
{
    for (auto& it : sim.servers)
        it.reported = double(it.busy + int(it.waiting.size())) / slots;
}

void run(const std::string& name, double load, const chooser& choose,
         const observer& observe)
{
    simulation sim;
    sim.servers[3].mean = 10 * service_time;
    const double rate = load * server_count * slots / service_time;
    std::exponential_distribution<double> gap(rate);
    double next = 0;
    double report = 0;
    while (next < duration)
    {
        while (!sim.ends.empty() && sim.ends.top().time <= next)
        {
            const auto it = sim.ends.top();
            sim.ends.pop();
            finish(sim, it, observe);
        }
        if (next >= report)
        {
            report_loads(sim);
            report += report_interval;
        }
        arrive(sim, choose, next);
        next += gap(sim.rng);
    }
    auto& all = sim.latencies;
    std::ranges::sort(all);
    const auto at = [&](double part)
    {
        return 1e3 *
               all[static_cast<std::size_t>(part * double(all.size() - 1))];
    };
    std::cout << name << ": load " << load << " served " << all.size()
              << " refused " << sim.refused << " p50 " << at(0.5) << " ms p99 "
              << at(0.99) << " ms p99.9 " << at(0.999) << " ms" << std::endl;
}

time_point to_time(double now)
{
    return time_point(std::chrono::hours(1)) +
           std::chrono::duration_cast<time_point::duration>(
               seconds_double(now));
}

std::vector<backend_server_id> make_ids()
{
    std::vector<backend_server_id> ids;
    ids.reserve(server_count);
    for (int n = 0; n < server_count; ++n)
        ids.emplace_back(std::to_string(n));
    return ids;
}

void run_round_robin(double load)
{
    std::vector<int> last(instance_count, 0);
    run(
        "round robin", load,
        [&](simulation&, int instance, double)
        { return last[instance] = (last[instance] + 1) % server_count; },
        [](const request&, double) {});
}

void run_least_reported(double load)
{
    run(
        "least reported load", load,
        [](simulation& sim, int, double)
        {
            const auto it = std::ranges::min_element(sim.servers, {},
                                                     &sim_server::reported);
            return static_cast<int>(it - sim.servers.begin());
        },
        [](const request&, double) {});
}

void run_server_choice(double load)
{
    std::vector<server_pool> pools(instance_count);
    const auto ids = make_ids();
    for (int n = 0; n < instance_count; ++n)
    {
        pools[n].options.slots_per_server = slots;
        const auto subset = choose_subset(
            instance_id("entry-" + std::to_string(n)), upstream_id("katalog"),
            ids, 330, instance_count, slots);
        set_members(pools[n], subset, to_time(0));
    }
    run(
        "server_choice", load,
        [&](simulation& sim, int instance, double now)
        {
            auto& pool = pools[instance];
            for (const auto& id : ids)
                record_report(pool, id,
                              sim.servers[std::stoi(id.value)].reported,
                              to_time(now));
            const auto* id = choose_server(
                pool, [](const backend_server_id&) { return true; },
                to_time(now), sim.rng);
            return id == nullptr ? -1 : std::stoi(id->value);
        },
        [&](const request& it, double now)
        {
            const auto latency =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    seconds_double(now - it.arrival));
            finish_request(pools[it.instance], ids[it.server], latency,
                           to_time(now));
        });
}

} // namespace

int main()
{
    for (const double load : {0.3, 0.5, 0.7})
    {
        run_round_robin(load);
        run_least_reported(load);
        run_server_choice(load);
    }
    return 0;
}
