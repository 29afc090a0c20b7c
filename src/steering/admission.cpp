#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/steering/admission.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace parsleyplank::steering
{

namespace
{

std::uint8_t clamp_priority(priority_rank priority)
{
    return static_cast<std::uint8_t>(
        std::min<priority_rank>(priority, UINT8_MAX));
}

// Returns the index of the first rank that is not before the given one.
std::size_t index_of(std::span<const request_rank> ranks,
                     const request_rank& rank)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(ranks, rank) -
                                    ranks.begin());
}

double all_admitted(const service_admission& service)
{
    return static_cast<double>(service.ranks.size());
}

admission_counts operator+(const admission_counts& a, const admission_counts& b)
{
    // Instances with few requests have few reports of the load.
    const auto arrived = a.arrived + b.arrived;
    const auto use =
        arrived > 0 ? (a.use * a.arrived + b.use * b.arrived) / arrived : 0;
    return {arrived, a.admitted + b.admitted, a.unmet + b.unmet, use};
}

// Returns the part of all requests that is admitted.
double part_of_all(const admission_counts& counts)
{
    return counts.arrived <= 0
               ? 1
               : std::clamp(counts.admitted / counts.arrived, 0.0, 1.0);
}

double admitted_sum(std::span<const double> demand, double position,
                    double floor)
{
    double sum = 0;
    for (std::size_t i = 0; i < demand.size(); ++i)
        sum += demand[i] *
               std::max(floor, std::clamp(position - static_cast<double>(i),
                                          0.0, 1.0));
    return sum;
}

// Returns the part by which the admitted requests of the region change.
double find_change(const admission_counts& region,
                   const admission_options& options)
{
    // Requests find no room at a busy server while others are free, and faulty
    // servers refuse requests. Both are no lack of room of the service.
    if (region.admitted <= 0 || region.use <= 0)
        return 1 + options.max_rise;
    if (region.use < options.target_use)
        return 1 + std::clamp(options.target_use / region.use - 1,
                              options.min_rise, options.max_rise);
    const auto unmet = region.unmet / region.admitted;
    if (unmet > options.fall_threshold && region.use >= options.full_use)
        return 1 - std::min(unmet, options.max_fall);
    const bool rises =
        unmet < options.rise_threshold || region.use < options.full_use;
    return rises ? 1 + options.min_rise : 1;
}

// Ends the counts of a step. Those of a step that was much too long, because
// the process was paused, say nothing about the present.
void end_step(service_admission& service, double use,
              std::chrono::duration<double> span)
{
    constexpr std::chrono::duration<double> max_span{10};
    if (span <= max_span)
        service.rates = {service.counted.arrived / span.count(),
                         service.counted.admitted / span.count(),
                         service.counted.unmet / span.count(), use};
    service.counted = {};
}

} // namespace

void record_limit(usual_limit& limit, milliseconds left)
{
    // Equal steps up and down converge to the median.
    constexpr double step = 1.03;
    const auto ms = static_cast<double>(left.count());
    if (limit.ms <= 0)
        limit.ms = std::max(1.0, ms);
    else if (ms > limit.ms)
        limit.ms = std::min(ms, limit.ms * step);
    else
        limit.ms = std::max({1.0, ms, limit.ms / step});
}

double age_of(const usual_limit& limit, milliseconds left)
{
    if (limit.ms <= 0)
        return 0;
    return std::clamp(1 - static_cast<double>(left.count()) / limit.ms, 0.0,
                      1.0);
}

request_rank make_rank(priority_rank customer, priority_rank route)
{
    return {clamp_priority(customer), clamp_priority(route)};
}

std::string to_string(const request_rank& rank)
{
    return std::to_string(rank.customer) + "." + std::to_string(rank.route);
}

std::vector<request_rank> find_ranks(const traffic_config& config,
                                     const service_id& service)
{
    std::vector<priority_rank> customers;
    for (const auto& it : config.customers)
        customers.push_back(it.priority);
    std::ranges::sort(customers);
    customers.erase(std::unique(customers.begin(), customers.end()),
                    customers.end());
    std::vector<request_rank> ranks;
    for (const auto& route : config.routes)
    {
        if (std::ranges::none_of(
                route.services, [&](const weighted_service& it)
                { return it.service == service && it.weight > 0; }))
            continue;
        // An open route serves callers that are no customer.
        if (route.open || customers.empty())
            ranks.push_back(make_rank(0, route.priority));
        else
            for (const auto customer : customers)
                ranks.push_back(make_rank(customer, route.priority));
    }
    std::ranges::sort(ranks);
    ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    return ranks;
}

double level_position(std::span<const request_rank> ranks,
                      const admission_level& level)
{
    const auto i = index_of(ranks, level.boundary);
    const bool known = i < ranks.size() && ranks[i] == level.boundary;
    return static_cast<double>(i) +
           (known ? std::clamp(level.part, 0.0, 1.0) : 0.0);
}

admission_level level_at(std::span<const request_rank> ranks, double position)
{
    const auto i = static_cast<std::size_t>(std::max(0.0, position));
    if (i >= ranks.size())
        return {};
    return {ranks[i], std::clamp(position - static_cast<double>(i), 0.0, 1.0)};
}

double admitted_part(double position, std::size_t index, double part_of_all,
                     const admission_options& options)
{
    return std::max(std::clamp(position - static_cast<double>(index), 0.0, 1.0),
                    options.floor * part_of_all);
}

double find_position(std::span<const double> demand, double wanted,
                     const admission_options& options)
{
    const auto all = std::accumulate(demand.begin(), demand.end(), 0.0);
    const auto end = static_cast<double>(demand.size());
    if (wanted >= all || all <= 0)
        return end;
    const auto floor = options.floor * wanted / all;
    // The admitted sum rises with the position, which is found by bisection.
    double low = 0;
    double high = end;
    constexpr int max_rounds = 30;
    for (int round = 0; round < max_rounds; ++round)
    {
        const auto middle = (low + high) / 2;
        if (admitted_sum(demand, middle, floor) < wanted)
            low = middle;
        else
            high = middle;
    }
    return high;
}

double place_in_rank(std::string_view subject, double age, std::int64_t unix_ms,
                     const admission_options& options)
{
    const auto turn =
        static_cast<std::uint64_t>(unix_ms / options.rotation.count());
    return hash_fraction(hash64(subject, turn)) *
           (1 - std::clamp(age / options.full_age, 0.0, 1.0));
}

void set_ranks(service_admission& service, std::vector<request_rank> ranks)
{
    if (service.ranks == ranks)
        return;
    const auto move = [&](double position)
    {
        const bool all = position >= all_admitted(service);
        return all ? static_cast<double>(ranks.size())
                   : level_position(ranks, level_at(service.ranks, position));
    };
    service.proposed = move(service.proposed);
    service.in_force = move(service.in_force);
    service.arrived.assign(ranks.size(), {});
    service.ranks = std::move(ranks);
}

bool admit_request(service_admission& service, const request_rank& rank,
                   double place, const admission_options& options,
                   time_point now)
{
    const auto i =
        std::min(index_of(service.ranks, rank),
                 service.ranks.empty() ? 0 : service.ranks.size() - 1);
    if (service.ranks.empty())
        return true;
    count_demand(service.arrived[i]);
    ++service.counted.arrived;
    service.last_request = now;
    const auto part =
        admitted_part(service.in_force, i, part_of_all(service.rates), options);
    const bool admitted = part >= 1 || place < part;
    if (admitted)
        ++service.counted.admitted;
    return admitted;
}

bool has_level(const service_admission& service)
{
    return service.in_force < all_admitted(service);
}

void count_unmet(service_admission& service, time_point now)
{
    ++service.counted.unmet;
    service.last_unmet = now;
}

bool is_overloaded(const service_admission& service,
                   std::span<const peer_admission> peers,
                   const admission_options& options, time_point now)
{
    const bool unmet = service.last_unmet != time_point{} &&
                       now - service.last_unmet <= options.overload_time;
    return unmet || has_level(service) ||
           std::ranges::any_of(peers,
                               [&](const peer_admission& it)
                               {
                                   return it.counts.unmet > 0 ||
                                          level_position(service.ranks,
                                                         it.level) <
                                              all_admitted(service);
                               });
}

std::optional<level_change>
step_admission(service_admission& service,
               std::span<const peer_admission> peers, double use,
               milliseconds step, const admission_options& options,
               time_point now)
{
    if (service.stepped == time_point{})
        service.stepped = now;
    const auto span = now - service.stepped;
    if (span < std::max(step, options.min_step))
        return std::nullopt;
    service.stepped = now;
    end_step(service, use, span);
    std::vector<double> demand;
    for (auto& it : service.arrived)
        demand.push_back(measure_demand(it, options.demand_half_life, now));
    auto region = service.rates;
    for (const auto& it : peers)
        region = region + it.counts;
    // A region without demand forgets its level.
    auto position = all_admitted(service);
    if (region.arrived > 0 && is_overloaded(service, peers, options, now))
    {
        const auto wanted = part_of_all(region) * find_change(region, options);
        const auto own = std::accumulate(demand.begin(), demand.end(), 0.0);
        service.proposed = own > 0
                               ? find_position(demand, wanted * own, options)
                               : service.in_force;
        // Instances without requests have no view of their own.
        auto weight = service.rates.arrived;
        auto sum = service.proposed * weight;
        for (const auto& it : peers)
        {
            sum += level_position(service.ranks, it.level) * it.counts.arrived;
            weight += it.counts.arrived;
        }
        if (weight > 0)
            position = std::min(position, sum / weight);
    }
    else
        service.proposed = position;
    // Ends the approach to the last rank, which the average never reaches.
    constexpr double close = 0.02;
    if (position > all_admitted(service) - close)
        position = all_admitted(service);
    if (std::exchange(service.in_force, position) == position)
        return std::nullopt;
    return level_change{level_at(service.ranks, position), region};
}

} // namespace parsleyplank::steering
