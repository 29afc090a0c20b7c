#ifndef PARSLEYPLANK_EDGE_STORE_FEED_HPP
#define PARSLEYPLANK_EDGE_STORE_FEED_HPP

// Follows the keys of the store on a thread of its own: one listing, then
// watches from its revision on. Watches a peer that passes the changes on
// instead, if there is one.

#include <parsleyplank/steering/server_registry.hpp>
#include <parsleyplank/store/lease_store.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace parsleyplank::edge
{

struct feed_options
{
    // One watch waits this long; the store counts it as one call.
    milliseconds watch_wait{25'000};
    // Pause after changes, so that those of one moment come as one.
    milliseconds batch_delay{60};
    // Pause after a failure.
    milliseconds retry_delay{300};
    // One watch of a peer waits this long. Short, because another peer may have
    // been chosen meanwhile.
    milliseconds peer_watch_wait{1'000};
    // A peer that has failed is not asked again for this time.
    milliseconds peer_retry_delay{2'000};
    // Silence on a connection to a peer after which it counts as broken.
    milliseconds peer_silence_timeout{2'000};
};

// Called on the feed's thread.
struct feed_handlers
{
    // Everything that the store holds.
    std::function<void(store::list_result)> listed;
    // Keys that changed; those of revision 0 are gone.
    std::function<void(store::list_result)> changed;
    // The store itself has answered.
    std::function<void()> store_answered;
    std::function<void(const std::string& problem)> store_failed;
    // A peer did not answer; the store is asked instead.
    std::function<void(const std::string& problem)> peer_failed;
};

class store_feed
{
public:
    // Starts the thread. It runs until the process ends.
    store_feed(std::unique_ptr<store::lease_store> source, std::string prefix,
               feed_options options, feed_handlers handlers);
    ~store_feed();

    // Chooses the peer to watch from the next watch on, or none. Any thread may
    // call.
    void watch_peer(const std::optional<steering::server_endpoint>& peer);

    store_feed(const store_feed&) = delete;
    store_feed& operator=(const store_feed&) = delete;

private:
    void run();
    void list();
    void watch();
    void deliver_changes(store::list_result changes);
    // Returns the chosen peer, or nullptr.
    store::kv_store* selected_peer();

    std::unique_ptr<store::lease_store> source;
    std::string prefix;
    feed_options options;
    feed_handlers handlers;
    // Revision up to which changes are known; 0 before the first listing.
    revision known_revision;
    std::mutex peer_mutex;
    std::optional<steering::server_endpoint> chosen_peer;
    std::optional<steering::server_endpoint> connected_peer;
    std::unique_ptr<store::kv_store> peer;
    time_point peer_paused_until{};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
