#include <parsleyplank/load/tally.hpp>

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <numeric>
#include <sstream>
#include <tuple>

namespace parsleyplank::load
{

namespace
{

double to_ms(microseconds t)
{
    return static_cast<double>(t.count()) / 1'000;
}

double quantile_ms(const tally& t, double q)
{
    return to_ms(quantile(t.latency, q));
}

std::uint64_t sum(const std::map<std::string, std::uint64_t>& counts)
{
    return std::transform_reduce(counts.begin(), counts.end(), std::uint64_t{0},
                                 std::plus<>(),
                                 [](const auto& item) { return item.second; });
}

tally sum(const std::vector<tally>& list)
{
    tally all;
    std::ranges::for_each(list, [&](const tally& t) { merge(all, t); });
    return all;
}

double served_part(const tally& t)
{
    const auto part = [](std::uint64_t n, std::uint64_t all)
    {
        return static_cast<double>(n) / static_cast<double>(all);
    };
    return t.within_rate > 0
               ? std::min(1.0, part(t.limited_results, t.within_rate))
               : part(t.results, t.sent);
}

nlohmann::json to_json(const tally& t)
{
    return {{"sent", t.sent},
            {"result", t.results},
            {"not_run", t.not_run},
            {"unknown", t.unknown},
            {"unknown_by_reason", t.unknown_by_reason},
            {"within_rate", t.within_rate},
            {"refused_within_rate", t.refused_within_rate},
            {"admission_shortfall", admission_shortfall(t)},
            {"scheduled_repeats", t.scheduled_repeats},
            {"replayed", t.replayed},
            {"cut_off_attempts", t.cut_off_attempts},
            {"further_attempts", t.further_attempts},
            {"latency_ms",
             {{"p50", quantile_ms(t, 0.5)},
              {"p90", quantile_ms(t, 0.9)},
              {"p99", quantile_ms(t, 0.99)},
              {"p99_9", quantile_ms(t, 0.999)},
              {"max", to_ms(t.latency.largest)}}}};
}

void write_line(std::ostream& out, const std::string& customer,
                const std::string& route, const tally& t)
{
    out << std::left << std::setw(20) << customer << std::setw(16) << route
        << std::right << std::setw(8) << t.sent << std::setw(8) << t.results
        << std::setw(8) << sum(t.not_run) << std::setw(8) << t.unknown
        << std::setw(9) << t.refused_within_rate << std::setw(8) << t.replayed;
    out << std::fixed << std::setprecision(1);
    constexpr std::array quantiles{0.5, 0.9, 0.99, 0.999};
    std::ranges::for_each(quantiles, [&](double q)
                          { out << std::setw(9) << quantile_ms(t, q); });
    out << std::setw(9) << to_ms(t.latency.largest) << '\n';
}

} // namespace

void add(tally& to, const arrival& request, const completion& end)
{
    const bool served = end.outcome == run_outcome::result;
    ++to.sent;
    to.scheduled_repeats += request.repeat ? 1 : 0;
    to.within_rate += request.within_rate ? 1 : 0;
    to.limited += request.limited ? 1 : 0;
    to.limited_results += request.limited && served ? 1 : 0;
    to.cut_off_attempts += end.cut_off_attempts;
    to.further_attempts += end.further_attempts;
    if (served)
    {
        ++to.results;
        to.replayed += end.replayed ? 1 : 0;
        record(to.latency, end.latency);
    }
    else if (end.outcome == run_outcome::not_run)
    {
        ++to.not_run[end.reason];
        const bool by_rate =
            end.reason == to_string(refusal_reason::customer_rate);
        to.refused_within_rate += request.within_rate && by_rate ? 1 : 0;
    }
    else
    {
        ++to.unknown;
        ++to.unknown_by_reason[end.reason];
    }
}

void merge(tally& to, const tally& other)
{
    to.sent += other.sent;
    to.results += other.results;
    to.unknown += other.unknown;
    to.replayed += other.replayed;
    to.scheduled_repeats += other.scheduled_repeats;
    to.within_rate += other.within_rate;
    to.refused_within_rate += other.refused_within_rate;
    to.limited += other.limited;
    to.limited_results += other.limited_results;
    to.cut_off_attempts += other.cut_off_attempts;
    to.further_attempts += other.further_attempts;
    const auto add_to = [](auto& counts)
    {
        return [&counts](const auto& item)
        {
            counts[item.first] += item.second;
        };
    };
    std::ranges::for_each(other.not_run, add_to(to.not_run));
    std::ranges::for_each(other.unknown_by_reason,
                          add_to(to.unknown_by_reason));
    merge(to.latency, other.latency);
}

std::uint64_t admission_shortfall(const tally& t)
{
    const auto it =
        t.not_run.find(std::string(to_string(refusal_reason::customer_rate)));
    const auto admitted = t.limited - (it == t.not_run.end() ? 0 : it->second);
    return t.within_rate > admitted ? t.within_rate - admitted : 0;
}

run_results make_results(const scenario& s)
{
    run_results results;
    results.scenario = s.name;
    results.seed = s.seed;
    results.duration_s = s.duration_s;
    std::ranges::transform(s.customers, std::back_inserter(results.customers),
                           &customer_load::id);
    std::ranges::transform(s.routes, std::back_inserter(results.routes),
                           &route_load::id);
    results.counts.resize(s.customers.size(),
                          std::vector<tally>(s.routes.size()));
    return results;
}

std::string worst_served(const run_results& results)
{
    std::string worst;
    std::tuple<double, double> rank{2, 0};
    for (std::size_t n = 0; n < results.counts.size(); ++n)
    {
        const auto all = sum(results.counts[n]);
        if (all.sent == 0)
            continue;
        const std::tuple<double, double> r{served_part(all),
                                           -quantile_ms(all, 0.99)};
        if (r >= rank)
            continue;
        rank = r;
        worst = results.customers[n];
    }
    return worst;
}

nlohmann::json to_json(const run_results& results)
{
    tally total;
    std::uint64_t shortfall = 0;
    nlohmann::json customers = nlohmann::json::array();
    for (std::size_t n = 0; n < results.counts.size(); ++n)
    {
        const auto all = sum(results.counts[n]);
        merge(total, all);
        shortfall += admission_shortfall(all);
        auto entry = to_json(all);
        entry["id"] = results.customers[n];
        for (std::size_t r = 0; r < results.routes.size(); ++r)
        {
            auto route = to_json(results.counts[n][r]);
            // The rate holds for the customer, not for a route.
            route.erase("admission_shortfall");
            entry["routes"][results.routes[r]] = std::move(route);
        }
        customers.push_back(std::move(entry));
    }
    auto all = to_json(total);
    // A customer that got more does not make up for one that got less.
    all["admission_shortfall"] = shortfall;
    return {{"scenario", results.scenario},
            {"seed", results.seed},
            {"duration_s", results.duration_s},
            {"machine_load", results.machine_load},
            {"largest_start_delay_ms", to_ms(results.largest_start_delay)},
            {"faults_failed", results.faults_failed},
            {"worst_served", worst_served(results)},
            {"total", std::move(all)},
            {"customers", std::move(customers)}};
}

std::string to_table(const run_results& results)
{
    std::ostringstream out;
    out << "customer            route               sent  result not-run "
           "unknown in-rate- replay   p50 ms   p90 ms   p99 ms p99.9 ms   "
           "max ms\n"
        << std::setw(77) << "refused" << '\n';
    tally total;
    std::uint64_t shortfall = 0;
    for (std::size_t n = 0; n < results.counts.size(); ++n)
    {
        for (std::size_t r = 0; r < results.routes.size(); ++r)
            write_line(out, results.customers[n], results.routes[r],
                       results.counts[n][r]);
        const auto all = sum(results.counts[n]);
        shortfall += admission_shortfall(all);
        merge(total, all);
    }
    write_line(out, "total", "", total);
    std::ranges::for_each(
        total.not_run, [&](const auto& item)
        { out << "not run, " << item.first << ": " << item.second << '\n'; });
    out << "worst served: " << worst_served(results)
        << "; attempts cut off: " << total.cut_off_attempts
        << "; admissions below the reference: " << shortfall
        << "; further attempts: " << total.further_attempts
        << "; repeats: " << total.scheduled_repeats
        << "; largest start delay: " << to_ms(results.largest_start_delay)
        << " ms; machine load " << results.machine_load[0] << " to "
        << results.machine_load[1] << '\n';
    return out.str();
}

} // namespace parsleyplank::load
