#ifndef PARSLEYPLANK_EDGE_CHANGE_RELAY_HPP
#define PARSLEYPLANK_EDGE_CHANGE_RELAY_HPP

// Serves the watched keys of the store to peers, so that in a large fleet only
// a few instances watch the store itself. Answers list and watch requests of
// the project's store protocol (docs/STORE-PROTOCOL.md) from a local copy of
// the keys. Only the control thread may use it.

#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>

namespace parsleyplank::edge
{

// Answers to peers.
struct relayed_changes
{
    // Watches of peers that were answered.
    std::size_t watches = 0;
    // Bytes of these answers together, without their headers.
    std::size_t bytes = 0;
};

class change_relay
{
public:
    // Lets as many watches wait at a time. Further peers have to watch another
    // relay or the store, so that a change does not wait for the link of this
    // instance.
    explicit change_relay(std::size_t max_waiting_watches);

    // Replaces the local copy by a complete listing. Watches from an earlier
    // revision are answered with status 410, so that the peer lists again.
    void apply_listing(const store::list_result& all);

    // Applies a batch of changes and answers the watches that it concerns. An
    // entry with key revision 0 is a removal. The entries of the repeated keys
    // say what was said before: they are kept, but not passed on.
    relayed_changes apply_changes(const store::list_result& changes,
                                  const std::set<std::string>& repeated = {});

    // Answers watches from an earlier revision than the present one, of which
    // no change was passed on: the peer would take itself to be behind.
    void pass_revision_on();

    // Returns all answers since the start, also those without changes. Their
    // bytes are those of the bodies as sent.
    relayed_changes answered() const
    {
        return total;
    }

    // Answers a list request at once, and a watch when a key under its prefix
    // has changed or its wait time has passed. Requests before the first
    // listing and watches beyond the maximum get status 503, malformed ones
    // 400, and watches from a revision older than the retained changes 410.
    void serve(const proxy::exchange_ptr& ex, time_point now);

    // Answers the watches whose wait time has passed, with no entries.
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
    // Whether no further watch may wait. Forgets those of peers that have left.
    bool is_full();
    relayed_changes answer_pending_watches();

    // The body of an answer. Compressed when the first peer asks for that.
    struct encoded_answer
    {
        std::string plain;
        std::string compressed;
    };

    void answer(proxy::exchange& ex, encoded_answer& body);
    void answer(proxy::exchange& ex, const store::list_result& result);

    std::size_t max_watches;
    relayed_changes total;
    std::map<std::string, store::entry> keys;
    revision current_revision;
    // The changes after this revision are retained.
    revision oldest_revision;
    std::deque<store::list_result> recent_batches;
    std::list<pending_watch> pending_watches;
};

} // namespace parsleyplank::edge

#endif
