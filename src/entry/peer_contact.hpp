#ifndef PARSLEYPLANK_ENTRY_PEER_CONTACT_HPP
#define PARSLEYPLANK_ENTRY_PEER_CONTACT_HPP

// Contact with the other instances: heartbeats, which carry epochs and the age
// of confirmations, and the replacement of silent connections.

#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/freshness/freshness.hpp>
#include <parsleyplank/membership/member_table.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace parsleyplank::entry
{

struct ping
{
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(nonce)
};

struct pong
{
    std::uint64_t nonce = 0;
    epoch config;
    epoch shares;
    // Age of the sender's confirmation in milliseconds; -1 if it has none.
    std::int64_t age_ms = -1;
    bool store_reachable = false;
    bool draining = false;

    MSGPACK_DEFINE_ARRAY(nonce, config, shares, age_ms, store_reachable,
                         draining)
};

struct sent_ping
{
    std::uint64_t nonce = 0;
    time_point at;
};

struct peer_contact
{
    membership::member_table members;
    freshness::state fresh;
    // One nonce serves all peers of a tick.
    std::deque<sent_ping> pings;
    std::uint64_t next_nonce = 1;
    bool draining = false;

    // Called on the control thread when a pong shows the epochs of a peer.
    std::function<void(const instance_id&, const freshness::known_epochs&)>
        on_epochs;
};

// Sends heartbeats and replaces silent connections. Call each ping interval.
void tick(peer_contact& contact, node_context& context);

// Answers a ping of a peer.
void answer_ping(peer_contact& contact, node_context& context,
                 const instance_id& from, const ping& p);

// Takes a pong; one that answers no remembered ping is ignored.
void take_pong(peer_contact& contact, node_context& context,
               const instance_id& from, incarnation life, const pong& p);

// Takes the platform's list, read from the given time on, and dials new
// members. The region is the store's.
void take_list(peer_contact& contact, node_context& context,
               const std::vector<store::listed_instance>& list,
               time_point asked_at, const region_id& store_region);

// Tells whether this instance should run a confirmation round each interval:
// it is one of the first two usable instances of its region.
bool designated(const peer_contact& contact, const node_context& context);

} // namespace parsleyplank::entry

#endif
