#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/edge/fleet_view.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::edge
{

namespace
{

// Number of instances of a region that watch the store. The digests of the
// second one give the revision of the store, so that the others notice when the
// first one is cut off from it.
constexpr std::ptrdiff_t watchers_per_region = 2;

} // namespace

std::uint32_t customer_number(const customer_id& id)
{
    return static_cast<std::uint32_t>(hash64(id.value));
}

void put_member(fleet_view& fleet, const member_record& record, time_point now)
{
    if (record.id == fleet.self)
        return;
    auto& peer = fleet.peers[record.id];
    if (peer.record.started_ms != record.started_ms)
        peer.registered_at = now;
    peer.record = record;
    peer.registered = true;
}

void remove_member(fleet_view& fleet, const instance_id& id)
{
    const auto it = fleet.peers.find(id);
    if (it != fleet.peers.end())
        it->second.registered = false;
}

bool apply_digest(fleet_view& fleet, const member_digest& digest,
                  time_point now)
{
    const auto it = fleet.peers.find(digest.id);
    if (it == fleet.peers.end())
        return false;
    auto& peer = it->second;
    const auto order = [](const member_digest& d)
    {
        return std::pair(d.started_ms, d.sequence_number);
    };
    if (peer.last_received_at != time_point{} &&
        order(digest) <= order(peer.digest))
        return false;
    peer.digest = digest;
    peer.last_received_at = now;
    return true;
}

bool is_responsive(const peer_state& peer, const fleet_options& options,
                   time_point now)
{
    return peer.last_received_at != time_point{} &&
           now - peer.last_received_at <= options.contact_timeout;
}

std::vector<const peer_state*> live_peers(const fleet_view& fleet,
                                          const fleet_options& options,
                                          time_point now)
{
    const bool partitioned = std::ranges::none_of(
        fleet.peers,
        [&](const auto& it) { return is_responsive(it.second, options, now); });
    std::vector<const peer_state*> live;
    for (const auto& [id, it] : fleet.peers)
    {
        const bool leaving =
            it.digest.leaving && it.digest.started_ms >= it.record.started_ms;
        const bool grace_expired =
            now - it.registered_at > options.registration_grace;
        if (!leaving && (is_responsive(it, options, now) ||
                         (it.registered && (!grace_expired || partitioned))))
            live.push_back(&it);
    }
    return live;
}

const peer_state* choose_relay_peer(const fleet_view& fleet,
                                    const std::vector<const peer_state*>& live,
                                    const relay_criteria& criteria)
{
    if (criteria.store_reachable &&
        live.size() + 1 < criteria.min_relay_fleet_size)
        return nullptr;
    std::vector<instance_id> same_region;
    std::vector<instance_id> any_region;
    for (const auto* it : live)
    {
        if (!it->digest.store_reachable)
            continue;
        any_region.push_back(it->record.id);
        if (it->record.region == criteria.region)
            same_region.push_back(it->record.id);
    }
    if (criteria.store_reachable)
        same_region.push_back(fleet.self);
    const auto order = rendezvous_order(
        "store feeder", same_region.empty() ? any_region : same_region);
    const auto self = std::ranges::find(order, fleet.self);
    const bool watches_store =
        self != order.end() && self - order.begin() < watchers_per_region;
    if (order.empty() || watches_store)
        return nullptr;
    return &fleet.peers.at(order.front());
}

void remove_expired_peers(fleet_view& fleet, const fleet_options& options,
                          time_point now)
{
    std::erase_if(fleet.peers,
                  [&](const auto& it) {
                      return !it.second.registered &&
                             !is_responsive(it.second, options, now);
                  });
}

} // namespace parsleyplank::edge
