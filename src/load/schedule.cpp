#include <parsleyplank/load/schedule.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>

namespace parsleyplank::load
{

namespace
{

microseconds to_microseconds(double seconds)
{
    return microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

const skew_phase& phase_at(const customer_load& customer, double at_s)
{
    const double t =
        customer.period_s > 0 ? std::fmod(at_s, customer.period_s) : at_s;
    const auto it =
        std::ranges::upper_bound(customer.phases, t, {}, &skew_phase::from_s);
    return it == customer.phases.begin() ? *it : *std::prev(it);
}

std::size_t pick(const std::vector<double>& weights, std::mt19937_64& random)
{
    return std::discrete_distribution<std::size_t>(weights.begin(),
                                                   weights.end())(random);
}

std::vector<arrival> requests_of(const scenario& s, std::size_t n)
{
    const auto& customer = s.customers[n];
    std::seed_seq seeds{static_cast<std::uint32_t>(s.seed),
                        static_cast<std::uint32_t>(s.seed >> 32),
                        static_cast<std::uint32_t>(n)};
    std::mt19937_64 random(seeds);
    std::exponential_distribution<double> gap(customer.rate_per_s);
    std::uniform_real_distribution<double> part(0, 1);
    std::vector<double> mix;
    std::ranges::transform(s.routes, std::back_inserter(mix),
                           &route_load::weight);
    std::vector<arrival> list;
    std::uint64_t number = 0;
    for (double t = gap(random); t < s.duration_s; t += gap(random))
    {
        arrival a{to_microseconds(t), n};
        a.region = pick(phase_at(customer, t).weights, random);
        a.route = pick(mix, random);
        a.number = ++number;
        list.push_back(a);
        const auto& route = s.routes[a.route];
        if (part(random) >= route.repeat_probability)
            continue;
        a.at += route.repeat_after;
        a.repeat = true;
        list.push_back(a);
    }
    std::ranges::stable_sort(list, {}, &arrival::at);
    return list;
}

void mark_within_rate(const scenario& s, const customer_load& customer,
                      std::vector<arrival>& list)
{
    if (customer.rate_limit_per_s <= 0)
        return;
    auto bucket = quota::empty_bucket(token_rate{customer.rate_limit_per_s},
                                      tokens{customer.burst}, time_point{});
    bucket.level = tokens{customer.burst};
    std::ranges::for_each(list,
                          [&](arrival& a)
                          {
                              a.limited = !s.routes[a.route].open;
                              a.within_rate =
                                  a.limited && quota::take(bucket, tokens{1},
                                                           time_point(a.at));
                          });
}

} // namespace

std::vector<arrival> make_schedule(const scenario& s)
{
    std::vector<arrival> all;
    for (std::size_t n = 0; n < s.customers.size(); ++n)
    {
        auto list = requests_of(s, n);
        mark_within_rate(s, s.customers[n], list);
        all.insert(all.end(), list.begin(), list.end());
    }
    std::ranges::stable_sort(all, {}, &arrival::at);
    return all;
}

} // namespace parsleyplank::load
