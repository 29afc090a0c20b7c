#ifndef PARSLEYPLANK_QUOTA_SHARE_TABLE_HPP
#define PARSLEYPLANK_QUOTA_SHARE_TABLE_HPP

// The share table stored at state/shares. A share is the fraction of every
// fleet-wide pool that its holder may use; the shares sum to at most 1,000,000
// ppm. The functions that change a table are pure: each returns a new table
// with the next epoch, to be written by compare-and-swap under the revision at
// which the old one was read.
//
// A share is transferred in one of two ways. Either its holder donates it and
// debits its own pools before the write, or the share of an absent instance is
// reclaimed in two writes: the first revokes it, and the second gives it to
// others after a wait that outlasts the holder's freshness and its loans. The
// first write is needed because an instance that the platform does not list may
// still run with a fresh table.

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

// One incarnation of an instance.
struct member
{
    instance_id instance;
    incarnation life;

    auto operator<=>(const member&) const = default;

    MSGPACK_DEFINE_ARRAY(instance, life)
};

// Entry of the share table.
struct share_holder
{
    member identity;
    share_ppm share;
    // Table epoch at which this entry was created. A holder that reads a
    // different value than before lost its share in the meantime and starts
    // with empty buckets.
    epoch entry_epoch;
    // Table epoch at which the share was revoked; 0 if it is in use.
    epoch revoked_epoch;

    bool operator==(const share_holder&) const = default;

    MSGPACK_DEFINE_ARRAY(identity, share, entry_epoch, revoked_epoch)
};

struct share_table
{
    // Epoch of the table, incremented by each change.
    epoch number;
    std::vector<share_holder> holders;

    bool operator==(const share_table&) const = default;

    MSGPACK_DEFINE_ARRAY(number, holders)
};

// A part of the donor's share for one receiver.
struct donation
{
    member receiver;
    share_ppm share;

    bool operator==(const donation&) const = default;
};

// Returns the table of a new fleet, in which the creator holds the whole share.
// It is written under revision 0.
share_table create_share_table(const member& creator);

// Returns the entry of the instance with this incarnation, or nullptr.
const share_holder* find_holder(const share_table& table,
                                const member& identity);

// Returns the share that the member may use: 0 if it is not listed with this
// incarnation or is revoked.
share_ppm usable_share(const share_table& table, const member& identity);

// Returns the donations by which the donor brings the listed members to an even
// split. Members within a tenth of their target receive nothing, so that small
// differences cause no writes. Returns nothing for a revoked donor.
std::vector<donation> even_split(const share_table& table, const member& donor,
                                 std::span<const member> listed);

// Transfers parts of the donor's share. Throws error if the donor holds less
// than their sum or is revoked.
share_table donate(const share_table& table, const member& donor,
                   std::span<const donation> donations);

// Transfers the whole share of a leaving member to the others in equal parts
// and removes its entry. Throws error if there is no other member, or if the
// leaving member is not in the table or is revoked.
share_table hand_over(const share_table& table, const member& leaving,
                      std::span<const member> others);

// First write of a reclaim: marks the holder's share as revoked. Throws error
// if the member holds no share or is already revoked.
share_table revoke(const share_table& table, const member& holder);

// Undoes a revocation. The revoked member itself writes this table when it is
// still in use. Throws error if the member is not revoked.
share_table restore(const share_table& table, const member& identity);

// Second write of a reclaim: transfers the revoked share to the receivers in
// equal parts. Throws error if the member is not revoked or there is no
// receiver.
share_table redistribute(const share_table& table, const member& holder,
                         std::span<const member> receivers);

// Returns the MessagePack encoding of the table.
std::string pack_share_table(const share_table& table);

// Decodes a table. Throws codec_error if the bytes are malformed or the shares
// sum to more than 1,000,000 ppm.
share_table unpack_share_table(std::string_view bytes);

// How long one reclaimer has observed the absence of each holder. Each
// reclaimer measures it on its own clock.
struct reclaim_watch
{
    struct absence
    {
        member identity;
        // Epoch of the revocation during which the duration was counted; 0 if
        // the share was not revoked.
        epoch revoked_epoch;
        milliseconds duration{0};
    };
    std::vector<absence> absences;
    // Time of the last update; empty before the first.
    std::optional<time_point> last_update;
};

enum class reclaim_action
{
    revoke,
    redistribute
};

// A write of a reclaim that is due.
struct reclaim_step
{
    member holder;
    reclaim_action action;
};

// Returns the wait before each of the two steps of a reclaim: two freshness
// bounds plus the margin. Assumes that loans last at most one bound, and that
// no request lasts longer than both waits together.
milliseconds reclaim_wait(milliseconds freshness_bound, milliseconds margin);

// Adds the time since the last call to the absence of each holder that is not
// in the platform's list, and returns the writes that are due. A call with an
// unreachable store resets all absences. Of the time between two calls at most
// one second counts, so that a paused reclaimer does not count time in which it
// observed nothing.
std::vector<reclaim_step>
update_reclaim_watch(reclaim_watch& watch, const share_table& table,
                     std::span<const member> listed, bool store_reachable,
                     milliseconds wait, time_point now);

} // namespace parsleyplank::quota

#endif
