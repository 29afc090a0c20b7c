#include <parsleyplank/config/toml_reader.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace parsleyplank::config
{

namespace
{

std::string type_name(const toml::node& node)
{
    std::ostringstream out;
    out << node.type();
    return out.str();
}

std::string shown(const std::string& key, const std::string& hint)
{
    return "; write e.g. " + key + " = " + hint;
}

} // namespace

table_reader::table_reader(collected_files& to, std::string file_name,
                           std::string item, const toml::table& table)
    : files(to), file(std::move(file_name)), name(std::move(item)),
      source(table)
{
}

std::string table_reader::place(const toml::node& node) const
{
    // Line 0 is that of a table which only other tables imply.
    return file + ":" +
           std::to_string(std::max<unsigned>(node.source().begin.line, 1));
}

void table_reader::rename(const std::string& item)
{
    name = item;
    note(item, source);
}

void table_reader::note(const std::string& item, const toml::node& node)
{
    std::string& places = files.sources[item];
    places += (places.empty() ? "" : " and ") + place(node);
}

void table_reader::note_element(const std::string& item, const std::string& key,
                                std::size_t at)
{
    const toml::node* const node = source.get(key);
    const toml::array* const list =
        node == nullptr ? nullptr : node->as_array();
    const toml::node* const element = list == nullptr ? nullptr : list->get(at);
    note(item, element == nullptr ? source : *element);
}

void table_reader::report(const std::string& key, const std::string& text)
{
    const toml::node* const node = source.get(key);
    files.problems.push_back(
        {place(node == nullptr ? source : *node) + ": " + name, text});
}

const toml::node* table_reader::take(const std::string& key,
                                     const std::string& hint, bool required)
{
    known.insert(key);
    const toml::node* const node = source.get(key);
    if (node == nullptr && required)
        report(key, "has no " + key + shown(key, hint));
    return node;
}

std::string table_reader::text(const std::string& key, const std::string& hint,
                               const std::optional<std::string>& absent)
{
    const toml::node* const node = take(key, hint, !absent);
    if (node == nullptr)
        return absent.value_or("");
    const auto value = node->value_exact<std::string>();
    if (!value)
        report(key, key + " must be a string, is " + type_name(*node) +
                        shown(key, hint));
    return value.value_or("");
}

std::vector<std::string> table_reader::texts(const std::string& key,
                                             const std::string& hint,
                                             bool required)
{
    const toml::node* const node = take(key, hint, required);
    if (node == nullptr)
        return {};
    const toml::array* const list = node->as_array();
    if (list == nullptr ||
        (!list->empty() && !list->is_homogeneous(toml::node_type::string)))
    {
        report(key, key + " must be an array of strings" + shown(key, hint));
        return {};
    }
    std::vector<std::string> values;
    std::ranges::transform(*list, std::back_inserter(values),
                           [](const toml::node& v)
                           { return v.value_or(std::string()); });
    return values;
}

bool table_reader::flag(const std::string& key, bool absent)
{
    const toml::node* const node = take(key, "true", false);
    if (node == nullptr)
        return absent;
    const auto value = node->value_exact<bool>();
    if (!value)
        report(key, key + " must be true or false, is " + type_name(*node));
    return value.value_or(absent);
}

double table_reader::number(const std::string& key, const std::string& hint,
                            std::optional<double> absent)
{
    const toml::node* const node = take(key, hint, !absent);
    if (node == nullptr)
        return absent.value_or(0);
    // Converts integers, too.
    const auto value =
        node->is_number() ? node->value<double>() : std::optional<double>();
    if (!value || !std::isfinite(*value))
        report(key, key + " must be a finite number, is " + type_name(*node) +
                        shown(key, hint));
    return value.value_or(0);
}

std::int64_t table_reader::integer(const std::string& key,
                                   const std::string& hint, std::int64_t least,
                                   std::int64_t most,
                                   std::optional<std::int64_t> absent)
{
    const toml::node* const node = take(key, hint, !absent);
    if (node == nullptr)
        return absent.value_or(least);
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= least && *value <= most)
        return *value;
    if (!value)
        report(key, key + " must be a whole number, is " + type_name(*node) +
                        shown(key, hint));
    else
        report(key, key + " must be from " + std::to_string(least) + " to " +
                        std::to_string(most) + ", is " +
                        std::to_string(*value) + shown(key, hint));
    return absent.value_or(least);
}

std::vector<const toml::table*> table_reader::tables(const std::string& key)
{
    const toml::node* const node = take(key, "", false);
    if (node == nullptr)
        return {};
    const toml::array* const list = node->as_array();
    if (list == nullptr || !list->is_homogeneous(toml::node_type::table))
    {
        report(key, key + " must be given as [[" + key + "]] tables");
        return {};
    }
    std::vector<const toml::table*> found;
    std::ranges::transform(*list, std::back_inserter(found),
                           [](const toml::node& v) { return v.as_table(); });
    return found;
}

const toml::table* table_reader::table(const std::string& key)
{
    const toml::node* const node = take(key, "", false);
    if (node == nullptr)
        return nullptr;
    if (!node->is_table())
        report(key, key + " must be given as a [" + key + "] table");
    return node->as_table();
}

void table_reader::end()
{
    std::string list;
    std::ranges::for_each(known, [&](const std::string& key)
                          { list += (list.empty() ? "" : ", ") + key; });
    for (const auto& [key, node] : source)
        if (!known.contains(std::string(key.str())))
            report(std::string(key.str()), "unknown key \"" +
                                               std::string(key.str()) +
                                               "\"; known keys are " + list);
}

share_ppm from_percent(double percent)
{
    const double ppm = std::round(percent * ppm_per_percent);
    return {static_cast<std::uint32_t>(
        std::clamp(ppm, 0.0, static_cast<double>(ppm_total) + 1))};
}

} // namespace parsleyplank::config
