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

// Divides this instance's slots in a region among the servers of its subset.
// With the whole slots of a server each, several instances could fill the same
// one.
void spread_slots(region_servers& target, std::uint32_t held)
{
    const auto servers = std::max<std::size_t>(1, target.pool.servers.size());
    const auto each =
        static_cast<std::uint32_t>((held + servers - 1) / servers);
    target.pool.options.slots_per_server =
        std::clamp(each, 1U, std::max(1U, target.slots_per_server));
}

void configure_region(region_servers& target, upstream_pool& pool,
                      const node_context& context, const config::upstream& u,
                      const region_id& region,
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
    set_capacity(pool.slots, {u.id, region}, target.slots);
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

placement::region_headroom make_room(upstream_pool& pool,
                                     const place_request& request,
                                     const region_id& region,
                                     const region_id& own, time_point now)
{
    const auto& servers =
        pool.upstreams.at(request.upstream).regions.at(region);
    placement::region_headroom room;
    room.region = region;
    room.healthy = any_usable(servers, now);
    room.spare_slots = free_slots(pool.slots, {request.upstream, region},
                                  request.deadline, now);
    room.local = region == own;
    room.spare_link_bytes =
        room.local ? 0 : spare_link_bytes(pool, region, now);
    return room;
}

std::vector<placement::region_headroom> make_rooms(upstream_pool& pool,
                                                   const place_request& request,
                                                   const region_id& own,
                                                   time_point now)
{
    const auto& regions = pool.upstreams.at(request.upstream).regions;
    std::vector<placement::region_headroom> rooms;
    std::ranges::for_each(
        preferred_regions(pool, own),
        [&](const region_id& region)
        {
            if (regions.contains(region))
                rooms.push_back(make_room(pool, request, region, own, now));
        });
    return rooms;
}

// Asks for slots where the request would have gone.
void note_shortage(upstream_pool& pool, const place_request& request,
                   const std::vector<placement::region_headroom>& rooms)
{
    const auto& weights = pool.upstreams.at(request.upstream).shift.weights;
    std::ranges::for_each(
        rooms,
        [&](const placement::region_headroom& room)
        {
            const auto it = weights.find(room.region);
            if (room.spare_slots == 0 && it != weights.end() && it->second > 0)
                note_wanted(pool.slots, {request.upstream, room.region});
        });
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
    std::ranges::for_each(
        pool.content->regions,
        [&](const config::region& region)
        {
            const auto servers = servers_in(u, region.id);
            if (!servers.empty() || state.regions.contains(region.id))
                configure_region(state.regions[region.id], pool, context, u,
                                 region.id, servers);
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

// Load that this instance may put on a region in the long run: the instances of
// a region share its slots, which they borrow from the others.
double long_run_capacity(const upstream_pool& pool,
                         const region_servers& servers, bool own)
{
    return own ? double(servers.slots) / pool.local_instances
               : double(servers.slots) * pool.share.value / ppm_total;
}

void step_upstream(upstream_pool& pool, node_context& context,
                   upstream_state& upstream)
{
    if (upstream.shift.weights.empty())
        return;
    const auto now = context.loop.now();
    const auto& own = context.config.region;
    upstream.demand +=
        demand_weight * (queued_and_in_flight(upstream) - upstream.demand);
    std::vector<placement::region_demand> demands;
    std::ranges::for_each(
        preferred_regions(pool, own),
        [&](const region_id& region)
        {
            const auto it = upstream.regions.find(region);
            if (it != upstream.regions.end())
                demands.push_back(
                    {region, any_usable(it->second, now),
                     long_run_capacity(pool, it->second, region == own)});
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
               std::uint32_t instances, std::uint32_t local_instances)
{
    set_share(pool.slots, share);
    pool.local_instances = std::max(1U, local_instances);
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
    const auto rooms = make_rooms(pool, request, own, now);
    const auto decision = placement::choose_region(
        upstream.shift.weights, rooms, request.expected_bytes, context.rng);
    if (!decision.region)
    {
        note_shortage(pool, request, rooms);
        return {std::nullopt, decision.refusal};
    }
    const slot_pool_id id{request.upstream, *decision.region};
    auto& servers = upstream.regions.at(id.region);
    spread_slots(servers, held_slots(pool.slots, id, now));
    const auto accepts = [&](const backend_server_id& server)
    {
        return !request.tried->contains(server) &&
               (request.version == nullptr ||
                servers.versions.at(server) == *request.version) &&
               placement::is_usable(servers.health, server, now);
    };
    const auto* chosen =
        placement::choose_server(servers.pool, accepts, now, context.rng);
    if (chosen == nullptr)
        return {std::nullopt, refusal_reason::no_capacity};
    const auto slot = take_slot(pool.slots, id, request.deadline, now);
    if (!slot)
        throw error("no slot of " + id.upstream.value + " in " +
                    id.region.value + " although one was counted as free");
    if (id.region != own)
        quota::take(pool.links.at(id.region), tokens(request.expected_bytes),
                    now);
    ++servers.in_flight;
    if (request.tried->empty())
        placement::record_request(upstream.retries);
    return {placed_server{id.region,
                          find_server(pool, request.upstream, *chosen), *slot},
            {}};
}

bool has_room(const upstream_pool& pool, node_context& context,
              const upstream_id& upstream)
{
    const auto now = context.loop.now();
    return std::ranges::any_of(
        pool.upstreams.at(upstream).shift.weights,
        [&](const auto& it)
        {
            return it.second > 0 &&
                   free_slots(pool.slots, {upstream, it.first}, now, now) > 0;
        });
}

void release(upstream_pool& pool, node_context& context,
             const upstream_id& upstream, const placed_server& place,
             server_result result, std::chrono::microseconds latency)
{
    const auto now = context.loop.now();
    auto& servers = pool.upstreams.at(upstream).regions.at(place.region);
    --servers.in_flight;
    give_slot_back(pool.slots, {upstream, place.region}, place.slot);
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
    LOG4CPLUS_WARN(component_logger("placement"),
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
           placement::slow_start_factor(it->second, servers.options,
                                        context.loop.now()) >= 1;
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
