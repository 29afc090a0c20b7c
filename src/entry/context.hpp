#ifndef PARSLEYPLANK_ENTRY_CONTEXT_HPP
#define PARSLEYPLANK_ENTRY_CONTEXT_HPP

// What the parts of the control thread share: the process's settings and its
// ways to the outside.

#include <parsleyplank/entry/event_loop.hpp>
#include <parsleyplank/entry/settings.hpp>
#include <parsleyplank/entry/snapshot.hpp>
#include <parsleyplank/entry/store_pool.hpp>
#include <parsleyplank/peer/transport.hpp>
#include <parsleyplank/telemetry/metrics.hpp>

#include <random>
#include <span>

namespace parsleyplank::entry
{

struct node_context
{
    const settings& config;
    const clock& time;
    event_loop& loop;
    // Confirmation rounds have a thread of their own, so that a backlog of
    // writes can't make this instance stale.
    store_pool& round_jobs;
    store_pool& store_jobs;
    peer::transport& peers;
    telemetry::metrics& counters;
    snapshot_slot& snapshot;
    // Spreads load; no invariant depends on it.
    std::mt19937_64 rng;
};

// Packs the body and sends it. Returns false if it was dropped.
template <typename Body>
bool send_to(node_context& context, const instance_id& to,
             peer::message_kind kind, const Body& body)
{
    return context.peers.send(to, kind, pack_value(body));
}

} // namespace parsleyplank::entry

#endif
