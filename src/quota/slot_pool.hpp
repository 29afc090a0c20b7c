#ifndef PARSLEYPLANK_QUOTA_SLOT_POOL_HPP
#define PARSLEYPLANK_QUOTA_SLOT_POOL_HPP

// The part of a fleet-wide in-flight capacity, e.g. of an upstream in a region,
// that this instance may use: home slots in proportion to its share, less what
// it has lent, plus slots that it has borrowed. A request holds its slot until
// it has ended, even if the share changes in the meantime: requests in flight
// count as used slots.
//
// Deadlines refer to this instance's clock, and the caller must ensure that no
// request runs beyond its deadline. A request starts on a borrowed slot only if
// its deadline is before the loan's end, so that the lender can use the slot
// again from then on. Only home slots are lent.

#include <parsleyplank/quota/loan.hpp>
#include <parsleyplank/quota/share_table.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace parsleyplank::quota
{

// Terms of a slot loan, sent to the borrower in answer to its request.
struct slot_grant
{
    std::uint64_t loan = 0;
    std::uint32_t slots = 0;
    std::uint32_t duration_ms = 0;

    MSGPACK_DEFINE_ARRAY(loan, slots, duration_ms)
};

// States how many slots of a loan the borrower keeps. The number only
// decreases, so that an old or repeated return frees nothing.
struct slot_return
{
    std::uint64_t loan = 0;
    std::uint32_t kept = 0;

    MSGPACK_DEFINE_ARRAY(loan, kept)
};

// A slot loan as recorded by the lender.
struct lent_slots
{
    std::uint64_t number = 0;
    member borrower;
    std::uint32_t slots = 0;
    time_point end;
};

// A slot loan as recorded by the borrower. The record is kept until the loan's
// end even if all slots were returned, so that a repeated grant does not add
// the loan again.
struct borrowed_slots
{
    member lender;
    std::uint64_t number = 0;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    time_point end;
};

struct slot_pool
{
    // Capacity of the whole fleet.
    std::uint32_t total = 0;
    share_ppm share;
    // Requests on home slots.
    std::uint32_t in_flight = 0;
    std::vector<lent_slots> lent;
    std::vector<borrowed_slots> borrowed;
    std::uint64_t next_loan = 1;
};

// Identifies the slot on which a request runs; passed to release when the
// request has ended.
struct slot_ticket
{
    // Empty for a home slot.
    std::optional<member> lender;
    std::uint64_t loan = 0;
};

// Returns the number of slots of a share, rounded down, so that the slots of
// all shares never sum to more than the total, even while instances hold
// different epochs of the table. At most one slot per holder stays unused.
std::uint32_t home_slots(std::uint32_t total, share_ppm share);

// Drops the loans that have expired.
void drop_expired(slot_pool& pool, time_point now);

// Returns the number of free home slots; 0 if more are in flight or lent than
// the share allows.
std::uint32_t free_home_slots(const slot_pool& pool);

// Takes a slot for a request with that deadline: a borrowed one if the deadline
// allows it, otherwise a home slot. Returns nothing if none is free. Home slots
// are used only if the share is usable.
std::optional<slot_ticket> acquire(slot_pool& pool, bool home_usable,
                                   time_point deadline, time_point now);

// Frees the slot of a request that has ended. Has no effect for a slot of a
// loan that has been dropped.
void release(slot_pool& pool, const slot_ticket& ticket);

// Lends at most the given number of free home slots. Returns the grant for the
// borrower, or nothing if no slot is free.
std::optional<slot_grant> lend(slot_pool& pool, const member& borrower,
                               std::uint32_t slots, milliseconds duration,
                               time_point now);

// Adds a loan that was requested at that time on this instance's clock. Ignores
// a loan that is already recorded or has expired.
void accept(slot_pool& pool, const member& lender, const slot_grant& grant,
            time_point requested_at, time_point now);

// Returns the idle slots of a loan to its lender: drops them and returns the
// message to send, or nothing if the loan is not held or has no idle slot.
std::optional<slot_return> give_back(slot_pool& pool, const member& lender,
                                     std::uint64_t loan, time_point now);

// Recovers the slots that the borrower returns. Ignores a return of an unknown
// loan or by another borrower.
void apply_return(slot_pool& pool, const member& borrower,
                  const slot_return& item, time_point now);

// Returns the largest share that the holder can donate without donating slots
// that are lent or in flight.
share_ppm donatable(const slot_pool& pool);

} // namespace parsleyplank::quota

#endif
