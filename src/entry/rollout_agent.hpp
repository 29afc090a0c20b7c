#ifndef PARSLEYPLANK_ENTRY_ROLLOUT_AGENT_HPP
#define PARSLEYPLANK_ENTRY_ROLLOUT_AGENT_HPP

// Carries rollouts between instances and the store: reports of counts to the
// instance that leads a rollout, brakes to all, and the record to those that do
// not read the store themselves.

#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/rollout/rollout.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <map>
#include <optional>

namespace parsleyplank::entry
{

// Prefix of the keys of records; the upstream follows.
inline constexpr const char* rollout_prefix = "state/rollout/";

struct rollout_report
{
    rollout::rollout_order what;
    rollout::counts_by_route counts;

    MSGPACK_DEFINE_ARRAY(what, counts)
};

struct rollout_brake
{
    rollout::rollout_order what;
    std::string evidence;

    MSGPACK_DEFINE_ARRAY(what, evidence)
};

struct active_rollout
{
    config::rollout wanted;
    rollout::rollout_state state;
    bool write_in_flight = false;
    // The record has changed and peers may not know it.
    bool relay_due = false;
};

struct rollout_agent
{
    std::map<upstream_id, active_rollout> rollouts;
    // Configuration epoch, which dates a rollout that this instance starts.
    epoch config;
    int ticks = 0;
};

// The version that a request should go to.
struct version_choice
{
    version_id version;
    bool is_new = false;
};

// Takes over the rollouts of a configuration. A rollout whose versions have
// changed starts anew.
void configure(rollout_agent& agent, const config::bundle& content);

// Judges, tells peers, and writes the records that are due. Call each second.
void tick(rollout_agent& agent, node_context& context,
          const peer_contact& contact);

// Takes an entry of the store whose key has the prefix of records. Throws
// codec_error if it is damaged.
void take_entry(rollout_agent& agent, node_context& context,
                const store::entry& entry);

// Takes a message of a peer. Throws codec_error if it is damaged.
void take_message(rollout_agent& agent, node_context& context,
                  const peer::envelope& message);

// Draws the version for a request; nothing if no rollout concerns the upstream.
std::optional<version_choice> choose_version(const rollout_agent& agent,
                                             node_context& context,
                                             const upstream_id& upstream);

// Returns the other version of the rollout, for when the chosen one has no
// free server.
version_choice other_version(const rollout_agent& agent,
                             const upstream_id& upstream,
                             const version_choice& chosen);

// Records a finished request of an upstream with a rollout.
void record_result(rollout_agent& agent, const upstream_id& upstream,
                   const route_id& route, const rollout::observation& seen);

} // namespace parsleyplank::entry

#endif
