#ifndef PARSLEYPLANK_QUOTA_TOKEN_STOCK_HPP
#define PARSLEYPLANK_QUOTA_TOKEN_STOCK_HPP

// The tokens of one customer at one instance. Each instance issues an even part
// of the customer's rate. A token has one holder at a time: the instance that
// issued it, or one that it was moved to. Tokens are never copied, so all
// instances together admit no more than the rate and the burst, whichever of
// them are in touch; a message that is lost or late loses tokens.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstddef>
#include <cstdint>

namespace parsleyplank::quota
{

// How a rate is divided among the instances of the fleet.
struct rate_division
{
    // Instances that may issue tokens, in touch or not; at least 1.
    std::size_t issuers = 1;
    // Those of this region that are in touch with this instance.
    std::size_t issuers_in_touch = 1;
    // Whether this instance is one of them, and since when its part has been
    // set aside for it. Default value if it was not before now.
    bool issuing = true;
    time_point issuing_since{};
};

// The part of a customer's rate that one instance issues.
struct rate_part
{
    token_rate rate;
    // Tokens that the instance keeps for its own requests.
    tokens own_burst;
    // Tokens that the pool of the region keeps for all its instances.
    tokens pool_burst;

    bool operator==(const rate_part&) const = default;
};

// Returns the part of one instance. Half of the burst is kept by the instances
// and half by the pools. An instance whose part is too small to serve requests
// by itself keeps nothing, so that the pools have all tokens. The burst of a
// pool is rounded up to whole tokens.
rate_part divide_rate(token_rate rate, tokens burst,
                      const rate_division& division);

struct token_stock
{
    rate_part part;
    // Tokens for the requests of this instance.
    tokens own;
    // Issued tokens that are to be moved to the pool of the region.
    tokens spare;
    // Tokens that this instance keeps as the pool of its region.
    tokens pooled;
    // Time up to which tokens have been issued.
    time_point refilled;
};

// Returns an empty stock. `phase` in [0, 1) is the part of a first token: the
// instances of a fleet issue their first tokens at different times.
token_stock make_stock(const rate_part& part, double phase, time_point now);

// Lets the next refill issue the tokens from this time on. Only for a part that
// nobody has used since then.
void issue_since(token_stock& stock, time_point since);

// Issues tokens at the old rate until now, then replaces the part. Tokens in
// stock stay.
void set_part(token_stock& stock, const rate_part& part, time_point now);

// Issues the tokens for the time since the last call. `is_pool` tells whether
// this instance is the pool of its region.
void refill(token_stock& stock, bool is_pool, time_point now);

// Refills the stock and takes one token of this instance, or of the pool if it
// is here. Returns false if there is none.
bool take(token_stock& stock, bool is_pool, time_point now);

// Takes up to `wanted` whole tokens from the pool and returns their number.
std::uint32_t take_pooled(token_stock& stock, std::uint32_t wanted);

// Adds tokens that another instance has issued to the pool; those beyond its
// burst are dropped.
void add_pooled(token_stock& stock, std::uint32_t count);

// Removes and returns the whole tokens that are to be moved to the pool.
// `expected` is the number of requests that this instance is likely to get
// before more tokens can be moved; tokens beyond it and beyond the own burst
// are moved as well.
std::uint32_t take_spare(token_stock& stock, double expected);

} // namespace parsleyplank::quota

#endif
