#ifndef PARSLEYPLANK_CONFIG_SECTIONS_HPP
#define PARSLEYPLANK_CONFIG_SECTIONS_HPP

// A bundle as lists of items, one per section; used to store and to compare
// bundles.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/config/model_codec.hpp>

#include <string>
#include <vector>

namespace parsleyplank::config
{

struct section_lists
{
    // One item.
    std::vector<fleet> settings;
    std::vector<region> regions;
    std::vector<link> links;
    std::vector<customer> customers;
    std::vector<api_key> keys;
    std::vector<client_block> client_blocks;
    // Without their servers.
    std::vector<upstream> upstreams;
    std::vector<placed_server> servers;
    std::vector<route> routes;
    std::vector<rollout> rollouts;
};

// Calls the function with the name of each section and its list.
template <typename Lists, typename Function>
void for_each_section(Lists& lists, Function use)
{
    use("fleet", lists.settings);
    use("regions", lists.regions);
    use("links", lists.links);
    use("customers", lists.customers);
    use("keys", lists.keys);
    use("client_blocks", lists.client_blocks);
    use("upstreams", lists.upstreams);
    use("servers", lists.servers);
    use("routes", lists.routes);
    use("rollouts", lists.rollouts);
}

// Returns the lists of a bundle, each sorted by key.
section_lists to_sections(const bundle& content);

// Returns the bundle of the lists; epoch 0. Throws codec_error if there is not
// one item of settings or if a server has no upstream.
bundle from_sections(section_lists lists);

// Returns what identifies an item in its section.
std::string item_key(const fleet& v);
std::string item_key(const region& v);
std::string item_key(const link& v);
std::string item_key(const customer& v);
std::string item_key(const api_key& v);
std::string item_key(const client_block& v);
std::string item_key(const upstream& v);
std::string item_key(const placed_server& v);
std::string item_key(const route& v);
std::string item_key(const rollout& v);

} // namespace parsleyplank::config

#endif
