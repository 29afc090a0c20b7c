#ifndef PARSLEYPLANK_ENTRY_STATE_FEED_HPP
#define PARSLEYPLANK_ENTRY_STATE_FEED_HPP

// Keeps the configuration and the share table of this instance up to date from
// the store and from peers. Epochs held never go back.

#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/freshness/freshness.hpp>
#include <parsleyplank/quota/share_table.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>

namespace parsleyplank::entry
{

// Keys of the store that every instance follows.
inline constexpr const char* state_prefix = "state/";
inline constexpr const char* config_key = "state/config";
inline constexpr const char* shares_key = "state/shares";

// Asks a peer for what is newer there.
struct config_request
{
    freshness::known_epochs held;
    // Parts that are still missing of a manifest that was announced.
    std::vector<config::part_digest> missing;

    MSGPACK_DEFINE_ARRAY(held.config, held.shares, missing)
};

struct config_reply
{
    // Empty if the asking peer holds as much.
    std::string manifest;
    std::string shares;
    config::part_map parts;

    MSGPACK_DEFINE_ARRAY(manifest, shares, parts)
};

struct state_feed
{
    // Client blocks are left out of the bundle; the block table is made from
    // the parts.
    config::adoption config{.with_client_blocks = false};
    std::shared_ptr<const config_tables> tables;
    // Manifest that the tables were built from; older than config.held_manifest
    // if that one's tables can't be built.
    config::manifest tables_of;
    quota::share_table shares;
    // Revision of the share table, for this instance's own writes; unset while
    // it is known from a peer only.
    std::optional<revision> shares_revision;

    // Higher epochs were heard from this peer.
    std::optional<instance_id> ahead;
    bool fetching = false;
    std::optional<time_point> asked_at;
    int asks = 0;

    // Called on the control thread after the held state has changed.
    std::function<void()> on_config;
    std::function<void()> on_shares;
    // Called with entries under state/ that are neither of the two.
    std::function<void(const store::entry&)> on_other;
};

// Returns the epochs held.
freshness::known_epochs held_epochs(const state_feed& feed);

// Takes what a list or a watch of the prefix state/ returned. Returns the
// epochs that it showed; none if an entry does not decode, which is logged.
std::optional<freshness::known_epochs>
take_entries(state_feed& feed, node_context& context,
             std::span<const store::entry> entries);

// Records that a peer holds these epochs.
void note_peer_epochs(state_feed& feed, const instance_id& peer,
                      const freshness::known_epochs& epochs);

// Fetches what is missing, from the store or the peer that is ahead in turn.
// Call on each tick.
void fetch_missing(state_feed& feed, node_context& context);

// Answers a peer's request; sends nothing if there is nothing newer.
void answer_request(const state_feed& feed, node_context& context,
                    const instance_id& peer, const config_request& request);

// Takes a peer's answer. Throws codec_error if it is damaged.
void take_reply(state_feed& feed, node_context& context,
                const config_reply& reply);

} // namespace parsleyplank::entry

#endif
