#ifndef PARSLEYPLANK_QUOTA_CUSTOMER_POOL_HPP
#define PARSLEYPLANK_QUOTA_CUSTOMER_POOL_HPP

// The part of one customer's rate and burst that this instance may use: a home
// bucket in proportion to its share of the fleet, less what it has lent, and a
// separate bucket for each loan that it has borrowed.
//
// Invariant: at every instant the rates of all buckets in the fleet sum to at
// most the customer's rate, and their bursts to at most its burst. To hold it,
// a lender debits its home bucket before it sends the grant, a borrower drops
// the loan before the lender recovers it, and each expires the loan by its own
// clock. Only the home bucket is lent: a borrower that lent borrowed rate on
// could still lend it after its own lender has recovered it.

#include <parsleyplank/quota/loan.hpp>
#include <parsleyplank/quota/share_table.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <optional>
#include <vector>

namespace parsleyplank::quota
{

// The fleet-wide limits of a customer.
struct customer_limits
{
    customer_id customer;
    token_rate rate;
    tokens burst;
};

// A loan as recorded by the lender.
struct lent_loan
{
    std::uint64_t number = 0;
    member borrower;
    token_rate rate;
    tokens burst;
    time_point end;
    // False if the limits were lowered after the grant; the loan then runs out.
    bool extendable = true;
};

// A loan as recorded by the borrower.
struct borrowed_loan
{
    member lender;
    std::uint64_t number = 0;
    token_bucket bucket;
    time_point end;
};

// A loan that ended early for the borrower, recorded until the given time so
// that a repeated grant does not add it again.
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

// Fraction of a loan's duration for which a borrower uses it. The rest allows
// for clocks of lender and borrower that run at different speeds.
inline constexpr double borrower_duration_fraction = 0.99;

// Returns the time at which a borrower stops using a loan that it requested at
// that time. Counting from the request, not from the arrival of the grant,
// makes the borrower stop before the lender.
time_point borrower_loan_end(time_point requested_at, milliseconds duration);

// Returns a pool without a share and without loans.
customer_pool make_pool(const customer_limits& limits, time_point now);

// Sets new limits. Capacity added by raised limits starts empty. After a
// reduction, loans made under the old limits stay debited until their end and
// are not extended, so the new limits hold one loan duration after the last
// instance has adopted them.
void set_limits(customer_pool& pool, const customer_limits& limits,
                time_point now);

// Sets this instance's share. The capacity of an added share starts empty.
void set_share(customer_pool& pool, share_ppm share, time_point now);

// Discards the tokens in the home bucket.
void clear_home_tokens(customer_pool& pool, time_point now);

// Drops the loans that have expired and refills all buckets. The home bucket of
// a lender refills at the recovered rate from the loan's end on.
void expire_and_refill(customer_pool& pool, time_point now);

// Returns the tokens, or the rate, that admissions may use. Assumes that
// expire_and_refill was called for the current time. The home bucket counts
// only if it is usable.
tokens available(const customer_pool& pool, bool home_usable);
token_rate usable_rate(const customer_pool& pool, bool home_usable);

// Takes one token, from the loans in the order of their end and from the home
// bucket last; fractions of a token in several buckets add up. Returns the time
// until which the admission is valid (the earliest end of the loans used, or
// time_point::max() if none was), or nothing if there is less than one token.
// Assumes that expire_and_refill was called for the current time.
std::optional<time_point> take_token(customer_pool& pool, bool home_usable);

// Rate, burst and initial tokens of a loan.
struct loan_terms
{
    token_rate rate;
    tokens burst;
    tokens level;
};

// Lends at most what the home bucket has and debits it at once. Returns the
// grant for the borrower, or nothing if there is nothing to lend. Assumes that
// this incarnation has not used the number before and that expire_and_refill
// was called for the current time.
std::optional<grant_item> lend(customer_pool& pool, std::uint64_t number,
                               const member& borrower, const loan_terms& terms,
                               milliseconds duration, time_point now);

// Extends an outstanding loan to the duration from now. Returns false if the
// loan is not outstanding or must not be extended.
bool extend_lent(customer_pool& pool, std::uint64_t number,
                 milliseconds duration, time_point now);

// Credits the home bucket with what the borrower returns. The returned tokens
// are limited to the burst that the borrower no longer keeps. Ignores a return
// of an unknown loan or by another borrower.
void apply_return(customer_pool& pool, const member& borrower,
                  const return_item& item, time_point now);

// Adds a borrowed loan that ends at that time on this instance's clock. Ignores
// a loan that is already held, was returned early or has expired.
void accept(customer_pool& pool, const member& lender, const grant_item& item,
            time_point end, time_point now);

// Extends a borrowed loan. Returns false if the loan is not held; a loan that
// was dropped is not added again.
bool extend_borrowed(customer_pool& pool, const member& lender,
                     std::uint64_t number, time_point end);

// Returns the given part (0 to 1) of a borrowed loan to its lender: debits it
// and returns the message to send. A part of 1 drops the loan. Throws error if
// the loan is not held.
return_item give_back(customer_pool& pool, const member& lender,
                      std::uint64_t number, double part, time_point now);

// Returns the message that returns a loan which this instance does not hold, so
// that the lender ends it. A grant of that number that arrives before the given
// time is no longer accepted.
return_item return_unheld_loan(customer_pool& pool, const member& lender,
                               std::uint64_t number, time_point until);

// Returns the largest share that the holder can donate without donating what it
// has lent.
share_ppm donatable(const customer_pool& pool);

} // namespace parsleyplank::quota

#endif
