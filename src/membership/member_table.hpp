#ifndef PARSLEYPLANK_MEMBERSHIP_MEMBER_TABLE_HPP
#define PARSLEYPLANK_MEMBERSHIP_MEMBER_TABLE_HPP

// The other instances as this one knows them, from the platform's lagging list
// and from its own contact with them. Used for routing and for spreading work;
// no invariant rests on two instances holding the same table.

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
    // A ping goes to each member this often.
    milliseconds ping_interval{200};
    // A connection without a pong for this long is replaced.
    milliseconds reconnect_timeout{600};
    // A member without a pong for this long gets no new work.
    milliseconds failure_timeout{1'500};
};

struct member
{
    store::listed_instance info;
    time_point added_at;
    std::optional<time_point> last_contact;
    time_point connected_at;
    // Said by the member itself, sooner than the list does.
    bool draining = false;
};

// An incarnation that the list showed once and shows no more.
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

struct list_changes
{
    std::vector<store::listed_instance> added;
    std::vector<instance_id> removed;
    // Same id, new incarnation or address: connections have to be replaced.
    std::vector<store::listed_instance> replaced;
};

// Takes over the platform's list, read from the given time on; a read that
// started before the last one is ignored. An older incarnation of a known
// member is ignored, since the list lags. This instance itself is left out.
list_changes update_from_list(member_table& table,
                              const std::vector<store::listed_instance>& list,
                              time_point requested_at);

// Records a pong. Returns false if the member or this incarnation of it is not
// in the table.
bool record_contact(member_table& table, const instance_id& id,
                    incarnation life, bool draining, time_point now);

// Returns the members whose connection is silent and has to be replaced, and
// counts the silence of each anew.
std::vector<instance_id> take_unresponsive(member_table& table, time_point now);

// Tells whether new work may go to the member: in contact and not leaving.
bool usable(const member_table& table, const instance_id& id, time_point now);

// Returns the usable members, with this instance if it serves, in id order.
std::vector<instance_id> usable_members(const member_table& table,
                                        time_point now, bool include_self);

// Returns the usable members of one region in id order, without this instance.
std::vector<instance_id> usable_in_region(const member_table& table,
                                          const region_id& region,
                                          time_point now);

// Returns all listed members of a region, leaving or silent ones too.
std::vector<instance_id> listed_in_region(const member_table& table,
                                          const region_id& region);

} // namespace parsleyplank::membership

#endif
