#ifndef PARSLEYPLANK_ENTRY_QUOTA_AGENT_HPP
#define PARSLEYPLANK_ENTRY_QUOTA_AGENT_HPP

// Carries the messages of the quota library between instances and keeps the
// share table: an even split over the live instances, and the reclaim of shares
// whose holders are gone.

#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/entry/state_feed.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <functional>
#include <optional>
#include <string>

namespace parsleyplank::entry
{

struct quota_agent
{
    quota::quota_state state;
    quota::reclaim_watch reclaim;
    // A share table whose write has no known outcome yet; written again until
    // the store shows this or a later epoch.
    std::optional<quota::share_table> unsettled;
    revision unsettled_base;
    bool write_in_flight = false;
    bool read_in_flight = false;
    bool handed_over = false;
    // Last logged reason why the share is not handed over.
    std::string obstacle;
    // Largest share that takes no slot away that is lent or in use.
    share_ppm slots_donatable{ppm_total};
    milliseconds freshness_bound{3'000};

    // Called on the control thread for customers whose waiting requests should
    // be decided again.
    std::function<void(const customer_id&)> on_ready;
};

// Takes over the customers and limits of the configuration in force.
void configure(quota_agent& agent, node_context& context,
               const config::bundle& content);

// Tells the state how fresh it is and who the peers are, lends and tells
// demand. Call every 200 ms.
void tick(quota_agent& agent, node_context& context,
          const peer_contact& contact);

// Returns the body of a quota message. Throws codec_error, which holds the
// sender, if it is damaged or of another kind.
quota::message_body unpack_body(const peer::envelope& message);

// Takes over the share table of the feed.
void take_table(quota_agent& agent, node_context& context,
                const state_feed& feed);

// Returns the share that this instance may use: that of the table, less what a
// donation that is on its way takes.
share_ppm share_in_use(const quota_agent& agent);

// Reads the share table from the store if this instance has a change of its own
// share to write and knows the table from a peer only: a write needs the
// revision, and only designated instances list the store. Call on each tick.
void fetch_revision(quota_agent& agent, node_context& context,
                    const peer_contact& contact, state_feed& feed);

// Makes the write to the share table that is due, if any: creation, donation
// or reclaim; the hand-over of the whole share while leaving. Call each second.
void maintain_shares(quota_agent& agent, node_context& context,
                     const peer_contact& contact, state_feed& feed);

// Takes a message of a peer. Throws codec_error if it is damaged.
void take_message(quota_agent& agent, node_context& context,
                  const peer::envelope& message);

// Sends what an admission returned.
void send_all(node_context& context,
              std::span<const quota::outgoing_message> messages);

} // namespace parsleyplank::entry

#endif
