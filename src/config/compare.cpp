#include <parsleyplank/config/compare.hpp>
#include <parsleyplank/config/sections.hpp>
#include <parsleyplank/config/validate.hpp>

#include <type_traits>

namespace parsleyplank::config
{

namespace
{

std::string display_name(const fleet& /*v*/)
{
    return "fleet";
}

std::string display_name(const region& v)
{
    return item_name("region", v.id.value);
}

std::string display_name(const link& v)
{
    return item_name("link", v.a.value + " - " + v.b.value);
}

std::string display_name(const customer& v)
{
    return item_name("customer", v.id.value);
}

std::string display_name(const api_key& v)
{
    return key_name(v.digest);
}

std::string display_name(const client_block& v)
{
    return item_name("client block", v.prefix);
}

std::string display_name(const upstream& v)
{
    return item_name("upstream", v.id.value);
}

std::string display_name(const placed_server& v)
{
    return item_name("backend server",
                     v.upstream.value + "/" + v.server.id.value);
}

std::string display_name(const route& v)
{
    return item_name("route", v.id.value);
}

std::string display_name(const rollout& v)
{
    return item_name("rollout", v.upstream.value);
}

// Merges two lists that are sorted by key.
template <typename Item>
void compare_lists(const std::vector<Item>& from, const std::vector<Item>& to,
                   std::vector<difference>& found)
{
    auto a = from.begin();
    auto b = to.begin();
    while (a != from.end() || b != to.end())
    {
        if (b == to.end() || (a != from.end() && item_key(*a) < item_key(*b)))
            found.push_back({difference_kind::removed, display_name(*a++)});
        else if (a == from.end() || item_key(*b) < item_key(*a))
            found.push_back({difference_kind::added, display_name(*b++)});
        else
        {
            if (pack_value(*a) != pack_value(*b))
                found.push_back({difference_kind::changed, display_name(*b)});
            ++a;
            ++b;
        }
    }
}

} // namespace

std::vector<difference> compare(const bundle& from, const bundle& to)
{
    std::vector<difference> found;
    const section_lists old_lists = to_sections(from);
    const section_lists new_lists = to_sections(to);
    for_each_section(
        new_lists,
        [&]<typename List>(const char* /*name*/, const List& new_list)
        {
            // Each section has an item type of its own.
            for_each_section(
                old_lists,
                [&]<typename Other>(const char* /*name*/, const Other& old_list)
                {
                    if constexpr (std::is_same_v<List, Other>)
                        compare_lists(old_list, new_list, found);
                });
        });
    return found;
}

std::string_view to_string(difference_kind kind)
{
    switch (kind)
    {
    case difference_kind::added:
        return "added";
    case difference_kind::removed:
        return "removed";
    case difference_kind::changed:
        break;
    }
    return "changed";
}

} // namespace parsleyplank::config
