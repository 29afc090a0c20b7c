#ifndef PARSLEYPLANK_QUOTA_LOAN_HPP
#define PARSLEYPLANK_QUOTA_LOAN_HPP

// Messages by which instances report demand and lend rate, burst and tokens.
// Losing, repeating, delaying or reordering them never creates tokens:
//  - A borrower accepts a grant only in answer to a demand or request message
//    of its own incarnation whose sending time it has recorded, and accepts
//    each loan once.
//  - A lender debits before it sends, and applies a return only to a loan that
//    is still outstanding. A return states what is kept, which only decreases,
//    so an old or repeated one frees nothing.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyplank::quota
{

// Hash of a customer id. Loans carry all 64 bits, because a collision would
// exceed a customer's limit. Demand carries 32 bits, because a collision there
// only costs efficiency.
using customer_key = std::uint64_t;

// Returns the key of a customer, which is the same on every instance.
customer_key key_of(const customer_id& customer);

struct demand_item
{
    // Low 32 bits of the customer key.
    std::uint32_t customer = 0;
    // Arrivals per 10 s, both admitted and refused.
    std::uint32_t per_10s = 0;
    // Tokens that the sender can lend now, in tenths.
    std::uint32_t spare_tenths = 0;

    MSGPACK_DEFINE_ARRAY(customer, per_10s, spare_tenths)
};

// Reports demand and spare tokens. A lender may answer it with a loan of rate
// before the sender runs short. Customers whose figures have hardly changed are
// omitted.
struct demand
{
    std::uint64_t number = 0;
    std::vector<demand_item> items;

    MSGPACK_DEFINE_ARRAY(number, items)
};

struct request_item
{
    customer_key customer = 0;
    // Requested tokens in tenths.
    std::uint32_t tenths = 0;

    MSGPACK_DEFINE_ARRAY(customer, tenths)
};

// Requests tokens when the sender runs short.
struct loan_request
{
    std::uint64_t number = 0;
    std::vector<request_item> items;

    MSGPACK_DEFINE_ARRAY(number, items)
};

// One new loan. Its terms are floats so that lender and borrower use the same
// rounded values.
struct grant_item
{
    customer_key customer = 0;
    // Number of the loan, unique within the lender's incarnation; 0 if the
    // lender has no spare tokens and lends nothing.
    std::uint64_t loan = 0;
    float rate = 0;
    float burst = 0;
    float level = 0;

    MSGPACK_DEFINE_ARRAY(customer, loan, rate, burst, level)
};

// Extended loans of one customer.
struct extension_item
{
    customer_key customer = 0;
    std::vector<std::uint64_t> loans;

    MSGPACK_DEFINE_ARRAY(customer, loans)
};

// Answers a demand or request message with new and extended loans.
struct loan_grant
{
    // Incarnation of the borrower, so that the message numbers of an earlier
    // incarnation do not match those of the current one.
    incarnation borrower;
    // True if the grant answers a demand message, false if a request; the
    // number is that of the answered message.
    bool to_demand = false;
    std::uint64_t number = 0;
    std::uint32_t duration_ms = 0;
    std::vector<grant_item> loans;
    // Earlier loans to the same borrower that are extended to the duration.
    std::vector<extension_item> extended;

    MSGPACK_DEFINE_ARRAY(borrower, to_demand, number, duration_ms, loans,
                         extended)
};

// Return of a part of one loan or of all of it.
struct return_item
{
    std::uint64_t loan = 0;
    // Rate and burst that the borrower keeps; zero returns the whole loan.
    float rate = 0;
    float burst = 0;
    // Tokens that are returned with this message.
    float level = 0;

    MSGPACK_DEFINE_ARRAY(loan, rate, burst, level)
};

// Returns loans to the lender before their end.
struct loan_return
{
    // Incarnation of the lender that made the loans.
    incarnation lender;
    std::vector<return_item> items;

    MSGPACK_DEFINE_ARRAY(lender, items)
};

using message_body =
    std::variant<demand, loan_request, loan_grant, loan_return>;

// A message and the instance to send it to.
struct outgoing_message
{
    instance_id receiver;
    message_body body;
};

// Returns the MessagePack encoding of the body without its kind.
std::string pack_body(const message_body& body);

} // namespace parsleyplank::quota

#endif
