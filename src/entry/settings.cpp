#include <parsleyplank/core/error.hpp>
#include <parsleyplank/entry/settings.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <toml++/toml.h>
#include <vector>

namespace parsleyplank::entry
{

namespace
{

// Reads the members of one table and collects what is wrong with them.
class table_reader
{
public:
    table_reader(const toml::table& root, std::string section,
                 const std::string& file, std::vector<std::string>& problems)
        : section(std::move(section)), file(file), problems(problems)
    {
        const auto* node = root.get(this->section);
        table = node == nullptr ? nullptr : node->as_table();
        if (node != nullptr && table == nullptr)
            report(*node, "must be a table");
    }

    void text(const char* key, std::string& value, bool required)
    {
        const auto* node = find(key, required);
        if (node == nullptr)
            return;
        if (const auto found = node->value_exact<std::string>())
            value = *found;
        else
            report(*node, std::string(key) + " must be a string");
    }

    template <typename Number>
    void number(const char* key, Number& value, std::int64_t least,
                bool required)
    {
        const auto* node = find(key, required);
        if (node == nullptr)
            return;
        const auto found = node->value_exact<std::int64_t>();
        constexpr auto most = static_cast<std::int64_t>(
            std::min<std::uint64_t>(std::numeric_limits<Number>::max(),
                                    std::numeric_limits<std::int64_t>::max()));
        if (found && *found >= least && *found <= most)
            value = static_cast<Number>(*found);
        else
            report(*node, std::string(key) + " must be a whole number from " +
                              std::to_string(least) + " to " +
                              std::to_string(most));
    }

    void address(const char* key, std::string& value)
    {
        text(key, value, true);
        const auto* node = find(key, false);
        std::array<unsigned char, 16> buf{};
        if (node != nullptr &&
            inet_pton(AF_INET, value.c_str(), buf.data()) != 1 &&
            inet_pton(AF_INET6, value.c_str(), buf.data()) != 1)
            report(*node, std::string(key) + " must be an IP address, not '" +
                              value + "'");
    }

    void reject_unknown()
    {
        if (table == nullptr)
            return;
        for (const auto& [key, node] : *table)
            if (!seen.contains(std::string(key.str())))
                report(node, "unknown key '" + std::string(key.str()) + "'");
    }

private:
    const toml::node* find(const char* key, bool required)
    {
        seen.insert(key);
        const auto* node = table == nullptr ? nullptr : table->get(key);
        if (node == nullptr && required)
            problems.push_back(file + ": [" + section + "] needs the key '" +
                               key + "'");
        return node;
    }

    void report(const toml::node& node, const std::string& text)
    {
        problems.push_back(file + ":" +
                           std::to_string(node.source().begin.line) + ": [" +
                           section + "] " + text);
    }

    const toml::table* table = nullptr;
    std::string section;
    const std::string& file;
    std::vector<std::string>& problems;
    std::set<std::string> seen;
};

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

void reject_unknown_sections(const toml::table& root, const std::string& file,
                             std::vector<std::string>& problems)
{
    const std::set<std::string_view> known{"instance", "platform", "traffic",
                                           "logging"};
    for (const auto& [key, node] : root)
        if (!known.contains(key.str()))
            problems.push_back(file + ":" +
                               std::to_string(node.source().begin.line) +
                               ": unknown section '" + std::string(key.str()) +
                               "'; known are instance, platform, traffic, "
                               "logging");
}

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    std::ranges::for_each(lines,
                          [&](const std::string& line)
                          {
                              if (!text.empty())
                                  text += '\n';
                              text += line;
                          });
    return text;
}

} // namespace

settings parse_settings(std::string_view text, const std::string& name)
{
    toml::table root;
    try
    {
        root = toml::parse(text, name);
    }
    catch (const toml::parse_error& ec)
    {
        throw config_error(name + ":" + std::to_string(ec.source().begin.line) +
                           ": " + std::string(ec.description()));
    }
    settings s;
    std::vector<std::string> problems;
    read_instance({root, "instance", name, problems}, s);
    read_platform({root, "platform", name, problems}, s);
    read_traffic({root, "traffic", name, problems}, s);
    table_reader logging(root, "logging", name, problems);
    logging.text("level", s.log_level, false);
    logging.reject_unknown();
    reject_unknown_sections(root, name, problems);
    if (!problems.empty())
        throw config_error(join_lines(problems));
    return s;
}

settings read_settings(const std::filesystem::path& file)
{
    const std::ifstream in(file);
    if (!in)
        throw config_error(file.string() + ": can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), file.string());
}

} // namespace parsleyplank::entry
