#include <parsleyplank/config/sections.hpp>
#include <parsleyplank/core/error.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace parsleyplank::config
{

std::string item_key(const fleet& /*v*/)
{
    return "";
}

std::string item_key(const region& v)
{
    return v.id.value;
}

std::string item_key(const link& v)
{
    return v.a.value + " " + v.b.value;
}

std::string item_key(const customer& v)
{
    return v.id.value;
}

std::string item_key(const api_key& v)
{
    return v.digest;
}

std::string item_key(const client_block& v)
{
    return v.prefix;
}

std::string item_key(const upstream& v)
{
    return v.id.value;
}

std::string item_key(const placed_server& v)
{
    return v.upstream.value + " " + v.server.id.value;
}

std::string item_key(const route& v)
{
    return v.id.value;
}

std::string item_key(const rollout& v)
{
    return v.upstream.value;
}

section_lists to_sections(const bundle& content)
{
    section_lists lists{{content.settings}, content.regions,
                        content.links,      content.customers,
                        content.keys,       content.client_blocks,
                        content.upstreams,  {},
                        content.routes,     content.rollouts};
    std::ranges::for_each(lists.upstreams,
                          [&](upstream& up)
                          {
                              std::ranges::for_each(
                                  up.servers,
                                  [&](const backend_server& server) {
                                      lists.servers.push_back({up.id, server});
                                  });
                              up.servers.clear();
                          });
    for_each_section(lists,
                     [](const char* /*name*/, auto& list)
                     {
                         std::ranges::stable_sort(list, {},
                                                  [](const auto& v)
                                                  { return item_key(v); });
                     });
    return lists;
}

bundle from_sections(section_lists lists)
{
    if (lists.settings.size() != 1)
        throw codec_error("configuration with " +
                          std::to_string(lists.settings.size()) +
                          " fleet sections; 1 expected");
    std::unordered_map<upstream_id, upstream*> by_id;
    std::ranges::for_each(lists.upstreams,
                          [&](upstream& up) { by_id[up.id] = &up; });
    std::ranges::for_each(
        lists.servers,
        [&](placed_server& placed)
        {
            const auto it = by_id.find(placed.upstream);
            if (it == by_id.end())
                throw codec_error("backend server \"" + placed.server.id.value +
                                  "\" of the missing upstream \"" +
                                  placed.upstream.value + "\"");
            it->second->servers.push_back(std::move(placed.server));
        });
    return {{},
            std::move(lists.settings.front()),
            std::move(lists.regions),
            std::move(lists.links),
            std::move(lists.customers),
            std::move(lists.keys),
            std::move(lists.client_blocks),
            std::move(lists.upstreams),
            std::move(lists.routes),
            std::move(lists.rollouts)};
}

} // namespace parsleyplank::config
