// Rollouts: a report of an instance, and the judgement of the leader.

#include "measure.hpp"
#include <parsleyplank/entry/rollout_agent.hpp>
#include <parsleyplank/peer/message.hpp>

#include <random>

namespace parsleyplank::capacity
{

namespace
{

constexpr std::uint64_t requests_per_second = 1'000;
const time_point start{std::chrono::hours(1)};
const rollout::rollout_order order{upstream_id("desk"), version_id("1"),
                                   version_id("2"), epoch(7)};

void serve(rollout::counts_by_route& counts, std::size_t routes,
           std::mt19937_64& random)
{
    std::exponential_distribution<> latency(1.0 / 20'000);
    for (std::uint64_t i = 0; i < requests_per_second; ++i)
        rollout::record(counts,
                        route_id("route-" + std::to_string(random() % routes)),
                        {random() % 2 == 0, random() % 1'000 == 0, true,
                         std::chrono::microseconds(
                             static_cast<std::int64_t>(latency(random)))});
}

void measure(std::size_t routes, std::size_t instances)
{
    std::mt19937_64 random(1);
    const double before = heap_bytes();
    rollout::rollout_state state;
    rollout::take_record(state, rollout::start_record(order, {}, 0), start);
    for (int second = 0; second < 60; ++second)
        serve(state.own_counts, routes, random);
    for (std::size_t i = 0; i < instances; ++i)
        state.reports[instance_name(i)] = state.own_counts;
    // The windows fill.
    auto now = start;
    const auto step = [&](double& own, double& fleet)
    {
        now += std::chrono::seconds(1);
        serve(state.own_counts, routes, random);
        for (auto& it : state.reports)
            ++it.second.begin()->second.old_version.succeeded;
        double begin = cpu_us();
        rollout::check_own_counts(state, {}, now);
        own += cpu_us() - begin;
        begin = cpu_us();
        keep(rollout::next_record(state, true, {}, now, 0));
        fleet += cpu_us() - begin;
    };
    double own = 0;
    double fleet = 0;
    for (int i = 0; i < 30; ++i)
        step(own, fleet);
    own = fleet = 0;
    int steps = 0;
    for (; steps < 5 || (steps < 60 && own + fleet < 200'000); ++steps)
        step(own, fleet);
    const double memory = heap_bytes() - before;
    const auto encode = [&]
    {
        return peer::encode_envelope(
            {instance_name(0), incarnation(1'760'000'000'000), 100'000,
             peer::message_kind::rollout_report,
             pack_value(entry::rollout_report{order, state.own_counts})});
    };
    const auto bytes = encode();
    const double encoding =
        cpu_us_of([&](std::size_t) { keep(encode()); }, 50'000);
    const double decoding = cpu_us_of(
        [&](std::size_t)
        {
            const auto message = peer::decode_envelope(bytes, "peer");
            keep(unpack_value<entry::rollout_report>(message.body, "peer"));
        },
        50'000);
    std::printf("%6zu %9zu %9zu %10.1f %10.1f %11.1f %12.1f %9.2f\n", routes,
                instances, bytes.size(), encoding, decoding, own / steps,
                fleet / steps, memory / 1e6);
}

} // namespace

void measure_rollout()
{
    std::printf("rollout: one upstream, each second; CPU us; heap MB of the "
                "leader\n");
    std::printf("routes instances  report_B  encode_us  decode_us   judge_own "
                " judge_fleet   heap_MB\n");
    for (const std::size_t routes : {2, 20, 200})
        for (const std::size_t instances : {9, 24, 95})
            measure(routes, instances);
    measure(2, 2'299);
    measure(20, 2'299);
}

} // namespace parsleyplank::capacity
