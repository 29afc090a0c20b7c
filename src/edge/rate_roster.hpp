#ifndef PARSLEYPLANK_EDGE_RATE_ROSTER_HPP
#define PARSLEYPLANK_EDGE_RATE_ROSTER_HPP

// The instances that issue tokens of the customers' rates, as recorded in the
// store. Unlike its registration, the record of an instance outlives the loss
// of contact: an instance that is cut off goes on to issue its part, so the
// others must not issue it. A part changes hands only when its former owner
// can't use it: a new instance waits until all others know of it, and the part
// of a stopped one is free once it has removed its record, which it does after
// it has ceased to issue.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/edge/fleet_view.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleyplank::edge
{

struct roster_options
{
    // Time after its record was written from which an instance issues tokens.
    // Longer than a registration lasts without renewal: an instance that was
    // cut off before it could read the record is no longer registered then.
    milliseconds join_delay{4'500};
    // Time without a registration after which the record of an instance is
    // removed. Regions may lose each other for minutes.
    milliseconds retention{600'000};
    // Part of the retention after which an instance that can't reach the store
    // ceases to issue, unless it is in touch with all others.
    double max_cut_part = 0.9;
};

// The record of an instance in the store.
struct roster_record
{
    // Start time of the process that wrote it, in Unix milliseconds.
    std::uint64_t started_ms = 0;

    bool operator==(const roster_record&) const = default;

    MSGPACK_DEFINE_ARRAY(started_ms)
};

enum class issuing_phase
{
    // This process has no record.
    outside,
    // It has one, and waits until the others know of it.
    joining,
    issuing
};

struct rate_roster
{
    struct member
    {
        roster_record record;
        // 0 if the store has come back from an older copy without the record.
        revision key_revision;
    };

    instance_id self;
    std::uint64_t started_ms = 0;
    roster_options options;
    std::map<instance_id, member> members;
    // Members that are neither registered nor responsive, and since when.
    std::map<instance_id, time_point> missing;
    issuing_phase phase = issuing_phase::outside;
    // Time at which the record of this process was written.
    time_point joined_at{};
    // Time at which this process started; the same if it has taken over the
    // part of an earlier one, which nobody has used since then.
    time_point started_at{};
    time_point issuing_since{};
    // Whether the store has been listed since the start.
    bool listed = false;
    // Whether the store has come back without this process's record.
    bool record_lost = false;
};

// Applies what the store holds.
void put_roster_member(rate_roster& roster, const instance_id& id,
                       const roster_record& record, revision key_revision,
                       time_point now);
void remove_roster_member(rate_roster& roster, const instance_id& id);
void retain_roster_members(rate_roster& roster,
                           const std::set<instance_id>& present);

// Applies a listing of a store that has come back from an older copy. Members
// that it lacks keep their parts: they still issue them, and write their
// records again.
void restore_roster_members(rate_roster& roster,
                            const std::set<instance_id>& present);

// Contact of this instance with the store.
struct store_contact
{
    bool reachable = false;
    time_point last_response{};
    // End of the last outage; default value if there was none.
    time_point last_outage{};
};

// Updates which members are missing, and starts to issue when the time has
// come.
void step_roster(rate_roster& roster, const fleet_view& fleet,
                 const fleet_options& fleet_options,
                 const store_contact& contact, time_point now);

// The record of this process is to be written if the key has this revision.
struct roster_write
{
    revision expected;
    // The record replaces that of an earlier process of this instance, which
    // all others know of.
    bool takes_over = false;
    // The record was lost while this process was using its part.
    bool restores = false;
};

// Returns the write that is due, if any.
std::optional<roster_write> next_roster_write(const rate_roster& roster);

// Records that the write was applied.
void note_roster_write(rate_roster& roster, const roster_write& write,
                       time_point now);

// Returns the members whose records are to be removed: they have been missing
// for the retention.
std::vector<instance_id> expired_members(const rate_roster& roster,
                                         time_point now);

// Returns whether this instance may issue tokens now.
bool may_issue(const rate_roster& roster, const store_contact& contact,
               time_point now);

// Returns the number of instances that may issue tokens, with this one.
std::size_t count_issuers(const rate_roster& roster);

} // namespace parsleyplank::edge

#endif
