#ifndef PARSLEYPLANK_ENTRY_CLAIM_AGENT_HPP
#define PARSLEYPLANK_ENTRY_CLAIM_AGENT_HPP

// Carries the messages and store calls of the claims library between its two
// roles: owner of the attempts that started here, and writer of the buckets
// that fall to this instance.

#include <parsleyplank/claims/attempt.hpp>
#include <parsleyplank/claims/bucket_writer.hpp>
#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/entry/peer_contact.hpp>

#include <functional>
#include <optional>

namespace parsleyplank::entry
{

struct claim_agent
{
    claims::attempt_table attempts;
    claims::bucket_writer writer;
    std::uint32_t buckets = 16;
    // Usable instances when the buckets were last assigned.
    std::vector<instance_id> live;

    // Called on the control thread with every event of an attempt.
    std::function<void(const claims::attempt_event&)> on_event;
};

// Takes over the settings of the configuration in force.
void configure(claim_agent& agent, node_context& context,
               const config::fleet& fleet);

// Handles timeouts, sends what is due and makes store calls. Call every 10 ms.
void tick(claim_agent& agent, node_context& context);

// Assigns the buckets anew if the usable instances have changed.
void assign_buckets(claim_agent& agent, std::vector<instance_id> live);

// Starts an attempt; returns its number, or nothing if too many are live.
std::optional<std::uint64_t> begin(claim_agent& agent, node_context& context,
                                   const hash128_value& key,
                                   std::uint64_t body_hash);

// Ends an attempt and tells the writer. Returns false if it can't end so.
bool finish(claim_agent& agent, node_context& context, std::uint64_t number,
            claims::attempt_phase phase, std::uint16_t status,
            std::string_view body);

// Gives up an attempt that was not dispatched.
void abandon(claim_agent& agent, node_context& context, std::uint64_t number);

// Takes the messages of a peer.
void take_batch(claim_agent& agent, node_context& context,
                const instance_id& from, const claims::claim_batch& batch);

} // namespace parsleyplank::entry

#endif
