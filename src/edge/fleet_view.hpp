#ifndef PARSLEYPLANK_EDGE_FLEET_VIEW_HPP
#define PARSLEYPLANK_EDGE_FLEET_VIEW_HPP

// Membership of the fleet: the instances that are live and their latest
// digests. An instance registers in the store under a lease. The digests that
// instances exchange detect a failed instance sooner than the lease does, and
// continue while the store is unreachable.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/edge/snapshot.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyplank::edge
{

// The registration of an instance in the store.
struct member_record
{
    instance_id id;
    // Start time of the process in Unix milliseconds. It tells a restarted
    // process from its predecessor.
    std::uint64_t started_ms = 0;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    failure_domain_id domain;
    region_id region;
    // Bandwidth of the instance's link in Mbit/s; 0 if unknown.
    double link_mbps = 0;

    bool operator==(const member_record&) const = default;

    MSGPACK_DEFINE_ARRAY(id, started_ms, address, caller_port, peer_port,
                         domain, region, link_mbps)
};

// Demand of one customer. Only former versions report it.
struct customer_demand
{
    std::uint32_t customer = 0;
    float per_second = 0;

    bool operator==(const customer_demand&) const = default;

    MSGPACK_DEFINE_ARRAY(customer, per_second)
};

// Results of the target version of a rollout at one instance.
struct rollout_report
{
    service_id service;
    version_id target;
    steering::rollout_tally tally;
    // Whether the sender has judged the target version faulty.
    bool fault = false;

    bool operator==(const rollout_report&) const = default;

    MSGPACK_DEFINE_ARRAY(service, target, tally, fault)
};

// A server that has named a limit, as one instance knows it.
struct limit_report
{
    // Identifies the process of the server, as server_number returns it.
    std::uint64_t server = 0;
    // Requests per second; negative if the limit has ended.
    double per_second = 0;
    // Age of the newest response that the report is based on.
    std::uint32_t age_ms = 0;
    // Whether the sender has requests for the server.
    bool wanted = false;

    bool operator==(const limit_report&) const = default;

    MSGPACK_DEFINE_ARRAY(server, per_second, age_ms, wanted)
};

// Admission to a service that lacks room, as one instance sees it.
struct admission_report
{
    // Identifies the service, as service_number returns it.
    std::uint32_t service = 0;
    // Priority of the customer, that of the route, and the part of that rank
    // which is admitted, in 255ths: 8 bits each, the first in the highest.
    std::uint32_t level = 0;
    // Tenths of requests per second.
    std::uint32_t arrived = 0;
    std::uint32_t admitted = 0;
    std::uint32_t unmet = 0;
    // Tenths of requests per slot.
    std::uint32_t use = 0;

    bool operator==(const admission_report&) const = default;

    MSGPACK_DEFINE_ARRAY(service, level, arrived, admitted, unmet, use)
};

// State that an instance sends to all peers at a regular interval, in one
// datagram.
struct member_digest
{
    instance_id id;
    std::uint64_t started_ms = 0;
    // Increases by one with each digest of a process.
    std::uint64_t sequence_number = 0;
    // Whether the instance is draining and must get no new callers.
    bool leaving = false;
    // Whether the store has recently answered the instance.
    bool store_reachable = false;
    // Revision of the store up to which the instance has applied all changes.
    revision store_revision;
    // Empty; keeps the places of the fields after it during an upgrade.
    std::vector<customer_demand> demands;
    std::vector<rollout_report> rollouts;
    std::vector<limit_report> limits;
    std::vector<admission_report> admission;

    bool operator==(const member_digest&) const = default;

    MSGPACK_DEFINE_ARRAY(id, started_ms, sequence_number, leaving,
                         store_reachable, store_revision, demands, rollouts,
                         limits, admission)
};

// Returns the 32-bit hash of the customer's id, which identifies the customer
// in datagrams between instances.
std::uint32_t customer_number(const customer_id& id);

// Returns the 32-bit hash of the service's id, which identifies the service in
// datagrams between instances.
std::uint32_t service_number(const service_id& id);

// Returns the hash of the id and the start time of the server, which identifies
// its process in datagrams between instances.
std::uint64_t server_number(const steering::backend_server& server);

// Returns the reports of the limits for a digest that is sent now: as many as
// fit, those of servers for which this instance has requests first.
std::vector<limit_report> make_limit_reports(std::vector<known_limit> limits,
                                             time_point now);

struct fleet_options
{
    // Time without a digest after which a peer is considered unresponsive. It
    // spans several digest intervals of a small fleet, since single datagrams
    // may be lost.
    milliseconds contact_timeout{2'200};
    // Current interval between the digests of a peer. In a large fleet a peer
    // that is registered may be silent for some intervals.
    milliseconds digest_interval{500};
    // Time after its registration during which a peer is considered live
    // without a digest.
    milliseconds registration_grace{1'500};
};

// What this instance knows about a peer.
struct peer_state
{
    member_record record;
    // Whether the store currently lists the registration.
    bool registered = false;
    time_point registered_at{};
    time_point last_received_at{};
    member_digest digest;
};

// A digest of an instance whose registration is not known yet.
struct early_digest
{
    member_digest digest;
    time_point received_at{};
};

// The other instances of the fleet as this instance sees them.
struct fleet_view
{
    instance_id self;
    std::map<instance_id, peer_state> peers;
    // An instance announces itself as soon as it is registered, and others may
    // hear that before they see the registration.
    std::map<instance_id, early_digest> early_digests;
};

// Throws codec_error if the record does not tell where the instance listens.
void check_member(const member_record& record);

// Records the registration of an instance, and the digest that was received
// before it. Ignores that of this instance itself. Returns whether it is the
// first registration of a process.
bool put_member(fleet_view& fleet, const member_record& record, time_point now);

// Records that the store no longer lists an instance. The peer stays in the
// view until remove_expired_peers finds it unresponsive.
void remove_member(fleet_view& fleet, const instance_id& id);

// Stores a digest as the latest one of its sender. Returns false and ignores
// the digest if it is not newer than the stored one, and keeps it for
// put_member if the sender is not a known peer.
bool apply_digest(fleet_view& fleet, const member_digest& digest,
                  time_point now);

// Adds the limits of servers that the peers report to a snapshot. A peer that
// is unresponsive or leaving claims no part of a limit. If all peers are
// unresponsive, this instance assumes that it is itself partitioned from the
// fleet, and all claims hold.
void add_limits(steering_snapshot& snapshot, const fleet_view& fleet,
                const fleet_options& options, time_point now);

// Returns whether the last digest of the peer is recent: at most
// contact_timeout old, or a few digest intervals if the store lists the peer.
// The lease of a registration tells in a large fleet sooner than the digests
// that a peer has ended.
bool is_responsive(const peer_state& peer, const fleet_options& options,
                   time_point now);

// Returns the live peers: those that are not leaving and are either responsive,
// or registered and still within their registration grace. If no peer is
// responsive, this instance assumes that it is itself partitioned from the
// fleet and treats all registered peers as live.
std::vector<const peer_state*> live_peers(const fleet_view& fleet,
                                          const fleet_options& options,
                                          time_point now);

// Returns the peers that are responsive and not leaving.
std::vector<const peer_state*> peers_in_touch(const fleet_view& fleet,
                                              const fleet_options& options,
                                              time_point now);

// Returns the number of registered peers that are not leaving, by region.
std::map<region_id, std::size_t> count_registered(const fleet_view& fleet);

// Removes the peers that are neither registered nor responsive, and early
// digests of the same age.
void remove_expired_peers(fleet_view& fleet, const fleet_options& options,
                          time_point now);

} // namespace parsleyplank::edge

#endif
