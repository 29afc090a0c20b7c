#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/settings/table_reader.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

using settings_file::table_reader;

// Fewer leave no connections for callers beside those that the process needs.
constexpr std::int64_t min_descriptors = 64;

void read_endpoint(table_reader& in, const char* key,
                   steering::server_endpoint& endpoint, bool required)
{
    in.endpoint(key, endpoint.address, endpoint.port, required);
}

void read_instance(table_reader in, settings& s)
{
    in.text("id", s.id.value, true);
    in.text("region", s.region.value, true);
    in.text("failure_domain", s.domain.value, true);
    in.address("address", s.address);
    in.number("memory_mb", s.memory_mb, 1, false);
    in.number("max_descriptors", s.max_descriptors, min_descriptors, false);
    in.fraction("link_mbps", s.link_mbps, false);
    in.reject_unknown();
}

void read_listen(table_reader in, settings& s)
{
    read_endpoint(in, "callers", s.callers, true);
    read_endpoint(in, "readiness", s.readiness, true);
    read_endpoint(in, "directory", s.directory, true);
    read_endpoint(in, "admin", s.admin, false);
    in.number("peer_port", s.peer_port, 1, true);
    in.reject_unknown();
}

void read_bounds(table_reader in, fleet_bounds& bounds)
{
    in.duration("contact", bounds.contact, false);
    in.duration("drain", bounds.drain, false);
    in.duration("grace", bounds.grace, false);
    in.duration("directory_ttl", bounds.directory_ttl, false);
    in.fraction("retry_ratio", bounds.retry_ratio, false);
    in.fraction("retry_slack", bounds.retry_slack, false);
    in.fraction("shift_cap", bounds.shift_cap, false);
    in.duration("revoke", bounds.revoke, false);
    in.flag("strict_keys", bounds.strict_keys);
    in.reject_unknown();
}

void read_usage(table_reader in, usage_settings& usage)
{
    read_endpoint(in, "platform", usage.platform, false);
    in.text("duties", usage.duties, false);
    in.duration("window", usage.window, false);
    in.duration("late", usage.late, false);
    in.duration("lease", usage.lease, false);
    in.duration("thaw", usage.thaw, false);
    in.reject_unknown();
}

} // namespace

bool has_duty(const usage_settings& usage, std::string_view name)
{
    if (usage.platform.port == 0 || usage.window <= milliseconds(0))
        return false;
    std::string_view rest = usage.duties;
    while (!rest.empty())
    {
        const auto end = std::min(rest.find(','), rest.size());
        if (rest.substr(0, end) == name)
            return true;
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return false;
}

settings parse_settings(std::string_view text, const std::string& name)
{
    settings s;
    settings_file::parse_sections(
        text, name,
        {"instance", "listen", "store", "failure_domains", "bounds", "usage",
         "logging"},
        [&](const toml::table& root, std::vector<std::string>& problems)
        {
            read_instance({root, "instance", name, problems}, s);
            read_listen({root, "listen", name, problems}, s);
            table_reader store(root, "store", name, problems);
            read_endpoint(store, "address", s.store, true);
            store.reject_unknown();
            table_reader domains(root, "failure_domains", name, problems);
            domains.texts(
                [&](const std::string& domain, const std::string& region)
                { s.regions[failure_domain_id(domain)] = region_id(region); });
            read_bounds({root, "bounds", name, problems}, s.bounds);
            read_usage({root, "usage", name, problems}, s.usage);
            table_reader logging(root, "logging", name, problems);
            logging.text("level", s.log_level, false);
            logging.number("lines_per_s", s.log_lines_per_s, 1, false);
            logging.reject_unknown();
        });
    return s;
}

milliseconds contact_timeout(const fleet_bounds& bounds)
{
    constexpr double contact_fraction = 0.55;
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(bounds.contact.count()) * contact_fraction));
}

std::size_t max_store_response_bytes(const settings& config)
{
    constexpr std::size_t bytes_per_mb = 1'000'000;
    constexpr std::size_t divisor = 16;
    return static_cast<std::size_t>(config.memory_mb) * bytes_per_mb / divisor;
}

settings read_settings(const std::filesystem::path& file)
{
    return parse_settings(settings_file::read_text(file), file.string());
}

} // namespace parsleyplank::edge
