#ifndef PARSLEYPLANK_EDGE_CHANGE_RELAY_HPP
#define PARSLEYPLANK_EDGE_CHANGE_RELAY_HPP

// Passes the keys of the store on to peers, so that in a large fleet only a few
// instances watch the store. Answers the listings and watches of the project's
// own store protocol (docs/STORE-PROTOCOL.md) from a copy of the keys. Belongs
// to the control thread.

#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <deque>
#include <list>
#include <map>
#include <string>

namespace parsleyplank::edge
{

class change_relay
{
public:
    // Replaces the copy.
    void apply_listing(const store::list_result& all);

    // Applies changes; entries of revision 0 are removals.
    void apply_changes(const store::list_result& changes);

    // Answers a listing at once, a watch when something has changed or its wait
    // is over.
    void serve(const proxy::exchange_ptr& ex, time_point now);

    // Answers watches whose wait is over.
    void expire_watches(time_point now);

private:
    struct pending_watch
    {
        proxy::exchange_ptr ex;
        std::string prefix;
        revision after;
        time_point deadline;
    };

    void serve_listing(const proxy::exchange_ptr& ex);
    void serve_watch(const proxy::exchange_ptr& ex, time_point now);
    store::list_result changes_after(const std::string& prefix,
                                     revision after) const;
    void answer_pending_watches();

    std::map<std::string, store::entry> keys;
    revision current_revision;
    // Changes after this revision are kept.
    revision oldest_revision;
    std::deque<store::list_result> recent_batches;
    std::list<pending_watch> pending_watches;
};

} // namespace parsleyplank::edge

#endif
