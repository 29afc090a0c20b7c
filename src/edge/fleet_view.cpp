#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/ip_address.hpp>
#include <parsleyplank/edge/fleet_view.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace parsleyplank::edge
{

namespace
{

// Maximum number of digests of unknown instances, which bounds the memory for
// datagrams of any origin.
constexpr std::size_t max_early_digests = 512;

// Maximum number of limits in one digest.
constexpr std::size_t max_limit_reports = 64;

bool is_leaving(const peer_state& peer)
{
    return peer.digest.leaving &&
           peer.digest.started_ms >= peer.record.started_ms;
}

// Returns whether no peer is responsive.
bool is_partitioned(const fleet_view& fleet, const fleet_options& options,
                    time_point now)
{
    return std::ranges::none_of(
        fleet.peers,
        [&](const auto& it) { return is_responsive(it.second, options, now); });
}

} // namespace

std::uint32_t customer_number(const customer_id& id)
{
    return static_cast<std::uint32_t>(hash64(id.value));
}

std::uint32_t service_number(const service_id& id)
{
    return static_cast<std::uint32_t>(hash64(id.value));
}

std::uint64_t server_number(const steering::backend_server& server)
{
    return hash64(server.id.value,
                  static_cast<std::uint64_t>(server.started_ms));
}

std::vector<limit_report> make_limit_reports(std::vector<known_limit> limits,
                                             time_point now)
{
    std::stable_partition(limits.begin(), limits.end(),
                          [](const known_limit& it) { return it.wanted; });
    limits.resize(std::min(limits.size(), max_limit_reports));
    std::vector<limit_report> reports;
    for (const auto& it : limits)
    {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - it.heard);
        reports.push_back({it.server, it.rate ? it.rate->value : -1,
                           static_cast<std::uint32_t>(age.count()), it.wanted});
    }
    return reports;
}

void add_limits(steering_snapshot& snapshot, const fleet_view& fleet,
                const fleet_options& options, time_point now)
{
    // The first digest after a new claim, and the next one if that is lost.
    snapshot.claim_delay = options.digest_interval * 2;
    // An instance that is cut off from all peers must not take their parts.
    const bool partitioned = is_partitioned(fleet, options, now);
    for (const auto& [id, peer] : fleet.peers)
        for (const auto& it : peer.digest.limits)
        {
            auto& limit = snapshot.limits[it.server];
            const auto heard = peer.last_received_at - milliseconds(it.age_ms);
            if (heard > limit.heard)
            {
                limit.heard = heard;
                limit.rate = it.per_second < 0
                                 ? std::nullopt
                                 : std::optional(token_rate(it.per_second));
            }
            if (!it.wanted)
                limit.without_requests.insert(id);
            else if (!is_leaving(peer) &&
                     (partitioned || is_responsive(peer, options, now)))
                limit.claimants.push_back(
                    {id, peer.record.domain, peer.record.region, {}});
        }
}

void check_member(const member_record& record)
{
    if (!is_ip_address(record.address))
        throw codec_error("member '" + record.id.value + "': '" +
                          record.address + "' is not an IP address");
    // The port after peer_port is used as well.
    if (record.caller_port == 0 || record.peer_port == 0 ||
        record.peer_port == std::numeric_limits<std::uint16_t>::max())
        throw codec_error("member '" + record.id.value +
                          "': port out of range");
    if (!std::isfinite(record.link_mbps) || record.link_mbps < 0)
        throw codec_error("member '" + record.id.value +
                          "': bandwidth out of range");
}

bool put_member(fleet_view& fleet, const member_record& record, time_point now)
{
    if (record.id == fleet.self)
        return false;
    auto& peer = fleet.peers[record.id];
    const bool first = peer.record.started_ms != record.started_ms;
    if (first)
        peer.registered_at = now;
    peer.record = record;
    peer.registered = true;
    if (const auto early = fleet.early_digests.extract(record.id))
        apply_digest(fleet, early.mapped().digest, early.mapped().received_at);
    return first;
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
    {
        if (fleet.early_digests.size() < max_early_digests ||
            fleet.early_digests.contains(digest.id))
            fleet.early_digests[digest.id] = {digest, now};
        return false;
    }
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
    // Two digests in a row may be lost.
    constexpr int max_silent_intervals = 3;
    const auto timeout =
        peer.registered
            ? std::max(options.contact_timeout,
                       options.digest_interval * max_silent_intervals)
            : options.contact_timeout;
    return peer.last_received_at != time_point{} &&
           now - peer.last_received_at <= timeout;
}

std::vector<const peer_state*> live_peers(const fleet_view& fleet,
                                          const fleet_options& options,
                                          time_point now)
{
    const bool partitioned = is_partitioned(fleet, options, now);
    std::vector<const peer_state*> live;
    for (const auto& [id, it] : fleet.peers)
    {
        const bool grace_expired =
            now - it.registered_at > options.registration_grace;
        if (!is_leaving(it) &&
            (is_responsive(it, options, now) ||
             (it.registered && (!grace_expired || partitioned))))
            live.push_back(&it);
    }
    return live;
}

std::vector<const peer_state*> peers_in_touch(const fleet_view& fleet,
                                              const fleet_options& options,
                                              time_point now)
{
    std::vector<const peer_state*> found;
    for (const auto& [id, it] : fleet.peers)
        if (!is_leaving(it) && is_responsive(it, options, now))
            found.push_back(&it);
    return found;
}

std::map<region_id, std::size_t> count_registered(const fleet_view& fleet)
{
    std::map<region_id, std::size_t> counts;
    for (const auto& [id, it] : fleet.peers)
        if (it.registered && !is_leaving(it))
            ++counts[it.record.region];
    return counts;
}

void remove_expired_peers(fleet_view& fleet, const fleet_options& options,
                          time_point now)
{
    std::erase_if(fleet.peers,
                  [&](const auto& it) {
                      return !it.second.registered &&
                             !is_responsive(it.second, options, now);
                  });
    std::erase_if(
        fleet.early_digests, [&](const auto& it)
        { return now - it.second.received_at > options.contact_timeout; });
}

} // namespace parsleyplank::edge
