#ifndef PARSLEYPLANK_QUOTA_SLOT_POOL_HPP
#define PARSLEYPLANK_QUOTA_SLOT_POOL_HPP

// The part of a fleet-wide in-flight capacity, e.g. of an upstream in a region,
// that this instance may use: home slots by its share, less what it has lent,
// and slots that it has borrowed. A request holds its slot until it has ended,
// whatever happens to the share meanwhile: what is in flight counts as spent.
//
// The deadline counts on this instance's clock, and the caller must see that no
// request runs beyond it. A request starts on a lent slot only if its deadline
// is before the loan's end, so that the lender may use the slot again from then
// on. Only home slots are lent.

#include <parsleyplank/quota/loan.hpp>
#include <parsleyplank/quota/share_table.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace parsleyplank::quota
{

// Terms of a loan of slots; sent to the borrower as the answer to its request.
struct slot_grant
{
    std::uint64_t loan = 0;
    std::uint32_t slots = 0;
    std::uint32_t duration_ms = 0;

    MSGPACK_DEFINE_ARRAY(loan, slots, duration_ms)
};

// What a borrower keeps of a loan. It only falls, so that an old or repeated
// return frees nothing.
struct slot_return
{
    std::uint64_t loan = 0;
    std::uint32_t kept = 0;

    MSGPACK_DEFINE_ARRAY(loan, kept)
};

struct lent_slots
{
    std::uint64_t number = 0;
    member borrower;
    std::uint32_t slots = 0;
    time_point end;
};

// Kept until its end even if all slots were returned, so that a repeated grant
// does not revive it.
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
    std::uint32_t total = 0;
    share_ppm share;
    std::uint32_t in_flight = 0;
    std::vector<lent_slots> lent;
    std::vector<borrowed_slots> borrowed;
    std::uint64_t next_loan = 1;
};

// Tells on which slot a request runs; to be given back when it has ended.
struct slot_ticket
{
    // Nothing if it is a home slot.
    std::optional<member> lender;
    std::uint64_t loan = 0;
};

// Returns the slots of a share, rounded down: shares that sum to the whole
// never give more than the total, even while instances hold different epochs of
// the table. At most one slot per holder is left unused.
std::uint32_t home_slots(std::uint32_t total, share_ppm share);

// Drops loans whose end has come.
void drop_expired(slot_pool& pool, time_point now);

// Returns the free home slots; 0 if more are in flight or lent than the share
// gives.
std::uint32_t free_home_slots(const slot_pool& pool);

// Takes a slot for a request with that deadline: a lent one if the deadline
// allows it, else a home slot. Returns nothing if none is free. The home slots
// count only if the share is usable.
std::optional<slot_ticket> acquire(slot_pool& pool, bool home_usable,
                                   time_point deadline, time_point now);

// Ends a request. A slot of a loan that has ended is gone.
void release(slot_pool& pool, const slot_ticket& ticket);

// Lends up to that number of free home slots. Returns nothing if none is free.
std::optional<slot_grant> lend(slot_pool& pool, const member& borrower,
                               std::uint32_t slots, milliseconds duration,
                               time_point now);

// Adds a loan that was asked for at that time on this instance's clock. Ignores
// one that is known or has ended.
void accept(slot_pool& pool, const member& lender, const slot_grant& grant,
            time_point requested_at, time_point now);

// Gives back the slots of a loan on which nothing is in flight. Returns nothing
// if the loan is not held or none is idle.
std::optional<slot_return> give_back(slot_pool& pool, const member& lender,
                                     std::uint64_t loan, time_point now);

// Takes back what the borrower returns.
void apply_return(slot_pool& pool, const member& borrower,
                  const slot_return& item, time_point now);

// Returns the largest share that the holder can donate: none of the slots that
// are lent or in flight.
share_ppm donatable(const slot_pool& pool);

} // namespace parsleyplank::quota

#endif
