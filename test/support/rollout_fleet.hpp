#ifndef PARSLEYPLANK_TEST_SUPPORT_ROLLOUT_FLEET_HPP
#define PARSLEYPLANK_TEST_SUPPORT_ROLLOUT_FLEET_HPP

// Simulates a few instances that send requests of two routes to an old and a
// new version of an upstream. They exchange counts and aborts, and change one
// stored record by compare-and-swap.

#include <parsleyplank/rollout/rollout.hpp>

#include <support/manual_clock.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace parsleyplank::test
{

inline const rollout::rollout_order sample_order{
    upstream_id("katalog"), version_id("1"), version_id("2"), epoch(4)};

// Failure probability and mean latency of a version.
struct version_behaviour
{
    double fail_rate = 0;
    double mean_ms = 20;
};

struct rollout_fleet
{
    // Returns the behaviour of the new version for a route, the time since the
    // start and its share (0 to 1).
    using new_behaviour =
        std::function<version_behaviour(const route_id&, milliseconds, double)>;

    manual_clock time;
    std::mt19937_64 rng;
    std::vector<rollout::rollout_state> instances;
    rollout::rollout_record stored;
    bool store_down = false;
    bool aborts_lost = false;
    version_behaviour old_version{0.01, 20};
    int requests_per_second = 40;
    std::uint64_t new_requests = 0;
    std::uint64_t new_failures = 0;

    rollout_fleet(std::size_t n, std::uint64_t seed,
                  const rollout::rollout_plan& plan)
        : rng(seed), instances(n),
          stored(rollout::start_record(sample_order, plan, 0))
    {
        for (auto& s : instances)
        {
            s.plan = plan;
            rollout::take_record(s, stored, time.now());
        }
    }

    void send_request(rollout::rollout_state& s, milliseconds since,
                      const new_behaviour& behaviour)
    {
        const double share = rollout::share_in_use(s).value / 1e6;
        const bool is_new = std::bernoulli_distribution(share)(rng);
        const route_id route(std::bernoulli_distribution(0.2)(rng) ? "write"
                                                                   : "read");
        const auto b = is_new ? behaviour(route, since, share) : old_version;
        const bool failed = std::bernoulli_distribution(b.fail_rate)(rng);
        const double ms =
            std::lognormal_distribution<>(0, 0.7)(rng) * b.mean_ms;
        rollout::record(
            s.own_counts, route,
            {is_new, failed, true,
             std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000))});
        new_requests += is_new ? 1 : 0;
        new_failures += is_new && failed ? 1 : 0;
    }

    void write(const rollout::rollout_record& next)
    {
        if (!store_down && next.number == stored.number + 1)
            stored = next;
    }

    // Simulates one second: requests, the checks of own counts, aborts, reports
    // to the leader and changes of the record.
    void step(milliseconds since, std::size_t leader,
              const new_behaviour& behaviour)
    {
        time.advance(milliseconds(1'000));
        for (auto& s : instances)
        {
            for (int i = 0; i < requests_per_second; ++i)
                send_request(s, since, behaviour);
            if (rollout::check_own_counts(s, {}, time.now()) && !aborts_lost)
                for (auto& peer : instances)
                    rollout::abort_rollout(peer, *s.abort_reason);
        }
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (i != leader)
                instances[leader].reports[instance_id(std::to_string(i))] =
                    instances[i].own_counts;
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (const auto next = rollout::next_record(
                    instances[i], i == leader, {}, time.now(), since.count()))
                write(*next);
        if (!store_down)
            for (auto& s : instances)
                rollout::take_record(s, stored, time.now());
    }

    // Runs until the rollout ends or the given time is over. Returns the
    // elapsed seconds.
    int run(int seconds, const new_behaviour& behaviour)
    {
        for (int t = 1; t <= seconds; ++t)
        {
            step(milliseconds(t * 1'000), 0, behaviour);
            if (stored.state != rollout::phase::running)
                return t;
        }
        return seconds;
    }
};

} // namespace parsleyplank::test

#endif
