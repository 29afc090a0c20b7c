#include <parsleyplank/core/ip_address.hpp>
#include <parsleyplank/settings/table_reader.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <numeric>
#include <sstream>

namespace parsleyplank::settings_file
{

namespace
{

std::string join(const std::vector<std::string>& words, const char* separator)
{
    return std::accumulate(
        words.begin(), words.end(), std::string(),
        [&](std::string text, const std::string& word)
        { return text.empty() ? word : std::move(text) + separator + word; });
}

void reject_unknown_sections(const toml::table& root, const std::string& file,
                             const std::vector<std::string>& known,
                             std::vector<std::string>& problems)
{
    for (const auto& [key, node] : root)
        if (std::ranges::find(known, key.str()) == known.end())
            problems.push_back(file + ":" +
                               std::to_string(node.source().begin.line) +
                               ": unknown section '" + std::string(key.str()) +
                               "'; known are " + join(known, ", "));
}

} // namespace

table_reader::table_reader(const toml::table& root, std::string name,
                           const std::string& file_name,
                           std::vector<std::string>& problem_list)
    : section(std::move(name)), file(file_name), problems(problem_list)
{
    const auto* node = root.get(section);
    table = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && table == nullptr)
        report(*node, "must be a table");
}

void table_reader::text(const char* key, std::string& value, bool required)
{
    const auto* node = find(key, required);
    if (node == nullptr)
        return;
    const auto found = node->value_exact<std::string>();
    if (!found)
        report(*node, std::string(key) + " must be a string");
    else if (required && found->empty())
        report(*node, std::string(key) + " must not be empty");
    else
        value = *found;
}

void table_reader::flag(const char* key, bool& value)
{
    const auto* node = find(key, false);
    if (node == nullptr)
        return;
    if (const auto found = node->value_exact<bool>())
        value = *found;
    else
        report(*node, std::string(key) + " must be true or false");
}

void table_reader::fraction(const char* key, double& value, bool required)
{
    const auto* node = find(key, required);
    if (node == nullptr)
        return;
    const auto found = node->value<double>();
    if (found && std::isfinite(*found) && *found >= 0)
        value = *found;
    else
        report(*node, std::string(key) + " must be a number of at least 0");
}

void table_reader::duration(const char* key, milliseconds& value, bool required)
{
    std::string written;
    text(key, written, required);
    if (written.empty())
        return;
    if (const auto parsed = parse_duration(written))
        value = *parsed;
    else
        report(*find(key, false), std::string(key) +
                                      " must be a number with ms or s, not '" +
                                      written + "'");
}

std::optional<std::int64_t> table_reader::whole_number(const toml::node& node)
{
    // Up to here, a double holds every whole number.
    constexpr double most = 9e15;
    const auto found = node.value_exact<double>();
    if (found && std::abs(*found) <= most && *found == std::trunc(*found))
        return static_cast<std::int64_t>(*found);
    return node.value_exact<std::int64_t>();
}

void table_reader::address(const char* key, std::string& value)
{
    text(key, value, true);
    const auto* node = find(key, false);
    if (node != nullptr && !value.empty() && !is_ip_address(value))
        report(*node, std::string(key) + " must be an IP address, not '" +
                          value + "'");
}

void table_reader::endpoint(const char* key, std::string& ip,
                            std::uint16_t& port, bool required)
{
    std::string written;
    text(key, written, required);
    if (written.empty())
        return;
    const auto colon = written.rfind(':');
    const auto digits =
        colon == std::string::npos ? "" : written.substr(colon + 1);
    std::uint16_t number = 0;
    const auto* const last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, number);
    const auto host = written.substr(0, colon);
    if (parsed.ec == std::errc() && parsed.ptr == last && number > 0 &&
        is_ip_address(host))
    {
        ip = host;
        port = number;
        return;
    }
    report(*find(key, false),
           std::string(key) + " must be IP:PORT, not '" + written + "'");
}

void table_reader::texts(
    const std::function<void(const std::string&, const std::string&)>& take)
{
    if (table == nullptr)
        return;
    for (const auto& [key, node] : *table)
    {
        seen.insert(std::string(key.str()));
        if (const auto found = node.value_exact<std::string>())
            take(std::string(key.str()), *found);
        else
            report(node, std::string(key.str()) + " must be a string");
    }
}

void table_reader::reject_unknown()
{
    if (table == nullptr)
        return;
    for (const auto& [key, node] : *table)
        if (!seen.contains(std::string(key.str())))
            report(node, "unknown key '" + std::string(key.str()) + "'");
}

const toml::node* table_reader::find(const char* key, bool required)
{
    seen.insert(key);
    const auto* node = table == nullptr ? nullptr : table->get(key);
    if (node == nullptr && required)
        problems.push_back(file + ": [" + section + "] needs the key '" + key +
                           "'");
    return node;
}

void table_reader::report(const toml::node& node, const std::string& text)
{
    problems.push_back(file + ":" + std::to_string(node.source().begin.line) +
                       ": [" + section + "] " + text);
}

std::optional<milliseconds> parse_duration(std::string_view text)
{
    double number = 0;
    const auto* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number);
    const std::string_view unit(parsed.ptr,
                                static_cast<std::size_t>(last - parsed.ptr));
    // A hundred years; longer ones overflow in sums.
    constexpr double most_ms = 3.2e12;
    constexpr double ms_per_s = 1'000;
    const double ms = unit == "s" ? number * ms_per_s : number;
    if (parsed.ec != std::errc() || (unit != "s" && unit != "ms") ||
        !std::isfinite(ms) || ms < 0 || ms > most_ms)
        return std::nullopt;
    return milliseconds(std::llround(ms));
}

void parse_sections(std::string_view text, const std::string& name,
                    const std::vector<std::string>& known,
                    const section_reader& read)
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
    std::vector<std::string> problems;
    read(root, problems);
    reject_unknown_sections(root, name, known, problems);
    if (!problems.empty())
        throw config_error(join(problems, "\n"));
}

std::string read_text(const std::filesystem::path& file)
{
    const std::ifstream in(file);
    if (!in)
        throw config_error(file.string() + ": can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace parsleyplank::settings_file
