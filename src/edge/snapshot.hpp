#ifndef PARSLEYPLANK_EDGE_SNAPSHOT_HPP
#define PARSLEYPLANK_EDGE_SNAPSHOT_HPP

// Data exchanged between the control thread and the traffic thread. Snapshots
// are immutable and replaced as a whole.

#include <parsleyplank/quota/token_stock.hpp>
#include <parsleyplank/steering/admission.hpp>
#include <parsleyplank/steering/directory.hpp>
#include <parsleyplank/steering/rate_share.hpp>
#include <parsleyplank/steering/rollout_plan.hpp>
#include <parsleyplank/steering/routing_table.hpp>
#include <parsleyplank/steering/server_registry.hpp>
#include <parsleyplank/usage/window.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyplank::edge
{

// Division of the requests of a service among its versions.
struct version_policy
{
    // Versions that were found faulty and get no requests.
    std::set<version_id> rejected;
    // Target version of a rollout, if any, and its share of the requests.
    std::optional<version_id> target;
    share_ppm target_share{0};
    // Whether the results of the versions are counted and compared.
    bool compared = false;
};

// What the peers report of a server that has named a limit.
struct peer_limit
{
    // Nullopt if the limit has ended.
    std::optional<token_rate> rate;
    // Time of the newest response that a peer reports.
    time_point heard{};
    // Peers that have requests for the server, and those that say that they
    // have none.
    std::vector<steering::fleet_member> claimants;
    std::set<instance_id> without_requests;
};

struct steering_snapshot
{
    // Null until a configuration is known.
    std::shared_ptr<const steering::routing_table> routing;
    // Servers that may get new requests.
    std::unordered_map<service_id, std::vector<steering::server_ptr>> servers;
    std::unordered_map<service_id, version_policy> versions;
    // Live instances, including this one unless it is draining.
    std::vector<steering::directory_instance> instances;
    std::vector<steering::fleet_member> members;
    // Instances that are registered in the store, by region. Unlike the live
    // ones, these are the same in all snapshots of the fleet, and don't change
    // with the arrival of digests.
    std::map<region_id, std::size_t> registered;
    // How the rates of customers are divided, and the instances that tokens are
    // exchanged with: those that this one is in touch with, and itself unless
    // it is draining.
    quota::rate_division rates;
    std::vector<steering::fleet_member> token_peers;
    // Limits that servers have named, by the number of the server in messages.
    std::unordered_map<std::uint64_t, peer_limit> limits;
    // What the peers of this region report of the services that lack room, by
    // the number of the service in messages.
    std::unordered_map<std::uint32_t, std::vector<steering::peer_admission>>
        admission;
    // Time until the peers know a new claim of this instance to a limit.
    milliseconds claim_delay{0};
    // False after a pause of the process until the store has been read again;
    // nothing in the snapshot may be used then.
    bool confirmed = true;
    // Time of the last contact with the store.
    time_point last_store_contact{};
    bool draining = false;
    // Time at which this process ends even if requests are still in progress,
    // if it is draining.
    std::optional<time_point> stop_at;
    // Requests that were received later are passed on only if their deadline is
    // before stop_at.
    std::optional<time_point> late_from;
};

using snapshot_ptr = std::shared_ptr<const steering_snapshot>;

// Results by service and target version.
using tally_table =
    std::map<std::pair<service_id, version_id>, steering::rollout_tally>;

// A server that has named a limit, as this instance knows it.
struct known_limit
{
    // Identifies the process of the server in messages.
    std::uint64_t server = 0;
    // Nullopt if the limit has ended.
    std::optional<token_rate> rate;
    time_point heard{};
    // Whether this instance has requests for the server.
    bool wanted = false;
};

// Admission to a service that lacks room at this instance.
struct known_admission
{
    service_id service;
    steering::peer_admission admission;
};

// Counts of the traffic thread since its start, and its present state.
struct traffic_report
{
    tally_table tallies;
    std::vector<known_limit> limits;
    // Changes of the usage counts since the last report.
    usage::window_counts usage_changes;
    std::vector<known_admission> admission;
    // One line for the log for each level of admission that has changed.
    std::vector<std::string> level_changes;
};

} // namespace parsleyplank::edge

#endif
