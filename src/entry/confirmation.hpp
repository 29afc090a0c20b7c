#ifndef PARSLEYPLANK_ENTRY_CONFIRMATION_HPP
#define PARSLEYPLANK_ENTRY_CONFIRMATION_HPP

// Confirmation rounds against the store, and the watch that makes changes known
// sooner than the next round.

#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/entry/state_feed.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace parsleyplank::entry
{

struct confirmation_rounds
{
    // Revision of this instance's own key, as far as known.
    revision own_revision;
};

// Starts a round if one is due.
void run_round(confirmation_rounds& rounds, peer_contact& contact,
               state_feed& feed, node_context& context);

// Thread that watches the prefix state/ while it is enabled.
class state_watch
{
public:
    // The feed and the context must outlive the watch.
    state_watch(state_feed& feed, node_context& context, store_factory factory);

    // Waits for the watch in flight to end.
    ~state_watch();
    state_watch(const state_watch&) = delete;
    state_watch& operator=(const state_watch&) = delete;

    // Only designated instances watch, because the store counts each waiting
    // watch as a call.
    void enable(bool on);

private:
    void work(const store_factory& factory);

    state_feed& feed;
    node_context& context;
    std::atomic<bool> enabled{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace parsleyplank::entry

#endif
