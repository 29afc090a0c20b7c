#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/compare.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace parsleyplank::load
{

namespace
{

using json = nlohmann::json;

const std::map<std::string, json::json_pointer>& measure_places()
{
    static const std::map<std::string, json::json_pointer> places{
        {"p99_ms", json::json_pointer("/latency_ms/p99")},
        {"refused_within_rate", json::json_pointer("/refused_within_rate")},
        {"admission_shortfall", json::json_pointer("/admission_shortfall")},
        {"unknown", json::json_pointer("/unknown")}};
    return places;
}

double value_at(const json& entry, const std::string& measure)
{
    try
    {
        return entry.at(measure_places().at(measure)).get<double>();
    }
    catch (const json::exception& e)
    {
        throw codec_error(measure + " is missing: " + e.what());
    }
}

void add_differences(comparison& to, const std::string& name,
                     const json& before, const json& after)
{
    std::ranges::for_each(known_measures(),
                          [&](const std::string& measure)
                          {
                              const double a = value_at(before, measure);
                              const double b = value_at(after, measure);
                              if (a == b)
                                  return;
                              std::ostringstream line;
                              line << name << ": " << measure << " " << a
                                   << " to " << b;
                              if (a > 0)
                                  line << " (" << std::showpos
                                       << (b - a) / a * 100 << "%)";
                              to.lines.push_back(line.str());
                          });
}

std::map<std::string, json> customers_of(const json& results)
{
    std::map<std::string, json> customers;
    const auto& list = results.at("customers");
    std::ranges::for_each(list, [&](const json& c)
                          { customers[c.at("id").get<std::string>()] = c; });
    return customers;
}

void compare_customers(comparison& to, const json& before, const json& after)
{
    const auto old_ones = customers_of(before);
    const auto new_ones = customers_of(after);
    std::ranges::for_each(
        old_ones,
        [&](const auto& item)
        {
            const auto it = new_ones.find(item.first);
            if (it == new_ones.end())
                to.lines.push_back(item.first + ": only in the first run");
            else
                add_differences(to, item.first, item.second, it->second);
        });
    std::ranges::for_each(new_ones,
                          [&](const auto& item)
                          {
                              if (!old_ones.contains(item.first))
                                  to.lines.push_back(
                                      item.first + ": only in the second run");
                          });
}

} // namespace

const std::vector<std::string>& known_measures()
{
    static const std::vector<std::string> names{
        "p99_ms", "refused_within_rate", "admission_shortfall", "unknown"};
    return names;
}

comparison compare(const json& before, const json& after,
                   const std::vector<std::string>& measures,
                   double tolerance_percent)
{
    comparison result;
    try
    {
        for (const auto* key : {"scenario", "seed", "duration_s"})
            if (before.at(key) != after.at(key))
                result.lines.push_back(std::string("runs differ in ") + key +
                                       ": " + before.at(key).dump() + " and " +
                                       after.at(key).dump());
        const auto& a = before.at("total");
        const auto& b = after.at("total");
        add_differences(result, "total", a, b);
        compare_customers(result, before, after);
        std::ranges::copy_if(
            measures, std::back_inserter(result.worse),
            [&](const std::string& measure)
            {
                if (!measure_places().contains(measure))
                    throw error("unknown measure '" + measure + "'");
                return value_at(b, measure) >
                       value_at(a, measure) * (1 + tolerance_percent / 100);
            });
    }
    catch (const json::exception& e)
    {
        throw codec_error(std::string("not the results of a run: ") + e.what());
    }
    return result;
}

} // namespace parsleyplank::load
