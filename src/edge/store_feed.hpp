#ifndef PARSLEYPLANK_EDGE_STORE_FEED_HPP
#define PARSLEYPLANK_EDGE_STORE_FEED_HPP

// Follows the keys of the store on a thread of its own: one listing, then
// watches from its revision on.

#include <parsleyplank/store/lease_store.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace parsleyplank::edge
{

struct feed_options
{
    // One watch waits this long; the store counts it as one call.
    milliseconds watch_wait{25'000};
    // Pause after changes, so that those of one moment come as one.
    milliseconds gather{60};
    // Pause after a failure.
    milliseconds retry{300};
};

// Called on the feed's thread.
struct feed_handlers
{
    // Everything that the store holds.
    std::function<void(store::list_result)> listed;
    // Keys that changed; those of revision 0 are gone.
    std::function<void(store::list_result)> changed;
    std::function<void(const std::string& problem)> lost;
};

class store_feed
{
public:
    // Starts the thread. It runs until the process ends.
    store_feed(std::unique_ptr<store::lease_store> source, std::string prefix,
               feed_options options, feed_handlers handlers);
    ~store_feed();

    store_feed(const store_feed&) = delete;
    store_feed& operator=(const store_feed&) = delete;

private:
    void run();
    void list();
    void watch();

    std::unique_ptr<store::lease_store> source;
    std::string prefix;
    feed_options options;
    feed_handlers handlers;
    // Revision up to which changes are known; 0 before the first listing.
    revision known;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
