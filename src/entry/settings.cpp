#include <parsleyplank/entry/settings.hpp>
#include <parsleyplank/settings/table_reader.hpp>

namespace parsleyplank::entry
{

namespace
{

using settings_file::table_reader;

void read_instance(table_reader in, settings& s)
{
    in.text("id", s.id.value, true);
    in.number("incarnation", s.life.value, 1, true);
    in.text("region", s.region.value, true);
    in.text("failure_domain", s.domain.value, true);
    in.address("address", s.address);
    in.number("caller_port", s.caller_port, 1, true);
    in.number("admin_port", s.admin_port, 1, true);
    in.number("peer_port", s.peer_port, 1, true);
    in.reject_unknown();
}

void read_platform(table_reader in, settings& s)
{
    std::int64_t timeout_ms = s.store_timeout.count();
    in.address("store_address", s.store.address);
    in.number("store_port", s.store.port, 1, true);
    in.address("instance_list_address", s.instance_list.address);
    in.number("instance_list_port", s.instance_list.port, 1, true);
    in.number("store_timeout_ms", timeout_ms, 1, false);
    s.store_timeout = milliseconds(timeout_ms);
    in.reject_unknown();
}

void read_traffic(table_reader in, settings& s)
{
    in.number("caller_threads", s.caller_threads, 1, false);
    in.number("max_body_memory_bytes", s.max_body_memory_bytes, 1, false);
    in.number("decision_log_size", s.decision_log_size, 1, false);
    in.number("connections_per_upstream", s.connections_per_upstream, 1, false);
    in.reject_unknown();
}

} // namespace

settings parse_settings(std::string_view text, const std::string& name)
{
    settings s;
    settings_file::parse_sections(
        text, name, {"instance", "platform", "traffic", "logging"},
        [&](const toml::table& root, std::vector<std::string>& problems)
        {
            read_instance({root, "instance", name, problems}, s);
            read_platform({root, "platform", name, problems}, s);
            read_traffic({root, "traffic", name, problems}, s);
            table_reader logging(root, "logging", name, problems);
            logging.text("level", s.log_level, false);
            logging.reject_unknown();
        });
    return s;
}

settings read_settings(const std::filesystem::path& file)
{
    return parse_settings(settings_file::read_text(file), file.string());
}

} // namespace parsleyplank::entry
