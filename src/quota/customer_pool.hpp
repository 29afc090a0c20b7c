#ifndef PARSLEYPLANK_QUOTA_CUSTOMER_POOL_HPP
#define PARSLEYPLANK_QUOTA_CUSTOMER_POOL_HPP

// The part of one customer's rate and burst that this instance may use: a home
// bucket in proportion to its share of the fleet, less what it has lent, and a
// sub-bucket for each loan that it holds.
//
// At every instant the rates of all buckets in the fleet sum to at most the
// customer's rate, and their bursts to at most its burst: a lender debits its
// home bucket before the loan leaves, a borrower drops the loan before the
// lender takes it back, and both drop a loan whose end has come on their own
// clock. Only the home bucket is lent. A borrower that lends a loan on would go
// on lending rate that its own lender has taken back.

#include <parsleyplank/quota/loan.hpp>
#include <parsleyplank/quota/share_table.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <optional>
#include <vector>

namespace parsleyplank::quota
{

struct customer_limits
{
    customer_id customer;
    token_rate rate;
    tokens burst;
};

// A loan seen from the lender.
struct lent_loan
{
    std::uint64_t number = 0;
    member borrower;
    token_rate rate;
    tokens burst;
    time_point end;
    // False if the limits were lowered after the grant.
    bool extendable = true;
};

// A loan seen from the borrower.
struct borrowed_loan
{
    member lender;
    std::uint64_t number = 0;
    token_bucket bucket;
    time_point end;
};

// A loan that ended before its time; a repeated grant must not revive it.
struct ended_loan
{
    member lender;
    std::uint64_t number = 0;
    time_point until;
};

struct customer_pool
{
    customer_limits limits;
    share_ppm share;
    token_bucket home;
    std::vector<lent_loan> lent;
    std::vector<borrowed_loan> borrowed;
    std::vector<ended_loan> ended;
};

// Part of a clock's time that a borrower uses of a loan; the rest allows for
// clocks that run at different speeds.
inline constexpr double borrower_duration_fraction = 0.99;

// Returns when a borrower stops using a loan that it asked for at that time.
time_point borrower_loan_end(time_point requested_at, milliseconds duration);

// Returns a pool without share.
customer_pool make_pool(const customer_limits& limits, time_point now);

// Sets new limits. Raised ones start empty. After a reduction, loans made under
// the old limits stay debited until their end and are not extended, so the new
// limits hold one loan duration after the last instance has adopted them.
void set_limits(customer_pool& pool, const customer_limits& limits,
                time_point now);

// Sets this instance's share. An added share starts empty.
void set_share(customer_pool& pool, share_ppm share, time_point now);

// Drops the tokens of the home bucket.
void clear_home_tokens(customer_pool& pool, time_point now);

// Drops loans whose end has come and refills all buckets. A lender's home
// bucket gets the rate back as of the loan's end.
void expire_and_refill(customer_pool& pool, time_point now);

// Returns the tokens, or the rate, that admissions may use. The pool must have
// been settled. The home bucket counts only if it is usable.
tokens available(const customer_pool& pool, bool home_usable);
token_rate usable_rate(const customer_pool& pool, bool home_usable);

// Takes one token, from loans that end first before others and from the home
// bucket last; parts of a token in several buckets add up. Returns the time
// until which the admission holds, time_point::max() if no loan took part, or
// nothing if the tokens do not suffice. The pool must have been settled.
std::optional<time_point> take_token(customer_pool& pool, bool home_usable);

struct loan_terms
{
    token_rate rate;
    tokens burst;
    tokens level;
};

// Lends from the home bucket, at most what it has. Debits at once. The number
// must not have been used before by this incarnation. Returns nothing if there
// is nothing to lend. The pool must have been settled.
std::optional<grant_item> lend(customer_pool& pool, std::uint64_t number,
                               const member& borrower, const loan_terms& terms,
                               milliseconds duration, time_point now);

// Makes an outstanding loan last for the duration from now. Returns false if it
// is not outstanding or must end.
bool extend_lent(customer_pool& pool, std::uint64_t number,
                 milliseconds duration, time_point now);

// Takes back what the borrower returns, at most what the kept part leaves free.
// Ignores a return of an unknown loan or by another borrower.
void apply_return(customer_pool& pool, const member& borrower,
                  const return_item& item, time_point now);

// Adds a loan that ends at that time on this instance's clock. Ignores one that
// is held, was held before or has ended.
void accept(customer_pool& pool, const member& lender, const grant_item& item,
            time_point end, time_point now);

// Prolongs a loan that is held; never revives one. Returns false if the loan is
// not held.
bool extend_borrowed(customer_pool& pool, const member& lender,
                     std::uint64_t number, time_point end);

// Gives back the part (0 to 1) of a loan that is held: debits it and returns
// the message for the lender. The loan is dropped if the part is 1.
return_item give_back(customer_pool& pool, const member& lender,
                      std::uint64_t number, double part, time_point now);

// Returns the message that tells the lender that a loan is not held. A grant of
// that number which arrives before the given time is not accepted any more.
return_item return_unheld_loan(customer_pool& pool, const member& lender,
                               std::uint64_t number, time_point until);

// Returns the largest share that the holder can donate without taking back what
// it has lent.
share_ppm donatable(const customer_pool& pool);

} // namespace parsleyplank::quota

#endif
