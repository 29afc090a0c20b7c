// Measures group commit of claims over 10 instances against one store write
// per claim and per finish: store writes and bytes per second and the latency
// that claims add, in simulated time; then CPU and memory per claim.
// Usage: bench_claims [simulated seconds] [store writes per second]

#include "support/claims_cluster.hpp"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <queue>

using namespace parsleyplank;
using namespace parsleyplank::test;
using namespace parsleyplank::claims;

namespace
{

constexpr std::size_t instances = 10;
constexpr std::uint32_t buckets = 64;
constexpr std::size_t response_bytes = 200;

struct load
{
    double orders_per_s = 0;
    std::chrono::microseconds store_latency{0};
    milliseconds peer_latency{0};
    std::size_t segment_bytes = 0;
};

struct figures
{
    double writes_per_s = 0;
    double bytes_per_s = 0;
    std::size_t refused = 0;
    double cpu_us = 0;
    std::vector<double> latency_ms;
};

double quantile(const std::vector<double>& sorted, double q)
{
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(
                                q * static_cast<double>(sorted.size() - 1))];
}

void print(const load& l, const char* name, figures f)
{
    std::ranges::sort(f.latency_ms);
    std::printf(
        "%6.0f %4.0f %4zu %-6s %8.1f %9.3f %7.1f %7.1f %7.1f %8zu %6zu",
        l.orders_per_s, static_cast<double>(2 * l.store_latency.count()) / 1e3,
        l.segment_bytes / 1024, name, f.writes_per_s, f.bytes_per_s / 1e6,
        quantile(f.latency_ms, 0.5), quantile(f.latency_ms, 0.99),
        quantile(f.latency_ms, 0.999), f.latency_ms.size(), f.refused);
    if (f.cpu_us > 0)
        std::printf(" %6.1f", f.cpu_us);
    std::printf("\n");
    std::fflush(stdout);
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

claim_entry make_entry(std::uint64_t n)
{
    claim_entry entry;
    entry.key = hash128(std::to_string(n));
    entry.body_hash = hash64("body");
    entry.attempt = {instance_id("doto-a-3"), incarnation(1'760'000'000'000),
                     n};
    entry.state = claim_state::completed;
    entry.time_ms = 1'760'000'000'000;
    entry.response = {201, false, std::string(response_bytes, 'x')};
    return entry;
}

// Fills the heads evenly from empty to full, as they are after a long time.
void fill_heads(claims_cluster& cluster, std::size_t segment_bytes)
{
    const auto per_entry = packed_size(make_entry(1'000'000));
    std::uint64_t next = 1'000'000;
    for (std::uint32_t b = 0; b < buckets; ++b)
    {
        bucket_head head;
        const auto n = segment_bytes * b / buckets / per_entry;
        while (head.current.entries.size() < n)
            head.current.entries.push_back(make_entry(next++));
        cluster.store.current[head_key(b)] = {encode_head(head),
                                              ++cluster.store.last_revision};
    }
}

cluster_settings settings_of(const load& l, double store_writes)
{
    cluster_settings settings;
    settings.instances = instances;
    settings.buckets = buckets;
    settings.peer_latency = l.peer_latency;
    settings.store_latency = l.store_latency;
    settings.store_write_time =
        std::chrono::microseconds(static_cast<int>(1e6 / store_writes));
    settings.response_size = response_bytes;
    settings.tick = milliseconds(10);
    settings.writer.segment_bytes = l.segment_bytes;
    return settings;
}

figures run_group_commit(const load& l, int seconds, double store_writes)
{
    claims_cluster cluster(settings_of(l, store_writes));
    fill_heads(cluster, l.segment_bytes);
    std::vector<std::uint32_t> all(buckets);
    for (std::uint32_t b = 0; b < buckets; ++b)
        all[b] = b;
    for (auto& it : cluster.nodes)
    {
        std::vector<std::uint32_t> mine;
        std::ranges::copy_if(all, std::back_inserter(mine),
                             [&](std::uint32_t b)
                             { return *writer_of(b, cluster.ids) == it.id; });
        assign(it.writer, mine);
    }
    cluster.run_for(milliseconds(3'000));
    std::exponential_distribution<> gap(l.orders_per_s);
    std::mt19937_64 random(1);
    const auto end = cluster.now + std::chrono::seconds(seconds);
    const double cpu = cpu_seconds();
    const auto writes = cluster.store.writes;
    double wait_ms = 0;
    while (cluster.now < end)
    {
        wait_ms += gap(random) * 1e3;
        const auto whole = static_cast<int>(wait_ms);
        cluster.run_for(milliseconds(whole));
        wait_ms -= whole;
        cluster.submit(random() % instances,
                       std::to_string(cluster.requests.size()), "body");
    }
    figures f;
    f.writes_per_s =
        static_cast<double>(cluster.store.writes - writes) / seconds;
    for (const auto& it : cluster.nodes)
        f.bytes_per_s +=
            static_cast<double>(it.writer.counters.written_bytes) / seconds;
    cluster.run_for(milliseconds(5'000));
    f.cpu_us = (cpu_seconds() - cpu) * 1e6 /
               static_cast<double>(cluster.requests.size());
    for (const auto& it : cluster.requests)
        if (it.outcome == run_outcome::result)
            f.latency_ms.push_back(
                std::chrono::duration<double, std::milli>(
                    it.answered_at - it.sent - cluster.settings.backend_time)
                    .count());
        else
            ++f.refused;
    if (const auto text = cluster.violation(); !text.empty())
        std::printf("violation: %s\n", text.c_str());
    return f;
}

// One key per claim: written at the claim and again at the finish, directly
// from the receiving instance. The store handles writes one after the other; a
// claim that would wait for more than claim_wait is refused.
figures run_single_writes(const load& l, int seconds, double store_writes)
{
    const double rtt = 2e-6 * static_cast<double>(l.store_latency.count());
    const double service = 1 / store_writes;
    std::mt19937_64 random(1);
    std::exponential_distribution<> gap(l.orders_per_s);
    std::priority_queue<double, std::vector<double>, std::greater<>> finishes;
    figures f;
    double free_at = 0;
    double writes = 0;
    const auto write = [&](double at)
    {
        free_at = std::max(free_at, at) + service;
        ++writes;
        return free_at - at + rtt;
    };
    for (double now = gap(random); now < seconds; now += gap(random))
    {
        for (; !finishes.empty() && finishes.top() <= now; finishes.pop())
            write(finishes.top());
        if (free_at - now > 2)
        {
            ++f.refused;
            continue;
        }
        const double wait = write(now);
        f.latency_ms.push_back(wait * 1e3);
        finishes.push(now + wait + 0.02);
    }
    f.writes_per_s = writes / std::max<double>(seconds, free_at);
    f.bytes_per_s =
        f.writes_per_s * static_cast<double>(packed_size(make_entry(1)));
    return f;
}

void measure_commit(int seconds, double store_writes)
{
    std::printf("%d s simulated, %zu instances, %u buckets, %.0f store "
                "writes/s, responses of %zu B, entry %zu B\n",
                seconds, instances, buckets, store_writes, response_bytes,
                packed_size(make_entry(1'000'000)));
    std::printf("orders  RTT  seg mode   writes/s      MB/s  p50 ms  p99 ms "
                "p999 ms  results not-run CPU us\n");
    for (const bool remote : {false, true})
        for (const double rate : {10.0, 100.0, 1'000.0})
        {
            load l{rate, std::chrono::microseconds(remote ? 30'000 : 1'500),
                   milliseconds(remote ? 28 : 1), 0};
            print(l, "single", run_single_writes(l, seconds, store_writes));
            for (const std::size_t kib : {32, 256})
            {
                l.segment_bytes = kib * 1024;
                print(l, "group", run_group_commit(l, seconds, store_writes));
            }
        }
}

// CPU of the writer alone, one bucket, batches of claims and their finishes.
void measure_cpu(std::size_t batch, std::size_t segment_bytes)
{
    writer_settings settings;
    settings.segment_bytes = segment_bytes;
    settings.write_rate = settings.write_burst = 1e9;
    settings.finish_delay = milliseconds(0);
    auto writer = make_writer(settings);
    claims_store store;
    time_point now{std::chrono::hours(1)};
    constexpr std::uint64_t total = 20'000;
    const auto run = [&]
    {
        for (int n = 0; n < 6; ++n)
        {
            const auto actions =
                advance(writer, now, wall_time(now.time_since_epoch()));
            for (const auto& call : actions.calls)
                receive(writer, apply(store, call, false), now);
        }
    };
    const double cpu = cpu_seconds();
    for (std::uint64_t n = 0; n < total;)
    {
        std::vector<claim_entry> entries;
        for (std::size_t i = 0; i < batch; ++i)
            entries.push_back(make_entry(++n));
        for (const auto& it : entries)
            receive(writer, claim_request{it.attempt, 0, it.key, it.body_hash},
                    now);
        run();
        for (const auto& it : entries)
            receive(writer,
                    claim_finish{it.attempt, 0, it.key, it.state, it.response},
                    now);
        run();
        now += milliseconds(100);
    }
    std::printf("batch %4zu segment %3zu KiB: %.1f us per claim and finish "
                "(store included)\n",
                batch, segment_bytes / 1024,
                (cpu_seconds() - cpu) * 1e6 / total);
}

void measure_memory(std::size_t n, std::size_t response)
{
    const auto before = mallinfo2().uordblks;
    bucket b;
    segment seg;
    for (std::size_t i = 0; i < n; ++i)
    {
        seg.entries.push_back(make_entry(i));
        seg.entries.back().response.body.resize(response);
        seg.entries.back().response.body.shrink_to_fit();
    }
    const auto packed = encode_sealed(seg).size();
    add_sealed(b, seg);
    seg = {};
    const auto after = mallinfo2().uordblks;
    std::printf("sealed claim with a response of %zu B: %.0f B in memory, "
                "%.0f B in the store\n",
                response,
                static_cast<double>(after - before) / static_cast<double>(n),
                static_cast<double>(packed) / static_cast<double>(n));
}

} // namespace

int main(int argc, char** argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 60;
    const double store_writes = argc > 2 ? std::atof(argv[2]) : 400;
    if (seconds <= 0 || store_writes <= 0)
    {
        std::fprintf(stderr, "usage: bench_claims [simulated seconds] [store "
                             "writes per second]\n");
        return 2;
    }
    measure_commit(seconds, store_writes);
    for (const std::size_t batch : {1, 10, 100})
        for (const std::size_t kib : {32, 256})
            measure_cpu(batch, kib * 1024);
    for (const std::size_t response : {0, 200})
        measure_memory(3'000, response);
    return 0;
}
