#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/edge/relay_tree.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <span>
#include <tuple>

namespace parsleyplank::edge
{

namespace
{

// Number of instances of a region that watch the store. The digests of the
// second one give the revision of the store, so that the others notice when the
// first one is cut off from it.
constexpr std::size_t watchers_per_region = 2;

// Number of peers that an instance tries before it watches the store.
constexpr std::size_t max_relays = 2;

// An instance of the region. The peer is nullptr for this instance itself.
struct tree_node
{
    const peer_state* peer = nullptr;
    bool store_reachable = false;
    double link_mbps = 0;
    std::uint64_t weight = 0;
};

tree_node make_node(const peer_state& peer)
{
    return {&peer, peer.digest.store_reachable, peer.record.link_mbps,
            rendezvous_weight("store relay", peer.record.id.value)};
}

tree_node make_own_node(const instance_id& self, const relay_criteria& criteria)
{
    return {nullptr, criteria.store_reachable, criteria.link_mbps,
            rendezvous_weight("store relay", self.value)};
}

// Sorts the instances that reach the store first, then by descending bandwidth.
// Each instance comes after its relay, so that instances that know the same
// fleet can't watch each other in a circle.
void sort_nodes(std::vector<tree_node>& nodes)
{
    std::ranges::sort(
        nodes, std::ranges::greater(),
        [](const tree_node& it)
        { return std::tuple(it.store_reachable, it.link_mbps, it.weight); });
}

std::size_t count_roots(std::span<const tree_node> nodes)
{
    const auto reachable = static_cast<std::size_t>(
        std::ranges::count_if(nodes, &tree_node::store_reachable));
    return std::min(watchers_per_region,
                    reachable == 0 ? nodes.size() : reachable);
}

// Returns how many instances the next level holds.
std::size_t total_fan_out(std::span<const tree_node> level)
{
    return std::accumulate(level.begin(), level.end(), std::size_t(0),
                           [](std::size_t sum, const tree_node& it)
                           { return sum + relay_fan_out(it.link_mbps); });
}

// Returns the level above this instance, which is among the nodes; empty if it
// is a root.
std::span<const tree_node> level_above_self(std::span<const tree_node> nodes)
{
    std::span<const tree_node> above;
    auto level = nodes.first(count_roots(nodes));
    while (std::ranges::find(level, nullptr, &tree_node::peer) == level.end())
    {
        nodes = nodes.subspan(level.size());
        above = level;
        level = nodes.first(std::min(nodes.size(), total_fan_out(above)));
    }
    return above;
}

// Returns the relays by the preference of this instance. Of many instances,
// each prefers a relay with a probability that is proportional to the fan-out
// of the relay (weighted rendezvous hashing).
std::vector<const peer_state*> by_preference(const instance_id& self,
                                             std::span<const tree_node> relays)
{
    struct ranked_relay
    {
        double cost = 0;
        const peer_state* peer = nullptr;
    };
    std::vector<ranked_relay> ranked;
    std::ranges::transform(
        relays, std::back_inserter(ranked),
        [&](const tree_node& it)
        {
            const auto draw = hash_fraction(
                rendezvous_weight(self.value, it.peer->record.id.value));
            const auto weight =
                static_cast<double>(relay_fan_out(it.link_mbps));
            return ranked_relay{-std::log(draw) / weight, it.peer};
        });
    const auto n = std::min(max_relays, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<long>(n), {},
                              &ranked_relay::cost);
    std::vector<const peer_state*> preferred;
    std::ranges::transform(ranked.begin(),
                           ranked.begin() + static_cast<long>(n),
                           std::back_inserter(preferred), &ranked_relay::peer);
    return preferred;
}

} // namespace

std::size_t relay_fan_out(double link_mbps)
{
    // A change of 250 kB is sent to all peers within a quarter of a second.
    constexpr double mbps_per_peer = 8;
    // Fewer make the tree of a large region deep, and each level takes time.
    constexpr double min_fan_out = 4;
    constexpr double max_fan_out = 16;
    return static_cast<std::size_t>(
        std::clamp(link_mbps / mbps_per_peer, min_fan_out, max_fan_out));
}

std::size_t max_relayed_watches(double link_mbps)
{
    return relay_fan_out(link_mbps) * 2;
}

std::vector<const peer_state*>
choose_relays(const fleet_view& fleet,
              const std::vector<const peer_state*>& live,
              const relay_criteria& criteria)
{
    if (criteria.store_reachable &&
        live.size() + 1 < criteria.min_relay_fleet_size)
        return {};
    std::vector<tree_node> nodes{make_own_node(fleet.self, criteria)};
    for (const auto* it : live)
        if (it->record.region == criteria.region)
            nodes.push_back(make_node(*it));
    sort_nodes(nodes);
    const auto above = level_above_self(nodes);
    if (!above.empty())
        return by_preference(fleet.self, above);
    if (criteria.store_reachable)
        return {};
    std::vector<tree_node> elsewhere;
    for (const auto* it : live)
        if (it->digest.store_reachable)
            elsewhere.push_back(make_node(*it));
    return by_preference(fleet.self, elsewhere);
}

std::vector<const peer_state*>
find_store_watchers(const fleet_view& fleet,
                    const std::vector<const peer_state*>& live,
                    const relay_criteria& criteria)
{
    if (live.size() + 1 < criteria.min_relay_fleet_size)
        return {};
    std::map<region_id, std::vector<tree_node>> regions;
    regions[criteria.region].push_back(make_own_node(fleet.self, criteria));
    for (const auto* it : live)
        regions[it->record.region].push_back(make_node(*it));
    std::vector<const peer_state*> watchers;
    for (auto& [region, nodes] : regions)
    {
        sort_nodes(nodes);
        for (const auto& it :
             std::span<const tree_node>(nodes).first(count_roots(nodes)))
            if (it.peer != nullptr)
                watchers.push_back(it.peer);
    }
    return watchers;
}

} // namespace parsleyplank::edge
