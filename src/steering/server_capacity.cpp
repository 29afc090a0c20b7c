#include <parsleyplank/steering/server_capacity.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::steering
{

namespace
{

// Bounds the effect of a single report or response.
constexpr double max_ratio = 10;

double decay(time_point since, milliseconds half_life, time_point now)
{
    const std::chrono::duration<double> age = now - since;
    const std::chrono::duration<double> half = half_life;
    return age.count() <= 0 ? 1 : std::exp2(-age.count() / half.count());
}

// Returns the limit with its part and samples decayed to the current time.
learned_limit decayed(const learned_limit& limit,
                      const capacity_options& options, time_point now)
{
    const auto kept = decay(limit.at, options.limit_half_life, now);
    return {1 - (1 - limit.part) * kept, limit.samples * kept,
            limit.slow_part * kept, now};
}

double speed_of(const server_capacity& capacity,
                const capacity_options& options, time_point now)
{
    return 1 + (capacity.speed_factor - 1) *
                   decay(capacity.speed_at, options.speed_half_life, now);
}

// Moves the limit by one response. It grows only while it is used, one request
// at a time, so that a limit is always tested at its edge.
void move_limit(learned_limit& limit, const capacity_sample& sample, bool slow,
                const capacity_options& options, time_point now)
{
    const auto slots = std::max(1.0, sample.slots);
    limit = decayed(limit, options, now);
    const auto requests = std::max(1.0, limit.part * slots);
    ++limit.samples;
    limit.slow_part +=
        ((slow ? 1 : 0) - limit.slow_part) * options.slow_part_weight;
    const auto up =
        std::max(options.increase, requests * options.relative_increase);
    const auto down =
        std::max(options.decrease, requests * options.relative_decrease);
    const bool too_slow = limit.slow_part > options.max_slow_part;
    double next = requests;
    if (slow && too_slow)
        next -= down;
    else if (!slow && !too_slow && sample.running + 1 >= requests)
        next += up;
    limit.part = std::clamp(next, 1.0, slots) / slots;
}

bool is_near_limit(const learned_limit& limit, const capacity_sample& sample)
{
    constexpr double informative_part = 0.5;
    return sample.running >=
           std::max(1.0, limit.part * sample.slots * informative_part);
}

} // namespace

void check_process(server_capacity& capacity, std::int64_t started_ms)
{
    if (capacity.started_ms == started_ms)
        return;
    capacity = {};
    capacity.started_ms = started_ms;
}

void record_pace(server_pace& pace, double reported,
                 const capacity_options& options, time_point now)
{
    const auto bounded = std::clamp(reported, 1 / max_ratio, max_ratio);
    pace.typical += (bounded - pace.typical) * options.typical_pace_weight;
    pace.reported = bounded;
    pace.reported_at = now;
}

double relative_pace(const server_pace& pace, const capacity_options& options,
                     time_point now)
{
    if (pace.reported <= 0)
        return 1;
    return 1 + (pace.reported / pace.typical - 1) * pace.trust *
                   decay(pace.reported_at, options.pace_half_life, now);
}

double shown_pace(double pace, double time_ratio)
{
    return std::clamp(time_ratio, std::min(1.0, pace), std::max(1.0, pace));
}

void check_pace(server_pace& pace, double time_ratio,
                const capacity_options& options)
{
    // Smaller differences can't be told from the spread of response times.
    constexpr double min_difference = 1.5;
    if (pace.reported <= 0)
        return;
    const auto claimed = pace.reported / pace.typical;
    if (claimed < min_difference && claimed > 1 / min_difference)
        return;
    const auto middle = std::sqrt(claimed);
    const bool agrees = (claimed > 1) == (time_ratio > middle);
    pace.trust += ((agrees ? 1 : 0) - pace.trust) * options.trust_weight;
}

double update_unloaded_ms(double unloaded_ms, double time_ms, bool low_load)
{
    // Steps towards the 30% quantile of the times at low load, as for
    // service_times::warm_ms. Of the times at higher load only those below
    // count: the others show the load.
    constexpr double up = 1.03;
    constexpr double down = 0.933;
    if (unloaded_ms <= 0)
        return time_ms;
    if (time_ms < unloaded_ms)
        return unloaded_ms * down;
    return low_load ? unloaded_ms * up : unloaded_ms;
}

bool is_low_load(const server_capacity& capacity, const capacity_sample& sample,
                 const capacity_options& options, time_point now)
{
    constexpr double low_part = 0.5;
    const auto part = decayed(capacity.limit, options, now).part;
    return sample.waiting < 1 &&
           sample.running <= std::max(1.0, part * sample.slots * low_part);
}

std::optional<double> record_sample(server_capacity& capacity,
                                    service_capacity& service,
                                    const capacity_sample& sample,
                                    const capacity_options& options,
                                    time_point now)
{
    if (sample.waiting >= 1)
        return std::nullopt;
    const auto slots = std::max(1.0, sample.slots);
    const auto before = limit_of(capacity, service, slots, options, now);
    const auto ratio = std::clamp(sample.time_ratio, 1 / max_ratio, max_ratio);
    auto speed = speed_of(capacity, options, now);
    if (is_low_load(capacity, sample, options, now))
    {
        speed *= ratio > speed ? options.speed_up : options.speed_down;
        capacity.speed_factor = std::clamp(speed, 1 / max_ratio, max_ratio);
        capacity.speed_at = now;
    }
    const auto queue = 1 + sample.waiting / slots;
    const bool slow = ratio / queue > speed * options.slow_ratio;
    if (is_near_limit(decayed(capacity.limit, options, now), sample))
        move_limit(capacity.limit, sample, slow, options, now);
    if (is_near_limit(decayed(service.limit, options, now), sample))
        move_limit(service.limit, sample, slow, options, now);
    const auto after = limit_of(capacity, service, slots, options, now);
    if (after == before)
        return std::nullopt;
    return after;
}

double limit_of(const server_capacity& capacity,
                const service_capacity& service, double slots,
                const capacity_options& options, time_point now)
{
    const auto own = decayed(capacity.limit, options, now);
    const auto shared = decayed(service.limit, options, now);
    const auto weight = own.samples / (own.samples + options.own_samples);
    const auto part = own.part * weight + shared.part * (1 - weight);
    const auto all = std::max(1.0, slots);
    return std::clamp(std::round(part * all), 1.0, all);
}

void record_retention(service_capacity& service, milliseconds gap, bool warm,
                      milliseconds initial, const capacity_options& options)
{
    const auto known =
        static_cast<double>(retention_of(service, initial).count());
    const auto ms = static_cast<double>(gap.count());
    auto next = known;
    // Only responses near the estimate show whether it is too short.
    if (warm && ms * 2 > known)
        next = std::max(known, ms) * options.retention_up;
    else if (!warm && ms < known)
        next = known * options.retention_down;
    service.retention_ms =
        std::clamp(next, static_cast<double>(options.min_retention.count()),
                   static_cast<double>(options.max_retention.count()));
}

milliseconds retention_of(const service_capacity& service, milliseconds initial)
{
    return service.retention_ms > 0
               ? milliseconds(static_cast<std::int64_t>(service.retention_ms))
               : initial;
}

} // namespace parsleyplank::steering
