#ifndef PARSLEYPLANK_ROLLOUT_ROLLOUT_HPP
#define PARSLEYPLANK_ROLLOUT_ROLLOUT_HPP

// A staged rollout of an upstream from one version to another. Its record is
// stored in the store and changed by compare-and-swap. Any instance may abort
// the rollout at once because of its own counts, without access to the store.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/units.hpp>
#include <parsleyplank/rollout/version_comparison.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace parsleyplank::rollout
{

enum class phase : std::uint8_t
{
    running,
    done,
    rolled_back
};

constexpr int enum_size(phase /*kind*/)
{
    return static_cast<int>(phase::rolled_back) + 1;
}

// Returns "running", "done" or "rolled_back".
std::string_view to_string(phase p);

// A rollout as the configuration orders it. The start epoch distinguishes two
// rollouts between the same versions.
struct rollout_order
{
    upstream_id upstream;
    version_id from;
    version_id to;
    epoch started;

    bool operator==(const rollout_order&) const = default;

    MSGPACK_DEFINE_ARRAY(upstream, from, to, started)
};

// The record of a rollout in the store.
struct rollout_record
{
    rollout_order order;
    phase state = phase::running;
    // Share of the requests that the new version gets.
    share_ppm share;
    // Revision of the record; each change increments it. 0 if there is none.
    std::uint64_t number = 0;
    // Start time in milliseconds since 1970. Used for reports and to detect a
    // late rollout.
    std::int64_t started_ms = 0;
    // Whether the rollout ran longer than its planned duration.
    bool late = false;
    // Reason of the roll-back.
    std::string evidence;

    MSGPACK_DEFINE_ARRAY(order, state, share, number, started_ms, late,
                         evidence)
};

struct rollout_plan
{
    // Time within which the rollout should be done.
    std::chrono::seconds duration{600};
    // Share of the new version in the first stage.
    share_ppm first_share{10'000};
};

// State of one rollout on an instance. The leader uses it to advance the share,
// and every instance uses it to abort the rollout.
struct rollout_state
{
    rollout_record record;
    rollout_plan plan;
    // Counts of the requests that this instance has sent.
    counts_by_route own_counts;
    history own_history;
    // Latest report of each instance, for the leader.
    std::map<instance_id, counts_by_route> reports;
    history fleet_history;
    // Time at which this instance first saw the current share.
    time_point stage_started_at;
    // Set if this instance or a peer found a regression; never cleared for this
    // order.
    std::optional<std::string> abort_reason;
};

// Returns the first record of a rollout.
rollout_record start_record(const rollout_order& order,
                            const rollout_plan& plan, std::int64_t now_ms);

// Applies a record from the store. For the same order, ignores a record whose
// number is not higher. Another order resets the state except the plan, unless
// it is older, in which case it is ignored.
void take_record(rollout_state& state, const rollout_record& record,
                 time_point now);

// Returns the share of the new version that this instance uses now, 0 after an
// abort.
share_ppm share_in_use(const rollout_state& state);

// Aborts the rollout if this instance's own counts show a regression. Returns
// whether this call aborted it, in which case the caller has to notify the
// peers.
bool check_own_counts(rollout_state& state, const comparison_options& options,
                      time_point now);

// Aborts the rollout because a peer found a regression. Returns whether this
// call aborted it.
bool abort_rollout(rollout_state& state, const std::string& evidence);

// Returns the record to write next, or nullopt if none is due. The record rolls
// back if this instance has aborted the rollout or, on the leader, the counts
// of the fleet show a regression. Otherwise the leader marks the record as
// late, or advances it to the next share or to done once the stage is over.
// Every instance may write a roll-back. now_ms is in milliseconds since 1970.
std::optional<rollout_record> next_record(rollout_state& state, bool is_leader,
                                          const comparison_options& options,
                                          time_point now, std::int64_t now_ms);

} // namespace parsleyplank::rollout

#endif
