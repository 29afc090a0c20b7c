// Claim writer: one instance that writes its buckets, in simulated time, with a
// store that answers within one interval of 10 ms.

#include "measure.hpp"
#include "support/claims_store.hpp"
#include <parsleyplank/claims/bucket_writer.hpp>

#include <random>

namespace parsleyplank::capacity
{

namespace
{

using namespace parsleyplank::claims;

constexpr milliseconds interval{10};
constexpr int seconds = 20;
constexpr std::size_t response_bytes = 200;

struct pending_finish
{
    time_point due;
    claim_finish message;
};

class run
{
public:
    explicit run(std::uint32_t buckets) : buckets(buckets)
    {
        writer = make_writer({});
        std::vector<std::uint32_t> all(buckets);
        for (std::uint32_t b = 0; b < buckets; ++b)
            all[b] = b;
        assign(writer, all);
        for (int n = 0; n < 100; ++n)
            step(0);
    }

    // Runs one interval with this number of new claims.
    void step(std::size_t arrivals)
    {
        now += interval;
        const double begin = cpu_us();
        for (std::size_t i = 0; i < arrivals; ++i)
            claim();
        for (; !finishes.empty() && finishes.front().due <= now;
             finishes.pop_front())
            receive(writer, finishes.front().message, now);
        const auto actions =
            advance(writer, now, wall_time(now.time_since_epoch()));
        cpu += cpu_us() - begin;
        for (const auto& call : actions.calls)
        {
            const auto outcome = test::apply(store, call, false);
            const double taking = cpu_us();
            receive(writer, outcome, now);
            cpu += cpu_us() - taking;
        }
        for (const auto& it : actions.messages)
            granted += static_cast<std::uint64_t>(
                std::ranges::count(it.second.replies, claim_outcome::granted,
                                   &claim_reply::outcome));
    }

    std::uint32_t buckets;
    bucket_writer writer;
    test::claims_store store;
    time_point now{std::chrono::hours(1)};
    std::deque<pending_finish> finishes;
    std::uint64_t number = 0;
    std::uint64_t granted = 0;
    double cpu = 0;

private:
    void claim()
    {
        const attempt_id attempt{instance_id("entry-region-a-7"),
                                 incarnation(1'760'000'000'000), ++number};
        const auto key = hash128(std::to_string(number));
        const auto bucket = bucket_of(key, buckets);
        receive(writer, claim_request{attempt, bucket, key, 1}, now);
        finishes.push_back({now + milliseconds(200),
                            {attempt,
                             bucket,
                             key,
                             claim_state::completed,
                             {201, false, std::string(response_bytes, 'x')}}});
    }
};

void measure(std::uint32_t buckets, double rate)
{
    const double before = heap_bytes();
    run r(buckets);
    r.cpu = 0;
    const auto writes = r.writer.counters.writes;
    const auto bytes = r.writer.counters.written_bytes;
    std::mt19937_64 random(1);
    std::poisson_distribution<std::size_t> arrivals(rate * 0.01);
    for (int n = 0; n < seconds * 100; ++n)
        r.step(arrivals(random));
    const double written =
        static_cast<double>(r.writer.counters.writes - writes);
    const double moved =
        static_cast<double>(r.writer.counters.written_bytes - bytes);
    r.store = {};
    r.finishes = {};
    std::printf("%7u %8.0f %9.1f %10.1f %10.1f %11.1f %9.0f %8llu\n", buckets,
                rate, written / seconds, moved / seconds / 1e3,
                r.cpu / static_cast<double>(r.number), r.cpu / seconds / 1e4,
                (heap_bytes() - before) / static_cast<double>(r.number),
                static_cast<unsigned long long>(r.number - r.granted));
}

} // namespace

void measure_claims()
{
    std::printf("claim writer: %d s simulated; CPU of the writer without store "
                "and transport; not_granted of all\n",
                seconds);
    std::printf("buckets claims/s  writes/s       kB/s us_per_clm CPU_%%_core "
                " B/claim not_granted\n");
    for (const std::uint32_t buckets : {1, 7, 64})
        for (const double rate : {10.0, 100.0, 1'000.0})
            measure(buckets, rate);
}

} // namespace parsleyplank::capacity
