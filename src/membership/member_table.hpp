#ifndef PARSLEYPLANK_MEMBERSHIP_MEMBER_TABLE_HPP
#define PARSLEYPLANK_MEMBERSHIP_MEMBER_TABLE_HPP

// Table of the other instances, built from the platform's instance list, which
// lags, and from the pongs that this instance receives. It is used for routing
// and for distributing work. No invariant requires two instances to hold the
// same table.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/store/instance_list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace parsleyplank::membership
{

struct timing
{
    // Interval between pings to each member.
    milliseconds ping_interval{200};
    // Time without a pong after which the connection is replaced.
    milliseconds reconnect_timeout{600};
    // Time without a pong after which a member gets no new work.
    milliseconds failure_timeout{1'500};
};

// Another instance that the list shows.
struct member
{
    // Latest entry of the list.
    store::listed_instance info;
    // Start of the first read of the list with this incarnation and address.
    time_point added_at;
    // Time of the last pong, if any.
    std::optional<time_point> last_contact;
    // Start of the current connection; reconnect_timeout counts from it or from
    // the last pong.
    time_point connected_at;
    // Reported by the member in its pongs, earlier than by the list.
    bool draining = false;
};

// An incarnation that the list contained once and no longer contains.
struct departed_member
{
    instance_id id;
    incarnation life;
    // Start of the first read of the list without it.
    time_point unlisted_at;
};

struct member_table
{
    timing times;
    instance_id self;
    std::map<instance_id, member> members;
    std::vector<departed_member> departed;
    // Start of the last successful read of the list.
    std::optional<time_point> listed_at;
};

// Difference between two states of the member table.
struct list_changes
{
    std::vector<store::listed_instance> added;
    std::vector<instance_id> removed;
    // Members with a new incarnation or address, whose connections have to be
    // replaced.
    std::vector<store::listed_instance> replaced;
};

// Applies the platform's list; requested_at is the time at which the read
// started. Ignores a read that started before the last one, and entries with an
// older incarnation of a known member, since the list lags. Skips this instance
// itself.
list_changes update_from_list(member_table& table,
                              const std::vector<store::listed_instance>& list,
                              time_point requested_at);

// Records a pong from a member. Once set, draining stays set. Returns false and
// changes nothing if this incarnation of the member is not in the table.
bool record_contact(member_table& table, const instance_id& id,
                    incarnation life, bool draining, time_point now);

// Returns the members without a pong for more than reconnect_timeout, whose
// connections have to be replaced, and restarts the timeout of each.
std::vector<instance_id> take_unresponsive(member_table& table, time_point now);

// Returns whether the member may get new work: its last pong is recent, and it
// is neither draining nor leaving.
bool usable(const member_table& table, const instance_id& id, time_point now);

// Returns the usable members in id order, including this instance if
// include_self is set.
std::vector<instance_id> usable_members(const member_table& table,
                                        time_point now, bool include_self);

// Returns the usable members of one region in id order, without this instance.
std::vector<instance_id> usable_in_region(const member_table& table,
                                          const region_id& region,
                                          time_point now);

// Returns all listed members of a region in id order, including leaving and
// unresponsive ones.
std::vector<instance_id> listed_in_region(const member_table& table,
                                          const region_id& region);

} // namespace parsleyplank::membership

#endif
