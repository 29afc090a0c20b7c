#include <parsleyplank/steering/server_load.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::steering
{

namespace
{

double decay(time_point since, milliseconds half_life, time_point now)
{
    const std::chrono::duration<double> age = now - since;
    const std::chrono::duration<double> half = half_life;
    return age.count() <= 0 ? 1 : std::exp2(-age.count() / half.count());
}

void eject(server_load& load, const health_options& options, time_point now)
{
    constexpr std::uint32_t max_doublings = 8;
    const auto length = options.first_ejection *
                        (1U << std::min(load.ejections, max_doublings));
    load.ejected_until =
        now + std::min<milliseconds>(length, options.max_ejection);
    ++load.ejections;
}

} // namespace

double failure_level(const server_load& load, const health_options& options,
                     time_point now)
{
    return load.failure_level *
           decay(load.failure_at, options.failure_half_life, now);
}

bool record_result(server_load& load, request_result result,
                   const health_options& options, time_point now)
{
    if (result == request_result::neutral)
        return false;
    const double sample = result == request_result::bad ? 1 : 0;
    load.failure_level = failure_level(load, options, now);
    load.failure_level +=
        (sample - load.failure_level) * options.failure_weight;
    load.failure_at = now;
    if (result == request_result::good)
    {
        if (load.failure_level < options.ejection_level / 2)
            load.ejections = 0;
        return false;
    }
    // Shortly after an ejection one more failure ejects the server again.
    const bool returned = load.ejections > 0 && now >= load.ejected_until &&
                          now - load.ejected_until < options.max_ejection;
    if (now < load.ejected_until ||
        (load.failure_level < options.ejection_level && !returned))
        return false;
    eject(load, options, now);
    return true;
}

void record_report(server_load& load, const reported_load& report,
                   time_point now)
{
    const auto own = static_cast<double>(load.in_flight.size());
    load.others = std::max(0.0, report.running + report.waiting - own);
    load.reported_at = now;
}

double region_load_per_slot(const region_load& region,
                            const health_options& options, time_point now)
{
    if (region.weight <= 0)
        return 0;
    return region.sum / region.weight *
           decay(region.at, options.region_load_half_life, now);
}

void record_region_load(region_load& region, double others_per_slot,
                        const health_options& options, time_point now)
{
    const auto kept = decay(region.at, options.report_half_life, now);
    region.sum = region.sum * kept + others_per_slot;
    region.weight = region.weight * kept + 1;
    region.at = now;
}

double load_of(const server_load& load, double average_others,
               const health_options& options, time_point now)
{
    const auto known = decay(load.reported_at, options.report_half_life, now);
    return static_cast<double>(load.in_flight.size()) + load.others * known +
           average_others * (1 - known);
}

double slowness_of(const server_load& load, const health_options& options,
                   time_point now)
{
    return 1 + (load.slowness - 1) *
                   decay(load.slowness_at, options.slowness_half_life, now);
}

void record_object(server_load& load, std::uint64_t object,
                   milliseconds retention, time_point now)
{
    // Bounds the memory use; expired objects are erased when the table is full.
    constexpr std::size_t max_objects = 512;
    if (load.objects.size() >= max_objects)
        std::erase_if(load.objects, [&](const auto& it)
                      { return now - it.second > retention; });
    if (load.objects.size() < max_objects || load.objects.contains(object))
        load.objects[object] = now;
}

std::optional<milliseconds>
time_since_served(const server_load& load, std::uint64_t object, time_point now)
{
    const auto it = load.objects.find(object);
    if (it == load.objects.end())
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - it->second);
}

bool served_recently(const server_load& load, std::uint64_t object,
                     milliseconds retention, time_point now)
{
    const auto gap = time_since_served(load, object, now);
    return gap && *gap <= retention;
}

milliseconds unresponsive_time(const health_options& options,
                               milliseconds expected)
{
    return std::max(options.min_unresponsive_time,
                    std::chrono::ceil<milliseconds>(
                        expected * options.unresponsive_factor));
}

bool is_unresponsive(const server_load& load, const health_options& options,
                     time_point now)
{
    return std::ranges::any_of(load.in_flight,
                               [&](const auto& it)
                               {
                                   const auto& [sent, expected] = it.second;
                                   return load.last_received < sent &&
                                          now - sent > unresponsive_time(
                                                           options, expected);
                               });
}

bool is_ejected(const server_load& load, const health_options& options,
                time_point now)
{
    return now < load.ejected_until || is_unresponsive(load, options, now);
}

} // namespace parsleyplank::steering
