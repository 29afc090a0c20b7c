#include <parsleyplank/edge/server_capacity_state.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

const steering::service_capacity& capacity_of(const traffic_state& state,
                                              const service_id& service)
{
    static const steering::service_capacity unknown;
    const auto it = state.capacities.find(service);
    return it == state.capacities.end() ? unknown : it->second;
}

double slots_of(const steering::backend_server& server)
{
    return static_cast<double>(std::max(1U, server.slots));
}

steering::capacity_sample make_sample(const served_request& served,
                                      double time_ratio)
{
    const auto& report = *served.report;
    const auto slots =
        report.slots > 0 ? report.slots : slots_of(served.server);
    // Requests that waited when this one was sent may have gone by now.
    const auto waiting =
        std::max(report.waiting, served.rank.queue_factor * slots);
    return {report.running, waiting, slots, time_ratio};
}

std::chrono::microseconds at_typical_pace(const steering::server_load& load,
                                          std::chrono::microseconds latency,
                                          double pace)
{
    using fraction = std::chrono::duration<double, std::micro>;
    const auto trip =
        load.round_trip.value_or(std::chrono::microseconds::zero());
    return trip + std::chrono::duration_cast<std::chrono::microseconds>(
                      fraction(latency - trip) / pace);
}

// Updates the limits with a response for an object that was warm.
std::optional<limit_change> learn_limit(traffic_state& state,
                                        const served_request& served,
                                        steering::service_times& times,
                                        double work_ms, time_point now)
{
    const auto& options = state.options.capacity;
    auto& capacity = state.loads[served.server.id].capacity;
    auto sample = make_sample(served, 1);
    times.unloaded_ms = steering::update_unloaded_ms(
        times.unloaded_ms, work_ms,
        steering::is_low_load(capacity, sample, options, now));
    sample.time_ratio = work_ms / std::max(1.0, times.unloaded_ms);
    const auto before = limit_of(state, served.server, now);
    const auto after = steering::record_sample(
        capacity, state.capacities[served.server.service], sample, options,
        now);
    if (!after)
        return std::nullopt;
    return limit_change{before, *after, sample.time_ratio};
}

} // namespace

double limit_of(const traffic_state& state,
                const steering::backend_server& server, time_point now)
{
    static const steering::server_load unknown;
    const auto it = state.loads.find(server.id);
    const auto& load = it == state.loads.end() ? unknown : it->second;
    return steering::limit_of(load.capacity, capacity_of(state, server.service),
                              slots_of(server), state.options.capacity, now);
}

void add_capacity(const traffic_state& state, steering::candidate& server,
                  time_point now)
{
    server.limit = limit_of(state, *server.server, now);
    server.pace = steering::relative_pace(server.load->capacity.pace,
                                          state.options.capacity, now);
}

milliseconds retention_of(const traffic_state& state, const service_id& service)
{
    return steering::retention_of(capacity_of(state, service),
                                  state.options.health.object_retention);
}

learned_response learn_from_response(traffic_state& state,
                                     const served_request& served,
                                     time_point now)
{
    const auto& options = state.options;
    const auto& service = served.server.service;
    auto& load = state.loads[served.server.id];
    auto& times = times_of(state, served.route, service);
    const auto gap = steering::time_since_served(load, served.object, now);
    learned_response learned;
    learned.known_warm = gap && *gap <= retention_of(state, service);
    const auto own_ms = times.warm_ms * (1 + served.rank.queue_factor) *
                        steering::slowness_of(load, options.health, now);
    const auto time_ratio =
        steering::work_ms(load, served.latency) / std::max(1.0, own_ms);
    if (learned.known_warm && !served.cold)
        steering::check_pace(load.capacity.pace, time_ratio, options.capacity);
    learned.latency = at_typical_pace(
        load, served.latency,
        steering::shown_pace(
            steering::relative_pace(load.capacity.pace, options.capacity, now),
            time_ratio));
    if (served.cold)
        return learned;
    if (gap && served.report && served.report->pace)
        steering::record_retention(
            state.capacities[service], *gap,
            steering::is_warm_latency(times, load, served.rank, learned.latency,
                                      options.ranking, options.health, now),
            options.health.object_retention, options.capacity);
    if (learned.known_warm && served.report)
        learned.change =
            learn_limit(state, served, times,
                        steering::work_ms(load, learned.latency), now);
    steering::record_latency(times, load, served.rank, learned.latency,
                             options.ranking, options.health, now);
    return learned;
}

} // namespace parsleyplank::edge
