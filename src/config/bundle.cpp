#include <parsleyplank/config/bundle.hpp>
#include <parsleyplank/config/sections.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/hash.hpp>

#include <algorithm>
#include <set>

namespace parsleyplank::config
{

namespace
{

constexpr const char* manifest_name = "configuration manifest";

struct coded_section
{
    std::string name;
    std::vector<char> root;

    MSGPACK_DEFINE_ARRAY(name, root)
};

struct coded_manifest
{
    std::uint32_t format = 0;
    std::vector<change> changes;
    std::vector<coded_section> sections;

    MSGPACK_DEFINE_ARRAY(format, changes, sections)
};

const section_ref* find_section(const manifest& description,
                                const std::string& name)
{
    const auto it =
        std::ranges::find(description.sections, name, &section_ref::name);
    return it == description.sections.end() ? nullptr : &*it;
}

template <typename Item>
std::vector<tree_item> to_tree_items(const std::vector<Item>& list)
{
    std::vector<tree_item> items;
    items.reserve(list.size());
    std::ranges::transform(
        list, std::back_inserter(items),
        [](const Item& v) {
            return tree_item{hash64(item_key(v)), pack_value(v)};
        });
    return items;
}

} // namespace

epoch manifest::epoch() const
{
    return changes.empty() ? parsleyplank::epoch() : changes.front().epoch;
}

encoded_bundle encode_bundle(const bundle& content)
{
    encoded_bundle encoded;
    const section_lists lists = to_sections(content);
    for_each_section(lists,
                     [&](const char* name, const auto& list)
                     {
                         const auto items = to_tree_items(list);
                         encoded.sections.push_back(
                             {name, build_tree(items, encoded.parts)});
                     });
    return encoded;
}

bundle decode_bundle(const manifest& description, const part_map& parts,
                     bool with_client_blocks)
{
    section_lists lists;
    for_each_section(
        lists,
        [&]<typename Item>(const std::string& name, std::vector<Item>& list)
        {
            const auto* const section = find_section(description, name);
            if (section == nullptr ||
                (name == client_blocks_section && !with_client_blocks))
                return;
            for_each_item(section->root, parts,
                          [&](const msgpack::object& o)
                          { list.push_back(o.as<Item>()); });
        });
    bundle content = from_sections(std::move(lists));
    content.epoch = description.epoch();
    return content;
}

void for_each_client_block(const manifest& description, const part_map& parts,
                           const std::function<void(const client_block&)>& use)
{
    const auto* const section =
        find_section(description, client_blocks_section);
    if (section != nullptr)
        for_each_item(section->root, parts,
                      [&](const msgpack::object& o)
                      { use(o.as<client_block>()); });
}

bool same_client_blocks(const manifest& a, const manifest& b)
{
    const auto same = [&](const char* name)
    {
        const auto* const x = find_section(a, name);
        const auto* const y = find_section(b, name);
        return x == y || (x != nullptr && y != nullptr && *x == *y);
    };
    return same("regions") && same(client_blocks_section);
}

std::vector<part_digest> missing_parts(const manifest& description,
                                       const part_map& parts,
                                       bool with_client_blocks,
                                       std::span<const part_digest> complete)
{
    std::set<part_digest> missing;
    const auto look_at = [&](const part_digest& digest)
    {
        if (std::ranges::binary_search(complete, digest))
            return false;
        if (!parts.contains(digest))
            missing.insert(digest);
        return true;
    };
    std::ranges::for_each(description.sections,
                          [&](const section_ref& section)
                          {
                              if (with_client_blocks ||
                                  section.name != client_blocks_section)
                                  for_each_part(section.root, parts, look_at);
                          });
    return {missing.begin(), missing.end()};
}

std::vector<part_digest> named_parts(const manifest& description,
                                     const part_map& parts)
{
    std::vector<part_digest> named;
    const auto look_at = [&](const part_digest& digest)
    {
        named.push_back(digest);
        return true;
    };
    std::ranges::for_each(description.sections, [&](const section_ref& section)
                          { for_each_part(section.root, parts, look_at); });
    std::ranges::sort(named);
    named.erase(std::unique(named.begin(), named.end()), named.end());
    return named;
}

std::string encode_manifest(const manifest& description)
{
    coded_manifest coded{bundle_format, description.changes, {}};
    std::ranges::transform(
        description.sections, std::back_inserter(coded.sections),
        [](const section_ref& section)
        {
            const auto root = to_bytes(section.root);
            return coded_section{section.name, {root.begin(), root.end()}};
        });
    auto bytes = pack_value(coded);
    if (bytes.size() > max_part_bytes)
        throw config_error(std::string(manifest_name) + " takes " +
                           std::to_string(bytes.size()) +
                           " bytes; shorten the publisher's name");
    return bytes;
}

manifest decode_manifest(std::string_view bytes)
{
    const auto coded = unpack_value<coded_manifest>(bytes, manifest_name);
    if (coded.format != bundle_format)
        throw codec_error(std::string(manifest_name) + " of format " +
                          std::to_string(coded.format) + "; this program " +
                          "reads format " + std::to_string(bundle_format));
    if (coded.changes.empty())
        throw codec_error(std::string(manifest_name) + " without a change");
    manifest description{coded.changes, {}};
    std::ranges::transform(
        coded.sections, std::back_inserter(description.sections),
        [](const coded_section& section)
        {
            return section_ref{section.name, from_bytes({section.root.data(),
                                                         section.root.size()})};
        });
    return description;
}

} // namespace parsleyplank::config
