#ifndef PARSLEYPLANK_EDGE_STORE_FEED_HPP
#define PARSLEYPLANK_EDGE_STORE_FEED_HPP

// Follows the watched keys of the store on its own thread: lists them once,
// then watches from the revision of the listing on. Watches relay peers instead
// of the store if some are selected.

#include <parsleyplank/steering/server_registry.hpp>
#include <parsleyplank/store/lease_store.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace parsleyplank::edge
{

struct feed_options
{
    // Wait time of one watch of the store, which counts as one call there.
    milliseconds watch_wait{25'000};
    // The same for an instance that watches the store for others: a watch that
    // the store no longer answers must end soon.
    milliseconds shared_watch_wait{1'000};
    // Pause after a change, so that changes in quick succession arrive as one
    // batch.
    milliseconds batch_delay{60};
    // Pause after a failed call to the store.
    milliseconds retry_delay{300};
    // Wait time of one watch of a peer. Short, because another peer may be
    // selected in the meantime.
    milliseconds peer_watch_wait{1'000};
    // Time after a failure of a peer during which the next peer, or the store,
    // is watched instead. It grows with the time that the failure has taken, so
    // that two silent peers don't keep the feed from the store.
    milliseconds peer_retry_delay{2'000};
    // Time without data on a connection to a peer after which the connection is
    // considered broken.
    milliseconds peer_silence_timeout{2'000};
    // Largest response of a peer. A larger one is a failure of the peer.
    std::size_t max_response_bytes = 16'000'000;
};

// Callbacks of the feed, which are called on its thread.
struct feed_handlers
{
    // Receives all keys under the watched prefix.
    std::function<void(store::list_result)> listed;
    // Receives the changed keys and from whom they come: "store" or the address
    // of a peer. An entry with key revision 0 is a removal.
    std::function<void(store::list_result, const std::string& source)> changed;
    // Called after each answer of the store itself, not of a peer.
    std::function<void()> store_answered;
    // Called with the error message after a failed call to the store.
    std::function<void(const std::string& problem)> store_failed;
    // Called when a watch of a peer has failed.
    std::function<void(const std::string& problem)> peer_failed;
};

class store_feed
{
public:
    // Starts the thread. The destructor waits for the current call to end,
    // which may take as long as a watch.
    store_feed(std::unique_ptr<store::lease_store> source, std::string prefix,
               feed_options options, feed_handlers handlers);
    ~store_feed();

    // Selects the peers to watch, the preferred one first, from the next watch
    // on. The store is watched if there are none, or if all have failed. A peer
    // that is being watched is kept as long as it is selected and does not
    // fail. May be called from any thread.
    // Watches of the store wait for the given time.
    void watch_peers(std::vector<steering::server_endpoint> peers,
                     milliseconds store_watch_wait);

    // Asks this peer once for the changes up to the revision, if the current
    // watch has not brought them by its end. May be called from any thread.
    void catch_up(const steering::server_endpoint& peer, revision newest);

    store_feed(const store_feed&) = delete;
    store_feed& operator=(const store_feed&) = delete;

private:
    void run();
    void list();
    void watch();
    // Watches a relay, and lists its keys if it no longer has the changes.
    void watch_relay(store::kv_store& relay);
    void deliver_changes(store::list_result changes, const std::string& source);
    // Returns a client for the peer to watch, or nullptr if the store is to be
    // watched.
    store::kv_store* connect_peer();
    std::unique_ptr<store::kv_store>
    connect(const steering::server_endpoint& where) const;
    std::optional<steering::server_endpoint> choose_peer();
    // Asks the peer of catch_up, if it is needed.
    void ask_peer_ahead();

    std::unique_ptr<store::lease_store> source;
    std::string prefix;
    feed_options options;
    feed_handlers handlers;
    // Revision up to which all changes were delivered; 0 before the first
    // listing and after the store has lost its history.
    revision known_revision;
    std::mutex peer_mutex;
    std::vector<steering::server_endpoint> selected_peers;
    milliseconds store_wait;
    // A peer that has changes up to this revision.
    std::optional<std::pair<steering::server_endpoint, revision>> peer_ahead;
    std::optional<steering::server_endpoint> connected_peer;
    std::unique_ptr<store::kv_store> peer;
    // Peers that have failed, and until when they are not tried again.
    std::map<steering::server_endpoint, time_point> paused_peers;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
