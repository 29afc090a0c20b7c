#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/steering/server_ranking.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <vector>

namespace parsleyplank::steering
{

namespace
{

// Makes the position of an object independent of its rendezvous order.
constexpr std::uint64_t position_seed = 0x9e3779b97f4a7c15;

double to_ms(std::chrono::microseconds span)
{
    return static_cast<double>(span.count()) / 1'000;
}

milliseconds from_ms(double ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

// Rank of a server that does not serve the object.
constexpr auto no_rank = std::numeric_limits<std::size_t>::max();

// Returns the rank of each usable candidate in the object's rendezvous order
// within its group; in other regions only within the overflow region. Without
// an affinity key all ranks are 0.
std::vector<std::size_t> order_servers(std::span<const candidate> candidates,
                                       std::span<const std::size_t> usable,
                                       const object_affinity& object)
{
    std::vector<std::size_t> ranks(candidates.size(),
                                   object.key.empty() ? 0 : no_rank);
    if (object.key.empty())
        return ranks;
    std::map<std::string_view,
             std::vector<std::pair<std::uint64_t, std::size_t>>>
        groups;
    for (const auto i : usable)
    {
        const auto& server = *candidates[i].server;
        if (candidates[i].proximity == distance::other_region &&
            server.region != object.overflow_region)
            continue;
        const std::string_view group = object.group == object_group::region
                                           ? server.region.value
                                           : server.domain.value;
        groups[group].emplace_back(
            ~rendezvous_weight(object.key, server.id.value), i);
    }
    for (auto& [group, order] : groups)
    {
        std::ranges::sort(order);
        for (std::size_t rank = 0; rank < order.size(); ++rank)
            ranks[order[rank].second] = rank;
    }
    return ranks;
}

// Returns the indices of the candidates that are not ejected, or all of them if
// all are ejected.
std::vector<std::size_t> find_usable(std::span<const candidate> candidates,
                                     const health_options& health,
                                     time_point now)
{
    std::vector<std::size_t> usable(candidates.size());
    std::iota(usable.begin(), usable.end(), std::size_t(0));
    std::vector<std::size_t> kept;
    std::ranges::copy_if(
        usable, std::back_inserter(kept),
        [&](std::size_t i)
        { return !is_ejected(*candidates[i].load, health, now); });
    return kept.empty() ? usable : kept;
}

// Returns the number of requests that the server takes well at a time.
double usable_slots(const candidate& it)
{
    return it.limit > 0 ? it.limit
                        : static_cast<double>(std::max(1U, it.server->slots));
}

// Returns whether the server has enough free slots to warm up for an object
// without delaying its other requests.
bool can_warm_object(const candidate& it, const ranking_options& options,
                     const health_options& health, time_point now)
{
    return load_of(*it.load, it.average_others, health, now) + 1 <=
           std::max(1.0, usable_slots(it) * options.warming_load);
}

// Returns the server with the lowest rank among those of similar cost to the
// cheapest.
const ranked_server* choose_cold(std::span<const ranked_server> cold,
                                 std::span<const std::size_t> ranks,
                                 const ranking_options& options)
{
    if (cold.empty())
        return nullptr;
    const auto max_cost =
        std::ranges::min_element(cold, {}, &ranked_server::cost_ms)->cost_ms *
        options.similar_cost_factor;
    const ranked_server* first = nullptr;
    for (const auto& it : cold)
        if (it.cost_ms <= max_cost &&
            (first == nullptr || ranks[it.position] < ranks[first->position]))
            first = &it;
    return first;
}

double round_trip_ms(const candidate& it, const ranking_options& options)
{
    if (it.load->round_trip)
        return to_ms(*it.load->round_trip);
    return it.proximity == distance::other_region
               ? to_ms(options.remote_round_trip)
               : to_ms(options.region_round_trip);
}

double crossing_ms(const candidate& it, double kilobytes,
                   const ranking_options& options)
{
    if (it.proximity == distance::same_domain)
        return 0;
    auto per_kb = to_ms(options.domain_crossing_per_kb);
    if (it.proximity == distance::other_region)
        per_kb += to_ms(options.region_crossing_per_kb);
    return kilobytes * per_kb;
}

// Returns the service time of a cold request relative to a warm one.
double cold_factor_of(const service_times& times,
                      const ranking_options& options)
{
    return times.cold_factor > 0 ? times.cold_factor
                                 : options.cold_object_factor;
}

ranked_server estimate_cost(const candidate& it, bool warm,
                            const service_times& times,
                            const ranking_options& options,
                            const health_options& health, time_point now)
{
    const auto factor = cold_factor_of(times, options);
    const auto slowness = slowness_of(*it.load, health, now) * it.pace;
    double work = times.warm_ms * slowness * (warm ? 1 : factor);
    if (it.cold)
        work *= options.cold_server_factor;
    const auto slots = usable_slots(it);
    const auto ahead =
        load_of(*it.load, it.average_others, health, now) + 1 - slots;
    const auto queue = std::max(0.0, ahead / slots);
    const auto waiting = queue * times.mean_ms * slowness;
    const auto expected = round_trip_ms(it, options) + work + waiting;
    const auto risk = failure_level(*it.load, health, now);
    return {0,
            from_ms(expected),
            from_ms(waiting),
            warm,
            queue,
            expected + crossing_ms(it, times.kilobytes, options) +
                risk * options.failure_cost * times.warm_ms,
            slots,
            it.pace};
}

} // namespace

region_id choose_overflow_region(std::string_view key,
                                 std::span<const region_surplus> regions)
{
    // Weighted rendezvous hashing: the highest log(u) / weight wins.
    region_id best;
    double best_score = 0;
    for (const auto& it : regions)
    {
        if (it.slots <= 0)
            continue;
        const auto u = hash_fraction(rendezvous_weight(key, it.region.value));
        const auto score = std::log(u) / it.slots;
        if (best.value.empty() || score > best_score)
        {
            best = it.region;
            best_score = score;
        }
    }
    return best;
}

double object_position(std::string_view key)
{
    return hash_fraction(hash64(key, position_seed));
}

std::uint64_t object_hash(const route_id& route, std::string_view key)
{
    return hash64(key, hash64(route.value));
}

service_times initial_times(milliseconds target_latency)
{
    // Starts at half of the objective: a service with a longer service time
    // would often miss it.
    const auto half = static_cast<double>(target_latency.count()) / 2;
    service_times times;
    times.warm_ms = half;
    times.mean_ms = half;
    return times;
}

std::optional<ranked_server>
choose_server(std::span<const candidate> candidates,
              const object_affinity& object, const service_times& times,
              const ranking_options& options, const health_options& health,
              bool free_slots_only, time_point now)
{
    const auto usable = find_usable(candidates, health, now);
    const auto ranks = order_servers(candidates, usable, object);
    std::optional<ranked_server> best;
    std::vector<ranked_server> cold;
    for (const auto i : usable)
    {
        const auto& it = candidates[i];
        const bool warm = ranks[i] < options.copies || it.served_recently;
        auto ranked = estimate_cost(it, warm, times, options, health, now);
        ranked.position = i;
        if (free_slots_only && ranked.queue_factor > 0)
            continue;
        if (!warm)
        {
            if (can_warm_object(it, options, health, now))
                cold.push_back(ranked);
        }
        else if (!best || ranked.cost_ms < best->cost_ms)
            best = ranked;
    }
    const auto* spare = choose_cold(cold, ranks, options);
    if (spare != nullptr && (!best || spare->cost_ms < best->cost_ms))
        best = *spare;
    return best;
}

bool is_slow_response(const service_times& times, const ranked_server& server,
                      bool known_warm, std::chrono::microseconds latency,
                      const ranking_options& options)
{
    constexpr double us_per_ms = 1'000;
    const auto usual = times.warm_ms * (1 + server.queue_factor) *
                       (known_warm ? 1 : cold_factor_of(times, options));
    return static_cast<double>(latency.count()) / us_per_ms >
           usual * options.slow_factor;
}

double work_ms(const server_load& load, std::chrono::microseconds latency)
{
    const auto trip =
        load.round_trip.value_or(std::chrono::microseconds::zero());
    return std::max(1.0, to_ms(latency - trip));
}

bool is_warm_latency(const service_times& times, const server_load& load,
                     const ranked_server& chosen,
                     std::chrono::microseconds latency,
                     const ranking_options& options,
                     const health_options& health, time_point now)
{
    const auto usual = times.warm_ms * slowness_of(load, health, now) *
                       (1 + chosen.queue_factor);
    return work_ms(load, latency) <=
           usual * std::sqrt(cold_factor_of(times, options));
}

void record_latency(service_times& times, server_load& load,
                    const ranked_server& chosen,
                    std::chrono::microseconds latency,
                    const ranking_options& options,
                    const health_options& health, time_point now)
{
    load.slowness = slowness_of(load, health, now);
    load.slowness_at = now;
    const auto work = work_ms(load, latency) / (1 + chosen.queue_factor);
    const auto weight = options.sample_weight;
    times.mean_ms += (work / load.slowness - times.mean_ms) * weight;
    if (chosen.warm)
    {
        constexpr double min_slowness = 0.3;
        constexpr double max_slowness = 20;
        const auto usual = std::max(1.0, times.warm_ms);
        load.slowness =
            std::clamp(load.slowness * (work > usual * load.slowness
                                            ? options.server_quantile_up
                                            : options.server_quantile_down),
                       min_slowness, max_slowness);
        // Divides by the slowness, so that a slow server does not make all
        // others appear fast.
        times.warm_ms *= work / load.slowness > times.warm_ms
                             ? options.quantile_up
                             : options.quantile_down;
        return;
    }
    constexpr double max_factor = 10;
    const auto factor = std::clamp(
        work / std::max(1.0, times.warm_ms * load.slowness), 1.0, max_factor);
    const auto known = cold_factor_of(times, options);
    times.cold_factor = known + (factor - known) * weight;
}

void record_size(service_times& times, std::size_t bytes,
                 const ranking_options& options)
{
    constexpr double bytes_per_kilobyte = 1'000;
    const auto kilobytes = static_cast<double>(bytes) / bytes_per_kilobyte;
    times.kilobytes += (kilobytes - times.kilobytes) * options.sample_weight;
}

} // namespace parsleyplank::steering
