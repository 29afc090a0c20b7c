#include <parsleyplank/config/toml_reader.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/scenario.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <numeric>
#include <sstream>

namespace parsleyplank::load
{

namespace
{

// Bounds of one run, so that a typing error does not keep a machine busy.
constexpr double most_seconds = 3'600;
constexpr double most_requests = 5'000'000;
constexpr std::int64_t most_body_bytes = 20'000'000;
constexpr std::int64_t most_ms = 600'000;

struct reading
{
    config::collected_files files;
    std::string file;
    std::filesystem::path folder;
    scenario result;
};

double bounded(config::table_reader& from, const std::string& key,
               const std::string& hint, double least, double most,
               std::optional<double> absent = {})
{
    const double value = from.number(key, hint, absent);
    // A value that is no number has been reported by the reader.
    if (std::isfinite(value) && value >= least && value <= most)
        return value;
    std::ostringstream text;
    text << key << " must be from " << least << " to " << most;
    from.report(key, text.str());
    return least;
}

std::string filled(config::table_reader& from, const std::string& key,
                   const std::string& hint)
{
    auto value = from.text(key, hint);
    if (value.empty())
        from.report(key, key + " must be a text that is not empty");
    return value;
}

// Characters above the visible ones of ASCII would change a request's head.
bool is_visible(const std::string& text)
{
    return std::ranges::all_of(text,
                               [](char c) { return c > ' ' && c <= '~'; });
}

std::string visible(config::table_reader& from, const std::string& key,
                    const std::string& hint)
{
    auto value = filled(from, key, hint);
    if (!is_visible(value))
        from.report(key, key + " must have visible ASCII characters only");
    return value;
}

client_region read_region(config::table_reader& from)
{
    return {visible(from, "id", "\"oslo\""),
            visible(from, "client", "\"10.110.7.7\"")};
}

std::string read_key(reading& to, config::table_reader& from)
{
    const auto key = from.text("key", "\"demo-key-a\"", "");
    const auto name = from.text("key_file", "\"a.key\"", "");
    if (key.empty() == name.empty())
    {
        from.report("key", "needs either key or key_file");
        return {};
    }
    std::string value = key;
    if (!name.empty())
    {
        std::ifstream in(to.folder / name);
        if (!std::getline(in, value))
            from.report("key_file",
                        "key_file \"" + name + "\" can't be read or is empty");
    }
    if (!is_visible(value))
        from.report(name.empty() ? "key" : "key_file",
                    "the key must have visible ASCII characters only");
    return value;
}

skew_phase read_phase(reading& to, config::table_reader& from)
{
    const auto& regions = to.result.regions;
    skew_phase phase;
    phase.from_s = bounded(from, "from_s", "0", 0, most_seconds, 0);
    phase.weights.resize(regions.size());
    const toml::table* const share = from.table("share");
    if (share == nullptr)
    {
        from.report("share", "needs share = { REGION = WEIGHT }");
        return phase;
    }
    config::table_reader weights(to.files, to.file, "share", *share);
    std::ranges::transform(regions, phase.weights.begin(),
                           [&](const client_region& r)
                           { return bounded(weights, r.id, "1", 0, 1e6, 0); });
    weights.end();
    if (std::reduce(phase.weights.begin(), phase.weights.end()) <= 0)
        from.report("share", "share needs a weight above 0");
    return phase;
}

void check_phases(config::table_reader& from, customer_load& customer,
                  std::size_t regions)
{
    auto& phases = customer.phases;
    if (phases.empty())
        phases.push_back({0, std::vector<double>(regions, 1.0)});
    if (phases.front().from_s != 0)
        from.report("phase", "the first phase must have from_s = 0");
    const auto late = std::ranges::adjacent_find(
        phases, std::ranges::greater_equal(), &skew_phase::from_s);
    if (late != phases.end())
        from.report("phase", "phases must be in order of from_s");
    if (customer.period_s > 0 && phases.back().from_s >= customer.period_s)
        from.report("phase_period_s",
                    "phase_period_s must be above the last from_s");
}

customer_load read_customer(reading& to, config::table_reader& from)
{
    customer_load customer;
    customer.id = visible(from, "id", "\"verksted-oslo\"");
    from.rename("customer \"" + customer.id + "\"");
    customer.api_key = read_key(to, from);
    customer.rate_per_s = bounded(from, "rate_per_s", "20", 0.001, 100'000);
    customer.rate_limit_per_s =
        bounded(from, "rate_limit_per_s", "240", 0, 1e9, 0);
    customer.burst = bounded(from, "burst", "480", 0, 1e9, 0);
    if (customer.rate_limit_per_s > 0 && customer.burst < 1)
        from.report("burst", "rate_limit_per_s needs a burst of at least 1");
    customer.period_s =
        bounded(from, "phase_period_s", "30", 0, most_seconds, 0);
    config::read_list(from, "phase", to.files, to.file, customer.phases,
                      [&](config::table_reader& phase)
                      { return read_phase(to, phase); });
    check_phases(from, customer, to.result.regions.size());
    return customer;
}

execution read_execution(config::table_reader& from)
{
    static const std::map<std::string, execution> kinds{
        {"idempotent", execution::idempotent},
        {"once", execution::once},
        {"at_most_once", execution::at_most_once}};
    const auto it = kinds.find(from.text("execution", "\"idempotent\""));
    if (it != kinds.end())
        return it->second;
    from.report("execution", "execution must be \"idempotent\", \"once\" or "
                             "\"at_most_once\"");
    return execution::once;
}

route_load read_route(config::table_reader& from)
{
    route_load route;
    route.id = visible(from, "id", "\"katalog\"");
    from.rename("route \"" + route.id + "\"");
    route.method = visible(from, "method", "\"GET\"");
    route.path = visible(from, "path", "\"/katalog/spring-40\"");
    if (!route.path.starts_with('/'))
        from.report("path", "path must start with \"/\"");
    route.weight = bounded(from, "weight", "1", 0.000'001, 1e6, 1);
    route.body_bytes = static_cast<std::size_t>(
        from.integer("body_bytes", "200", 0, most_body_bytes, 0));
    route.kind = read_execution(from);
    route.keep_connections = from.flag("keep_connections", true);
    route.open = from.flag("open", false);
    route.repeat_probability =
        bounded(from, "repeat_probability", "0.05", 0, 1, 0);
    if (route.repeat_probability > 0 && route.kind != execution::at_most_once)
        from.report("repeat_probability",
                    "only at_most_once routes can be repeated");
    route.repeat_after =
        milliseconds(from.integer("repeat_after_ms", "500", 0, most_ms, 500));
    route.timeout =
        milliseconds(from.integer("timeout_ms", "10000", 1, most_ms, 10'000));
    return route;
}

fault_call read_fault(config::table_reader& from, double duration_s)
{
    fault_call fault;
    fault.at_s = bounded(from, "at_s", "10", 0, duration_s);
    fault.url = visible(from, "url", "\"http://127.0.0.1:20700/fault/down\"");
    if (!fault.url.starts_with("http://"))
        from.report("url", "url must start with \"http://\"");
    fault.method = from.text("method", "\"PUT\"", "PUT");
    fault.body = from.text("body", "\"\"", "");
    return fault;
}

template <typename Item>
void check_names(config::table_reader& from, const std::string& key,
                 const std::vector<Item>& items)
{
    if (items.empty())
        from.report(key, "needs at least one [[" + key + "]]");
    std::map<std::string, int> names;
    std::ranges::for_each(items, [&](const Item& i) { ++names[i.id]; });
    std::ranges::for_each(names,
                          [&](const auto& name)
                          {
                              if (name.second > 1)
                                  from.report(key, key + " \"" + name.first +
                                                       "\" is given twice");
                          });
}

void read_root(reading& to, const toml::table& table)
{
    config::table_reader root(to.files, to.file, "scenario", table);
    auto& s = to.result;
    s.name = filled(root, "name", "\"skuffedel\"");
    s.duration_s = bounded(root, "duration_s", "30", 0.001, most_seconds);
    s.seed = static_cast<std::uint64_t>(
        root.integer("seed", "1", 0, std::numeric_limits<std::int64_t>::max()));
    const auto list = [&](const std::string& key, auto& items, auto read)
    {
        config::read_list(root, key, to.files, to.file, items, read);
    };
    using reader = config::table_reader;
    list("region", s.regions, [](reader& r) { return read_region(r); });
    list("customer", s.customers,
         [&](reader& r) { return read_customer(to, r); });
    list("route", s.routes, [](reader& r) { return read_route(r); });
    list("fault", s.faults,
         [&](reader& r) { return read_fault(r, s.duration_s); });
    root.end();
    check_names(root, "region", s.regions);
    check_names(root, "customer", s.customers);
    check_names(root, "route", s.routes);
    const double rate = std::transform_reduce(
        s.customers.begin(), s.customers.end(), 0.0, std::plus<>(),
        [](const customer_load& c) { return c.rate_per_s; });
    if (rate * s.duration_s > most_requests)
        root.report("duration_s", "the run would send more than 5000000 "
                                  "requests; shorten it or lower the rates");
}

} // namespace

scenario parse_scenario(const std::string& file, std::string_view text,
                        const std::filesystem::path& folder)
{
    reading to{{}, file, folder, {}};
    try
    {
        read_root(to, toml::parse(text, file));
    }
    catch (const toml::parse_error& e)
    {
        throw config_error(file + ":" + std::to_string(e.source().begin.line) +
                           ": " + std::string(e.description()));
    }
    if (!to.files.problems.empty())
        throw config_error(config::to_string(to.files.problems));
    return to.result;
}

scenario read_scenario(const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
        throw config_error(file.string() + " can't be read or is empty");
    return parse_scenario(file.string(), text.str(), file.parent_path());
}

} // namespace parsleyplank::load
