#include "template_text.hpp"

#include <stdexcept>

namespace parsleyplank::test
{

namespace
{

using nlohmann::json;

struct scope
{
    const json& fields;
    const json* entry = nullptr;
    std::string key;
};

const json* find_field(const json& fields, const std::string& path)
{
    std::string pointer = "/" + path;
    for (auto& it : pointer)
        it = it == '.' ? '/' : it;
    const json::json_pointer where(pointer);
    return fields.contains(where) ? &fields[where] : nullptr;
}

std::string to_text(const json* value)
{
    if (value == nullptr)
        return "";
    return value->is_string() ? value->get<std::string>() : value->dump();
}

std::string value_of(const std::string& name, const scope& in)
{
    if (name == "@")
        return in.key;
    return to_text(name == "." ? in.entry : find_field(in.fields, name));
}

std::string render(std::string_view text, const scope& in);

std::string render_section(std::string_view body, const json* value,
                           const json& fields)
{
    if (value == nullptr || *value == false)
        return "";
    if (!value->is_structured())
        return render(body, {fields, value, ""});
    std::string result;
    for (const auto& [key, entry] : value->items())
        result += render(body, {fields, &entry, key});
    return result;
}

std::string render(std::string_view text, const scope& in)
{
    constexpr std::size_t brace_pair = 2;
    std::string result;
    while (true)
    {
        const auto open = text.find("{{");
        result += text.substr(0, open);
        if (open == std::string_view::npos)
            return result;
        const auto close = text.find("}}", open);
        std::string name(
            text.substr(open + brace_pair, close - open - brace_pair));
        text.remove_prefix(close + brace_pair);
        if (!name.starts_with('#'))
        {
            result += value_of(name, in);
            continue;
        }
        name.erase(0, 1);
        const auto end_tag = "{{/" + name + "}}";
        const auto end = text.find(end_tag);
        if (end == std::string_view::npos)
            throw std::invalid_argument("section '" + name + "' is not closed");
        result += render_section(text.substr(0, end),
                                 find_field(in.fields, name), in.fields);
        text.remove_prefix(end + end_tag.size());
    }
}

} // namespace

std::string render_template(std::string_view text, const json& fields)
{
    return render(text, {fields, nullptr, ""});
}

} // namespace parsleyplank::test
