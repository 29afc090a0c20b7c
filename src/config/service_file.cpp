#include <parsleyplank/config/fleet_file.hpp>
#include <parsleyplank/config/service_file.hpp>
#include <parsleyplank/config/toml_reader.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <system_error>

namespace parsleyplank::config
{

namespace
{

// Adds a problem of a file that is not read as a whole.
void report_file(collected_files& files, const std::string& place,
                 const std::string& text)
{
    files.complete = false;
    files.problems.push_back({place, text});
}

constexpr std::int64_t max_count = 1'000'000;
backend_server read_server(table_reader& from, const upstream_id& upstream)
{
    backend_server v;
    constexpr std::int64_t max_port = 65'535;
    v.id = backend_server_id(from.text("id", "\"stockbook-1\""));
    from.rename(item_name("backend server", upstream.value + "/" + v.id.value));
    v.region = region_id(from.text("region", "\"doto\""));
    v.domain = failure_domain_id(from.text("failure_domain", "\"doto-a\""));
    v.address = from.text("address", "\"127.0.0.1\"");
    v.port =
        static_cast<std::uint16_t>(from.integer("port", "8080", 1, max_port));
    v.version = version_id(from.text("version", "\"1\""));
    v.leaving = from.flag("leaving", v.leaving);
    return v;
}

upstream read_upstream(table_reader& from, collected_files& files,
                       const std::string& file)
{
    upstream v;
    v.id = upstream_id(from.text("id", "\"stockbook\""));
    from.rename(item_name("upstream", v.id.value));
    v.slots_per_server = static_cast<std::uint32_t>(
        from.integer("slots_per_server", "6", 1, max_count));
    v.connection_budget = static_cast<std::uint32_t>(from.integer(
        "connection_budget", "360", 1, max_count, v.connection_budget));
    read_list(from, "server", files, file, v.servers,
              [&](table_reader& server) { return read_server(server, v.id); });
    return v;
}

execution_mode read_execution(table_reader& from)
{
    const auto name = from.text("execution", "\"idempotent\"");
    if (name == "idempotent")
        return execution_mode::idempotent;
    if (name == "at_most_once")
        return execution_mode::at_most_once;
    if (name != "once" && !name.empty())
        from.report("execution", "execution \"" + name +
                                     "\" is unknown; use \"idempotent\", "
                                     "\"once\" or \"at_most_once\"");
    return execution_mode::once;
}

stale_policy read_stale_policy(table_reader& from)
{
    const auto name = from.text("when_stale", "\"refuse\"", "refuse");
    if (name == "serve")
        return stale_policy::serve;
    if (name != "refuse")
        from.report("when_stale", "when_stale \"" + name +
                                      "\" is unknown; use \"refuse\" or "
                                      "\"serve\"");
    return stale_policy::refuse;
}

route read_route(table_reader& from)
{
    route v;
    v.id = route_id(from.text("id", "\"orders\""));
    from.rename(item_name("route", v.id.value));
    // validate reports a route without upstream.
    v.upstream = upstream_id(from.text("upstream", "\"orderdesk\"", ""));
    v.path_prefix = from.text("path_prefix", "\"/orders\"");
    v.methods = from.texts("methods", "[\"GET\"]", true);
    v.open = from.flag("open", v.open);
    v.customers = to_ids<customer_id>(from.texts("customers", "[\"shop-1\"]"));
    v.execution = read_execution(from);
    v.when_stale = read_stale_policy(from);
    v.deadline = from.duration("deadline_ms", "5000", v.deadline);
    v.max_body_bytes = static_cast<std::uint64_t>(from.integer(
        "max_body_bytes", "65536", 0, std::numeric_limits<std::int64_t>::max(),
        static_cast<std::int64_t>(v.max_body_bytes)));
    return v;
}

rollout read_rollout(table_reader& from)
{
    rollout v;
    v.upstream = upstream_id(from.text("upstream", "\"orderdesk\""));
    from.rename(item_name("rollout", v.upstream.value));
    v.from = version_id(from.text("from", "\"1\""));
    v.to = version_id(from.text("to", "\"2\""));
    v.duration = from.duration("duration_s", "600", v.duration);
    v.first_share = from_percent(from.number(
        "first_share_percent", "1", v.first_share.value / ppm_per_percent));
    return v;
}

void add_service_file(collected_files& files, const std::string& file,
                      const toml::table& root)
{
    bundle& to = files.content;
    table_reader from(files, file, "service file", root);
    service_id service;
    if (const toml::table* const table = from.table("service"))
    {
        table_reader item(files, file, "service", *table);
        service = service_id(item.text("id", "\"orders\""));
        const auto name = item_name("service", service.value);
        if (files.sources.contains(name))
            item.report("id", "service \"" + service.value +
                                  "\" is given twice, first in " +
                                  files.sources[name] + "; rename one");
        item.rename(name);
        item.end();
    }
    read_list(from, "upstream", files, file, to.upstreams,
              [&](table_reader& item)
              {
                  auto v = read_upstream(item, files, file);
                  v.service = service;
                  return v;
              });
    read_list(from, "route", files, file, to.routes,
              [&](table_reader& item)
              {
                  auto v = read_route(item);
                  v.service = service;
                  return v;
              });
    if (const toml::table* const table = from.table("rollout"))
    {
        table_reader item(files, file, "rollout", *table);
        to.rollouts.push_back(read_rollout(item));
        item.end();
    }
    from.end();
}

// Returns the files that a path stands for, in order of name.
std::set<std::filesystem::path> find_files(const std::filesystem::path& path)
{
    if (!std::filesystem::is_directory(path))
        return {path};
    std::set<std::filesystem::path> found;
    std::ranges::for_each(std::filesystem::recursive_directory_iterator(path),
                          [&](const std::filesystem::directory_entry& entry)
                          {
                              const auto name = entry.path().filename();
                              if (name == "fleet.toml" ||
                                  name == "service.toml")
                                  found.insert(entry.path());
                          });
    return found;
}

void add_path(collected_files& files, const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in.is_open() || in.bad() || std::filesystem::is_directory(path))
        report_file(files, path.string(),
                    "can't be read; check the path and permissions");
    else
        add_file(files, path.string(), text);
}

} // namespace

void add_file(collected_files& files, const std::string& name,
              std::string_view text)
{
    try
    {
        const toml::table root = toml::parse(text, name);
        const bool is_fleet = root.contains("fleet");
        if (is_fleet && files.sources.contains("fleet"))
            report_file(files, name,
                        "is a second fleet file, the first is " +
                            files.sources["fleet"] + "; give only one");
        else if (is_fleet)
            add_fleet_file(files, name, root);
        else if (root.contains("service"))
            add_service_file(files, name, root);
        else
            report_file(files, name,
                        "has neither a [fleet] nor a [service] table; add "
                        "[service] with id = \"...\"");
    }
    catch (const toml::parse_error& ec)
    {
        report_file(files, name + ":" + std::to_string(ec.source().begin.line),
                    std::string(ec.description()) +
                        "; correct the TOML syntax");
    }
}

collected_files collect_files(std::span<const std::filesystem::path> paths)
{
    collected_files files;
    std::set<std::filesystem::path> seen;
    std::ranges::for_each(
        paths,
        [&](const std::filesystem::path& path)
        {
            try
            {
                const auto found = find_files(path);
                if (found.empty())
                    report_file(files, path.string(),
                                "holds no fleet.toml and no service.toml");
                std::ranges::for_each(
                    found,
                    [&](const std::filesystem::path& file)
                    {
                        if (seen.insert(std::filesystem::weakly_canonical(file))
                                .second)
                            add_path(files, file);
                    });
            }
            catch (const std::filesystem::filesystem_error& ec)
            {
                report_file(files, path.string(),
                            ec.code().message() +
                                "; check the path and permissions");
            }
        });
    if (files.complete && !files.sources.contains("fleet"))
        report_file(files, "fleet",
                    "no file with a [fleet] table was given; add the path of "
                    "fleet.toml or its folder");
    return files;
}

std::vector<problem> check_files(const collected_files& files)
{
    std::vector<problem> all = files.problems;
    if (!files.complete)
        return all;
    std::ranges::transform(validate(files.content), std::back_inserter(all),
                           [&](problem v)
                           {
                               const auto it = files.sources.find(v.item);
                               if (it != files.sources.end())
                                   v.item = it->second + ": " + v.item;
                               return v;
                           });
    return all;
}

} // namespace parsleyplank::config
