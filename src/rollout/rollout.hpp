#ifndef PARSLEYPLANK_ROLLOUT_ROLLOUT_HPP
#define PARSLEYPLANK_ROLLOUT_ROLLOUT_HPP

// A staged move of an upstream from one version to another. Its record is kept
// in the store and changed by compare-and-swap; any instance may brake at once,
// on its own evidence, without the store.

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

// What the configuration asks for. The start epoch tells two rollouts of the
// same versions apart.
struct rollout_order
{
    upstream_id upstream;
    version_id from;
    version_id to;
    epoch started;

    bool operator==(const rollout_order&) const = default;

    MSGPACK_DEFINE_ARRAY(upstream, from, to, started)
};

// The record in the store.
struct rollout_record
{
    rollout_order order;
    phase state = phase::running;
    // Part of the requests that the new version gets.
    share_ppm share;
    // Grows by one with each change.
    std::uint64_t number = 0;
    // Calendar time of the start, in milliseconds since 1970; for reports only.
    std::int64_t started_ms = 0;
    bool late = false;
    // Why it was rolled back.
    std::string evidence;

    MSGPACK_DEFINE_ARRAY(order, state, share, number, started_ms, late,
                         evidence)
};

struct rollout_plan
{
    std::chrono::seconds duration{600};
    share_ppm first_share{10'000};
};

// State of one rollout on the instance that leads it, and on the others, which
// use it for their own brake.
struct rollout_state
{
    rollout_record record;
    rollout_plan plan;
    // Requests that this instance has sent.
    counts_by_route own_counts;
    history own_history;
    // Latest report of each instance, for the leader.
    std::map<instance_id, counts_by_route> reports;
    history fleet_history;
    // When this instance first saw the present share.
    time_point stage_started_at;
    // Set by own evidence or a peer; never cleared for this order.
    std::optional<std::string> abort_reason;
};

// Returns the first record of a rollout.
rollout_record start_record(const rollout_order& order,
                            const rollout_plan& plan, std::int64_t now_ms);

// Takes a record of the store. One with a lower number of the same order is
// ignored; another order starts the state anew.
void take_record(rollout_state& state, const rollout_record& record,
                 time_point now);

// Returns the share of the new version that this instance uses now.
share_ppm share_in_use(const rollout_state& state);

// Judges this instance's own requests; brakes if they show a fault. Returns
// whether the brake is new, so that peers have to be told.
bool check_own_counts(rollout_state& state, const comparison_options& options,
                      time_point now);

// Sets the brake because a peer saw a fault. Returns whether it is new.
bool abort_rollout(rollout_state& state, const std::string& evidence);

// Returns the record to write next, if one is due: rolled back if this instance
// has braked or the fleet's counts show a fault, else the next share once the
// stage is over, or done. Only the leader advances shares; every instance may
// write a roll-back.
std::optional<rollout_record> next_record(rollout_state& state, bool is_leader,
                                          const comparison_options& options,
                                          time_point now, std::int64_t now_ms);

} // namespace parsleyplank::rollout

#endif
