#ifndef PARSLEYPLANK_EDGE_FLEET_VIEW_HPP
#define PARSLEYPLANK_EDGE_FLEET_VIEW_HPP

// Which instances are there and what they report. An instance registers under a
// lease in the store; contact between instances shows sooner that it has gone,
// and goes on while the store is away.

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

// What an instance registers in the store.
struct member_record
{
    instance_id id;
    // Start of its process in Unix milliseconds.
    std::uint64_t started_ms = 0;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    failure_domain_id domain;
    region_id region;

    bool operator==(const member_record&) const = default;

    MSGPACK_DEFINE_ARRAY(id, started_ms, address, caller_port, peer_port,
                         domain, region)
};

// Demand for one customer, which is named by the hash of its id.
struct customer_demand
{
    std::uint32_t customer = 0;
    float per_second = 0;

    bool operator==(const customer_demand&) const = default;

    MSGPACK_DEFINE_ARRAY(customer, per_second)
};

struct rollout_report
{
    service_id service;
    version_id target;
    steering::rollout_tally tally;
    // The sender has found the target bad.
    bool fault = false;

    bool operator==(const rollout_report&) const = default;

    MSGPACK_DEFINE_ARRAY(service, target, tally, fault)
};

// What an instance tells its peers at a regular interval, in one datagram.
struct member_digest
{
    instance_id id;
    std::uint64_t started_ms = 0;
    // Grows by one per digest.
    std::uint64_t sequence_number = 0;
    // The instance takes no further callers.
    bool leaving = false;
    // The instance has heard from the store lately.
    bool store_reachable = false;
    // Revision of the store up to which the instance knows all changes.
    revision store_revision;
    std::vector<customer_demand> demands;
    std::vector<rollout_report> rollouts;

    bool operator==(const member_digest&) const = default;

    MSGPACK_DEFINE_ARRAY(id, started_ms, sequence_number, leaving,
                         store_reachable, store_revision, demands, rollouts)
};

// Returns the number that stands for a customer in digests.
std::uint32_t customer_number(const customer_id& id);

struct fleet_options
{
    // Silence after which a peer counts as gone. Several digests may be lost.
    milliseconds contact_timeout{2'200};
    // A newly registered peer counts as live this long before it is heard.
    milliseconds registration_grace{1'500};
};

struct peer_state
{
    member_record record;
    // Whether the store lists it.
    bool registered = false;
    time_point registered_at{};
    time_point last_received_at{};
    member_digest digest;
};

struct fleet_view
{
    instance_id self;
    std::map<instance_id, peer_state> peers;
};

// Notes that the store lists an instance.
void put_member(fleet_view& fleet, const member_record& record, time_point now);

// Notes that the store lists an instance no longer.
void remove_member(fleet_view& fleet, const instance_id& id);

// Takes a digest. Returns whether it is new.
bool apply_digest(fleet_view& fleet, const member_digest& digest,
                  time_point now);

// Returns whether the peer was heard lately.
bool is_responsive(const peer_state& peer, const fleet_options& options,
                   time_point now);

// Returns the peers that count as live: those heard lately that are not
// leaving, and registered ones that are still to be introduced. An instance
// that hears none of its registered peers takes itself to be cut off and keeps
// to the store's list.
std::vector<const peer_state*> live_peers(const fleet_view& fleet,
                                          const fleet_options& options,
                                          time_point now);

// What the choice of a feeder depends on.
struct relay_criteria
{
    region_id region;
    // Whether this instance reaches the store.
    bool store_reachable = false;
    // From this number of instances on, one of each region watches the store
    // and passes changes on.
    std::size_t min_relay_fleet_size = 16;
};

// Returns the peer that this instance takes the changes of the store from, or
// nullptr if it watches the store itself. An instance that does not reach the
// store takes them from any peer that does, so that it still learns of
// withdrawn keys, evacuations and leaving servers.
const peer_state* choose_relay_peer(const fleet_view& fleet,
                                    const std::vector<const peer_state*>& live,
                                    const relay_criteria& criteria);

// Forgets peers that are neither registered nor heard.
void remove_expired_peers(fleet_view& fleet, const fleet_options& options,
                          time_point now);

} // namespace parsleyplank::edge

#endif
