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

std::vector<part_digest> missing_parts(const manifest& description,
                                       const part_map& parts,
                                       bool with_client_blocks)
{
    std::set<part_digest> missing;
    std::ranges::for_each(description.sections,
                          [&](const section_ref& section)
                          {
                              if (section.name == client_blocks_section &&
                                  !with_client_blocks)
                                  return;
                              for_each_part(section.root, parts,
                                            [&](const part_digest& digest)
                                            {
                                                if (!parts.contains(digest))
                                                    missing.insert(digest);
                                            });
                          });
    return {missing.begin(), missing.end()};
}

std::vector<part_digest> named_parts(const manifest& description,
                                     const part_map& parts)
{
    std::set<part_digest> named;
    std::ranges::for_each(description.sections,
                          [&](const section_ref& section)
                          {
                              for_each_part(section.root, parts,
                                            [&](const part_digest& digest)
                                            { named.insert(digest); });
                          });
    return {named.begin(), named.end()};
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
