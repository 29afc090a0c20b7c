#ifndef PARSLEYPLANK_QUOTA_SHARE_TABLE_HPP
#define PARSLEYPLANK_QUOTA_SHARE_TABLE_HPP

// The table of shares at state/shares. A share is the fraction of every
// fleet-wide pool that its holder may use; the shares sum to at most 1,000,000
// ppm. The functions are pure: each returns a new table with the next epoch, to
// be written by compare-and-swap under the revision at which the old one was
// read.
//
// A share moves in one of two ways. Its holder donates it, having debited
// itself before the write. Or the share of an instance that is gone is
// reclaimed in two writes: the first revokes it, the second hands it to others
// after a wait that outlasts the holder's freshness and its loans. The first
// write is needed because an instance that the platform does not list may still
// run and be fresh.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::quota
{

// One life of an instance.
struct member
{
    instance_id instance;
    incarnation life;

    auto operator<=>(const member&) const = default;

    MSGPACK_DEFINE_ARRAY(instance, life)
};

struct share_holder
{
    member identity;
    share_ppm share;
    // Table epoch at which this entry was made. A holder that finds another
    // value than before lost its share in between and starts empty.
    epoch entry_epoch;
    // Table epoch at which the share was revoked; 0 if it is in use.
    epoch revoked_epoch;

    bool operator==(const share_holder&) const = default;

    MSGPACK_DEFINE_ARRAY(identity, share, entry_epoch, revoked_epoch)
};

struct share_table
{
    epoch number;
    std::vector<share_holder> holders;

    bool operator==(const share_table&) const = default;

    MSGPACK_DEFINE_ARRAY(number, holders)
};

struct donation
{
    member receiver;
    share_ppm share;

    bool operator==(const donation&) const = default;
};

// Returns the table of a new fleet: the whole share belongs to the creator. To
// be written under revision 0.
share_table create_share_table(const member& creator);

// Returns the entry of this life of the instance, or nullptr.
const share_holder* find_holder(const share_table& table,
                                const member& identity);

// Returns the share that the member may use: 0 if it is not listed with this
// incarnation or is revoked.
share_ppm usable_share(const share_table& table, const member& identity);

// Returns what the donor should give to listed members so that all come to hold
// an even split. Empty while every receiver is within a tenth of its target, so
// that small differences cause no writes, and empty for a revoked donor.
std::vector<donation> even_split(const share_table& table, const member& donor,
                                 std::span<const member> listed);

// Moves parts of the donor's share. Throws error if the donor does not hold
// their sum or is revoked.
share_table donate(const share_table& table, const member& donor,
                   std::span<const donation> donations);

// Moves the whole share of a leaving member to the others in equal parts and
// removes its entry. Throws error if there is no other or the leaving member
// is not listed or revoked.
share_table hand_over(const share_table& table, const member& leaving,
                      std::span<const member> others);

// First write of a reclaim. Throws error if the member holds no share or is
// revoked already.
share_table revoke(const share_table& table, const member& holder);

// Undoes a revocation, written by the revoked member itself when it finds that
// it is wanted after all. Throws error if the member is not revoked.
share_table restore(const share_table& table, const member& identity);

// Second write of a reclaim: gives the revoked share to the receivers in equal
// parts. Throws error if the member is not revoked or there is no receiver.
share_table redistribute(const share_table& table, const member& holder,
                         std::span<const member> receivers);

// Returns the MessagePack form.
std::string pack_share_table(const share_table& table);

// Reads a table. Throws codec_error if the bytes are damaged or the shares sum
// to more than the whole.
share_table unpack_share_table(std::string_view bytes);

// How long one reclaimer has seen each holder gone. Each reclaimer counts on
// its own clock.
struct reclaim_watch
{
    struct absence
    {
        member identity;
        // The revocation that the time belongs to; 0 before the first write.
        epoch revoked_epoch;
        milliseconds duration{0};
    };
    std::vector<absence> absences;
    std::optional<time_point> last_update;
};

enum class reclaim_action
{
    revoke,
    redistribute
};

struct reclaim_step
{
    member holder;
    reclaim_action action;
};

// Returns the time that each of the two steps of a reclaim waits: two freshness
// bounds and the margin. Loans must not last longer than one bound, and no
// request longer than both waits together.
milliseconds reclaim_wait(milliseconds freshness_bound, milliseconds margin);

// Counts the time since the last call for each holder that the platform's list
// does not show, and returns the writes that are due. A call with an
// unreachable store starts the count anew. Of a gap between two calls at most
// one second counts, so that a paused reclaimer does not count time in which it
// observed nothing.
std::vector<reclaim_step>
update_reclaim_watch(reclaim_watch& watch, const share_table& table,
                     std::span<const member> listed, bool store_reachable,
                     milliseconds wait, time_point now);

} // namespace parsleyplank::quota

#endif
