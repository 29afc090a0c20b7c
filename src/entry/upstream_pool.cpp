#include <parsleyplank/core/log.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/entry/upstream_pool.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace parsleyplank::entry
{

namespace
{

// Weight of one sample, taken each second, in the average demand.
constexpr double demand_weight = 0.3;
// A link's share may be used in bursts of this many seconds.
constexpr double link_burst_s = 1;

using config::backend_server;

std::vector<backend_server> servers_in(const config::upstream& u,
                                       const region_id& region)
{
    std::vector<backend_server> servers;
    std::ranges::copy_if(u.servers, std::back_inserter(servers),
                         [&](const backend_server& s)
                         { return s.region == region; });
    return servers;
}

std::vector<backend_server_id>
ids_of(const std::vector<backend_server>& servers)
{
    std::vector<backend_server_id> ids;
    std::ranges::transform(servers, std::back_inserter(ids),
                           &backend_server::id);
    return ids;
}

// Part of a capacity that this instance may use, rounded down so that the parts
// of all instances never exceed the whole.
std::uint32_t part_of(std::uint32_t slots, share_ppm share)
{
    return static_cast<std::uint32_t>(std::uint64_t(slots) * share.value /
                                      ppm_total);
}

// Divides this instance's part of a region's slots among the servers of its
// subset. With the whole slots of a server each, several instances could fill
// the same one.
void spread_slots(region_servers& target, share_ppm share)
{
    const auto servers = std::max<std::size_t>(1, target.pool.servers.size());
    const auto allowed = part_of(target.slots, share);
    const auto each =
        static_cast<std::uint32_t>((allowed + servers - 1) / servers);
    target.pool.options.slots_per_server =
        std::clamp(each, 1U, std::max(1U, target.slots_per_server));
}

void configure_region(region_servers& target, const upstream_pool& pool,
                      const node_context& context, const config::upstream& u,
                      const std::vector<backend_server>& servers)
{
    const auto now = context.loop.now();
    target.slots =
        static_cast<std::uint32_t>(servers.size()) * u.slots_per_server;
    target.versions.clear();
    std::ranges::for_each(servers, [&](const backend_server& s)
                          { target.versions[s.id] = s.version; });
    target.slots_per_server = u.slots_per_server;
    const auto subset = placement::choose_subset(
        context.config.id, u.id, ids_of(servers), u.connection_budget,
        pool.instances, u.slots_per_server);
    placement::set_members(target.pool, subset, now);
    placement::set_members(target.health, subset);
    spread_slots(target, pool.share);
    std::ranges::for_each(
        servers, [&](const backend_server& s)
        { placement::set_leaving(target.pool, s.id, s.leaving); });
}

std::vector<region_id> preferred_regions(const upstream_pool& pool,
                                         const region_id& own)
{
    std::vector<region_id> regions{own};
    const auto it =
        std::ranges::find(pool.content->regions, own, &config::region::id);
    if (it != pool.content->regions.end())
        std::ranges::copy(it->fallbacks, std::back_inserter(regions));
    return regions;
}

bool any_usable(const region_servers& servers, time_point now)
{
    return std::ranges::any_of(servers.pool.servers,
                               [&](const auto& it)
                               {
                                   return !it.second.leaving &&
                                          placement::is_usable(servers.health,
                                                               it.first, now);
                               });
}

double spare_link_bytes(upstream_pool& pool, const region_id& region,
                        time_point now)
{
    const auto it = pool.links.find(region);
    if (it == pool.links.end())
        return 0;
    quota::refill(it->second, now);
    return it->second.level.value;
}

placement::region_room make_room(upstream_pool& pool, upstream_state& upstream,
                                 const region_id& region, const region_id& own,
                                 time_point now)
{
    const auto& servers = upstream.regions.at(region);
    const auto allowed = part_of(servers.slots, pool.share);
    placement::region_room room;
    room.region = region;
    room.healthy = any_usable(servers, now);
    room.spare_slots = allowed - std::min(allowed, servers.in_flight);
    room.local = region == own;
    room.spare_link_bytes =
        room.local ? 0 : spare_link_bytes(pool, region, now);
    return room;
}

std::vector<placement::region_room> make_rooms(upstream_pool& pool,
                                               upstream_state& upstream,
                                               const region_id& own,
                                               time_point now)
{
    std::vector<placement::region_room> rooms;
    std::ranges::for_each(
        preferred_regions(pool, own),
        [&](const region_id& region)
        {
            if (upstream.regions.contains(region))
                rooms.push_back(make_room(pool, upstream, region, own, now));
        });
    return rooms;
}

const backend_server& find_server(const upstream_pool& pool,
                                  const upstream_id& upstream,
                                  const backend_server_id& id)
{
    const auto u = std::ranges::find(pool.content->upstreams, upstream,
                                     &config::upstream::id);
    return *std::ranges::find(u->servers, id, &backend_server::id);
}

// Weights that put everything on the first region of the order that has
// servers.
placement::region_weights first_region(const upstream_state& upstream,
                                       const std::vector<region_id>& order)
{
    placement::region_weights weights;
    const auto it =
        std::ranges::find_if(order, [&](const region_id& r)
                             { return upstream.regions.contains(r); });
    if (it != order.end())
        weights[*it] = ppm_total;
    return weights;
}

void configure_links(upstream_pool& pool, node_context& context)
{
    const auto now = context.loop.now();
    const auto& own = context.config.region;
    const double part = double(pool.share.value) / ppm_total;
    std::ranges::for_each(pool.content->links,
                          [&](const config::link& l)
                          {
                              if (l.a != own && l.b != own)
                                  return;
                              const auto& other = l.a == own ? l.b : l.a;
                              const token_rate rate(l.capacity.value * part);
                              const tokens burst(rate.value * link_burst_s);
                              auto [it, added] = pool.links.try_emplace(
                                  other, quota::empty_bucket(rate, burst, now));
                              if (!added)
                                  quota::resize(it->second, rate, burst, now);
                          });
}

void configure_upstream(upstream_pool& pool, node_context& context,
                        const config::upstream& u)
{
    auto& state = pool.upstreams[u.id];
    std::ranges::for_each(pool.content->regions,
                          [&](const config::region& region)
                          {
                              const auto servers = servers_in(u, region.id);
                              if (!servers.empty() ||
                                  state.regions.contains(region.id))
                                  configure_region(state.regions[region.id],
                                                   pool, context, u, servers);
                          });
    if (state.shift.weights.empty())
    {
        const auto weights =
            first_region(state, preferred_regions(pool, context.config.region));
        if (!weights.empty())
            state.shift = placement::start_shift(weights, context.loop.now());
    }
}

double queued_and_in_flight(const upstream_state& upstream)
{
    double n = static_cast<double>(upstream.queue.size);
    std::ranges::for_each(upstream.regions,
                          [&](const auto& it) { n += it.second.in_flight; });
    return n;
}

void step_upstream(upstream_pool& pool, node_context& context,
                   upstream_state& upstream)
{
    if (upstream.shift.weights.empty())
        return;
    const auto now = context.loop.now();
    upstream.demand +=
        demand_weight * (queued_and_in_flight(upstream) - upstream.demand);
    std::vector<placement::region_demand> demands;
    std::ranges::for_each(
        preferred_regions(pool, context.config.region),
        [&](const region_id& region)
        {
            const auto it = upstream.regions.find(region);
            if (it != upstream.regions.end())
                demands.push_back(
                    {region, any_usable(it->second, now),
                     double(part_of(it->second.slots, pool.share))});
        });
    const auto& settings = pool.content->settings;
    placement::step_shift(upstream.shift,
                          placement::target_weights(demands, upstream.demand),
                          {settings.shift_cap, settings.shift_interval}, now);
}

} // namespace

void configure(upstream_pool& pool, node_context& context,
               std::shared_ptr<const config::bundle> content)
{
    pool.content = std::move(content);
    std::ranges::for_each(pool.content->upstreams,
                          [&](const config::upstream& u)
                          { configure_upstream(pool, context, u); });
    configure_links(pool, context);
}

void set_share(upstream_pool& pool, node_context& context, share_ppm share,
               std::uint32_t instances)
{
    if (pool.share == share && pool.instances == instances)
        return;
    pool.share = share;
    pool.instances = std::max(1U, instances);
    if (pool.content)
        configure(pool, context, pool.content);
}

void step_weights(upstream_pool& pool, node_context& context)
{
    std::ranges::for_each(pool.upstreams, [&](auto& it)
                          { step_upstream(pool, context, it.second); });
}

place_result place(upstream_pool& pool, node_context& context,
                   const place_request& request)
{
    auto& upstream = pool.upstreams.at(request.upstream);
    const auto now = context.loop.now();
    const auto& own = context.config.region;
    const auto rooms = make_rooms(pool, upstream, own, now);
    const auto decision = placement::choose_region(
        upstream.shift.weights, rooms, request.expected_bytes, context.rng);
    if (!decision.region)
        return {std::nullopt, decision.refusal};
    auto& servers = upstream.regions.at(*decision.region);
    const auto accepts = [&](const backend_server_id& id)
    {
        return !request.tried->contains(id) &&
               (request.version == nullptr ||
                servers.versions.at(id) == *request.version) &&
               placement::is_usable(servers.health, id, now);
    };
    const auto* chosen =
        placement::choose_server(servers.pool, accepts, now, context.rng);
    if (chosen == nullptr)
        return {std::nullopt, refusal_reason::no_capacity};
    if (*decision.region != own)
        quota::take(pool.links.at(*decision.region),
                    tokens(request.expected_bytes), now);
    ++servers.in_flight;
    if (request.tried->empty())
        placement::record_request(upstream.retries);
    return {placed_server{*decision.region,
                          find_server(pool, request.upstream, *chosen)},
            {}};
}

bool has_room(const upstream_pool& pool, const upstream_state& upstream)
{
    return std::ranges::any_of(
        upstream.shift.weights,
        [&](const auto& it)
        {
            const auto& servers = upstream.regions.at(it.first);
            return it.second > 0 &&
                   servers.in_flight < part_of(servers.slots, pool.share);
        });
}

void release(upstream_pool& pool, node_context& context,
             const upstream_id& upstream, const placed_server& place,
             server_result result, std::chrono::microseconds latency)
{
    const auto now = context.loop.now();
    auto& servers = pool.upstreams.at(upstream).regions.at(place.region);
    --servers.in_flight;
    const bool measured = result == server_result::success;
    placement::finish_request(servers.pool, place.server.id,
                              measured ? latency : std::chrono::microseconds(0),
                              now);
    if (result == server_result::neutral)
        return;
    const bool ejected = placement::record_result(
        servers.health, place.server.id, measured, now);
    if (!ejected)
        return;
    // Its caches are cold when it returns.
    placement::restart_slow_start(servers.pool, place.server.id, now);
    LOG4CPLUS_WARN(part_logger("placement"),
                   place.server.id.value
                       << " is ejected after failed requests.");
}

bool warm(const upstream_pool& pool, node_context& context,
          const upstream_id& upstream, const placed_server& place)
{
    const auto& servers =
        pool.upstreams.at(upstream).regions.at(place.region).pool;
    const auto it = servers.servers.find(place.server.id);
    return it != servers.servers.end() &&
           placement::ramp(it->second, servers.options, context.loop.now()) >=
               1;
}

std::uint32_t in_flight(const upstream_pool& pool)
{
    std::uint32_t n = 0;
    std::ranges::for_each(pool.upstreams,
                          [&](const auto& it)
                          {
                              std::ranges::for_each(
                                  it.second.regions, [&](const auto& servers)
                                  { n += servers.second.in_flight; });
                          });
    return n;
}

} // namespace parsleyplank::entry
