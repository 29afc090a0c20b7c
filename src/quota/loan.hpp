#ifndef PARSLEYPLANK_QUOTA_LOAN_HPP
#define PARSLEYPLANK_QUOTA_LOAN_HPP

// Messages by which instances tell demand and lend rate, burst and tokens. Each
// one may be lost, repeated, delayed or reordered without harm:
//  - a borrower accepts a grant only for a demand or request of its own
//    incarnation whose sending time it remembers, and each loan once;
//  - a lender debits before it sends, and takes a return only for a loan it
//    still has outstanding. A return names what is kept, which only falls, so
//    an old or repeated one frees nothing.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyplank::quota
{

// Hash of a customer id. Loans carry all 64 bits, because a mistaken customer
// would break its limit; demand carries 32, where a collision costs only
// efficiency.
using customer_key = std::uint64_t;

// Returns the key of a customer. The same on every instance.
customer_key key_of(const customer_id& customer);

struct demand_item
{
    std::uint32_t customer = 0;
    // Arrivals per 10 s, admitted or not.
    std::uint32_t per_10s = 0;
    // Tenths of tokens that the sender could lend now.
    std::uint32_t spare_tenths = 0;

    MSGPACK_DEFINE_ARRAY(customer, per_10s, spare_tenths)
};

// Tells demand and spare tokens, and stands for a request that a lender may
// answer with a loan ahead of need. Customers whose figures have hardly changed
// are left out.
struct demand
{
    std::uint64_t number = 0;
    std::vector<demand_item> items;

    MSGPACK_DEFINE_ARRAY(number, items)
};

struct request_item
{
    customer_key customer = 0;
    std::uint32_t tenths = 0;

    MSGPACK_DEFINE_ARRAY(customer, tenths)
};

// Asks for tokens on need, counted in tenths.
struct loan_request
{
    std::uint64_t number = 0;
    std::vector<request_item> items;

    MSGPACK_DEFINE_ARRAY(number, items)
};

// Terms are floats so that lender and borrower use the same rounded value.
struct grant_item
{
    customer_key customer = 0;
    // Number of the loan, unique for the lender's incarnation; 0 if nothing is
    // lent because the lender has no spare tokens.
    std::uint64_t loan = 0;
    float rate = 0;
    float burst = 0;
    float level = 0;

    MSGPACK_DEFINE_ARRAY(customer, loan, rate, burst, level)
};

struct extension_item
{
    customer_key customer = 0;
    std::vector<std::uint64_t> loans;

    MSGPACK_DEFINE_ARRAY(customer, loans)
};

struct loan_grant
{
    // Incarnation of the borrower: the numbers of an earlier life must not
    // match those of the present one.
    incarnation borrower;
    // Number of the demand or of the request that is answered.
    bool to_demand = false;
    std::uint64_t number = 0;
    std::uint32_t duration_ms = 0;
    std::vector<grant_item> loans;
    // Earlier loans to the same borrower that last for the duration from now.
    std::vector<extension_item> extended;

    MSGPACK_DEFINE_ARRAY(borrower, to_demand, number, duration_ms, loans,
                         extended)
};

struct return_item
{
    std::uint64_t loan = 0;
    // What the borrower keeps; zero returns the whole loan.
    float rate = 0;
    float burst = 0;
    // Tokens that come back with this return.
    float level = 0;

    MSGPACK_DEFINE_ARRAY(loan, rate, burst, level)
};

struct loan_return
{
    // Incarnation of the lender that made the loans.
    incarnation lender;
    std::vector<return_item> items;

    MSGPACK_DEFINE_ARRAY(lender, items)
};

using message_body =
    std::variant<demand, loan_request, loan_grant, loan_return>;

struct outgoing_message
{
    instance_id receiver;
    message_body body;
};

// Returns the MessagePack form of the body without its kind.
std::string pack_body(const message_body& body);

} // namespace parsleyplank::quota

#endif
