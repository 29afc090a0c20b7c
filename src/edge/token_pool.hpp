#ifndef PARSLEYPLANK_EDGE_TOKEN_POOL_HPP
#define PARSLEYPLANK_EDGE_TOKEN_POOL_HPP

// Moves the tokens of customers to where they are asked for. One instance of
// each region is the pool of a customer: the others move their spare tokens
// there and request tokens from it when their own are used up. Pools that run
// short request tokens from those of the other regions. Instances that disagree
// on which one is the pool use several; since tokens are only moved, this
// admits no more requests. Decisions only: the messages are sent elsewhere.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/quota/token_stock.hpp>
#include <parsleyplank/steering/demand_meter.hpp>
#include <parsleyplank/steering/rate_share.hpp>
#include <parsleyplank/steering/traffic_config.hpp>

#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace parsleyplank::edge
{

struct token_pool_options
{
    // Interval of move_tokens.
    milliseconds move_interval{250};
    // Time for which a pool that does not answer is not asked, and for which
    // this instance is its own pool if several do not.
    milliseconds suspicion_time{1'000};
    // Number of requests in a row without an answer after which a pool is
    // suspected: single datagrams are lost.
    int max_unanswered = 2;
    // Number of suspected pools in a row after which this instance takes it
    // that it is cut off.
    int max_silent_pools = 2;
    // Time after a refusal of the pool for which it is not asked again, and
    // after one of another region.
    milliseconds refusal_time{50};
    milliseconds other_region_refusal_time{1'000};
    // Time after a request of another instance for which tokens stay here,
    // although another instance is the pool.
    milliseconds pool_use_time{1'000};
    // Half-life of the weight of past demand.
    milliseconds demand_half_life{1'500};
    // Time for which the pool holds tokens for its demand.
    milliseconds pool_horizon{500};
    // Time for which an instance holds tokens for its own demand.
    milliseconds own_horizon{500};
    // Maximum number of tokens requested at once for one request.
    std::uint32_t max_request = 16;
};

// The tokens of one customer.
struct customer_tokens
{
    token_rate rate;
    quota::token_stock stock;
    // Requests of callers at this instance.
    steering::demand_meter own_demand;
    // Tokens that are asked of this instance as the pool.
    steering::demand_meter pool_demand;
    // The pool of each region, as far as it has been looked up.
    std::map<region_id, const steering::fleet_member*> pools;
    time_point refused_until{};
    time_point refused_elsewhere_until{};
    // Time of the last request of another instance.
    time_point last_peer_request{};
};

struct token_pool_state
{
    token_pool_options options;
    instance_id self;
    region_id region;
    quota::rate_division division{1, 1, false, {}};
    // The instances that this one is in touch with, and itself unless it is
    // draining, by region.
    std::map<region_id, std::vector<steering::fleet_member>> peers;
    std::unordered_map<customer_id, customer_tokens> customers;
    // Customers by their number in messages.
    std::unordered_map<std::uint32_t, customer_id> numbers;
    // Requests in a row that pools have not answered.
    std::unordered_map<instance_id, int> unanswered;
    // Pools that are suspected, and until when they are not asked.
    std::unordered_map<instance_id, time_point> suspects;
    // Pools suspected in a row without an answer of any, and until when this
    // instance is its own pool because of them.
    int silent_pools = 0;
    time_point cut_off_until{};
    std::mt19937_64 rng;
};

// Replaces the division of the rates, the customers with a limit and the peers.
// Tokens in stock stay.
void adopt_division(token_pool_state& state,
                    std::span<const steering::traffic_customer> customers,
                    const quota::rate_division& division,
                    std::vector<steering::fleet_member> peers, time_point now);

// Where the token of a request comes from.
enum class token_source
{
    taken,
    refused,
    // The pool has to be asked.
    pool
};

// Counts a request of a caller. Called once for each request.
void count_request(token_pool_state& state, const customer_id& customer);

// Takes a token that is at this instance. Customers without a limit need none.
token_source take_token(token_pool_state& state, const customer_id& customer,
                        time_point now);

// A request of tokens to the pool.
struct pool_request
{
    instance_id pool;
    steering::server_endpoint to;
    std::uint32_t customer = 0;
    std::uint32_t count = 0;
};

// Returns the request to send if take_token returned token_source::pool.
pool_request make_pool_request(token_pool_state& state,
                               const customer_id& customer, time_point now);

// Returns a request to the pool of another region, which is farther away, after
// that of this region has refused. Nullopt if another region is not to be
// asked.
std::optional<pool_request>
make_other_region_request(token_pool_state& state, const customer_id& customer,
                          time_point now);

// Adds tokens that were moved to this instance for its own requests.
void add_own(token_pool_state& state, std::uint32_t customer,
             std::uint32_t count);

// Records that the pool has answered, that it has no tokens, that the one of
// another region has none, or that a pool has not answered.
void note_answer(token_pool_state& state, const instance_id& pool);
void note_refusal(token_pool_state& state, const customer_id& customer,
                  time_point now);
void note_other_region_refusal(token_pool_state& state,
                               const customer_id& customer, time_point now);
void note_silence(token_pool_state& state, const instance_id& pool,
                  time_point now);

// Takes up to `wanted` tokens for another instance of the region and returns
// their number.
std::uint32_t grant_tokens(token_pool_state& state, std::uint32_t customer,
                           std::uint32_t wanted, time_point now);

// Takes a token for a request that waits in another region. Returns whether
// there was one.
bool grant_elsewhere(token_pool_state& state, std::uint32_t customer,
                     time_point now);

// Takes up to `wanted` tokens for the pool of another region and returns their
// number. Keeps those that this region is likely to need.
std::uint32_t lend_tokens(token_pool_state& state, std::uint32_t customer,
                          std::uint32_t wanted, time_point now);

// Adds tokens that another instance has issued, or the pool of another region
// has lent, to the pool.
void add_spare(token_pool_state& state, std::uint32_t customer,
               std::uint32_t count);
void add_lent(token_pool_state& state, std::uint32_t customer,
              std::uint32_t count);

// Tokens of several customers for one receiver.
struct token_transfer
{
    struct item
    {
        std::uint32_t customer = 0;
        std::uint32_t count = 0;
    };

    steering::server_endpoint to;
    std::vector<item> items;
};

struct token_transfers
{
    // Spare tokens that are moved to the pools of the region.
    std::vector<token_transfer> spare;
    // Tokens that are requested from the pools of the region for this instance.
    std::vector<token_transfer> wanted;
    // Tokens that are requested from the pools of other regions.
    std::vector<token_transfer> requested;
};

// Measures the demand and returns what is to be moved and requested now.
token_transfers move_tokens(token_pool_state& state, time_point now);

// Returns the time after which the customer is likely to have a token.
milliseconds token_wait(const token_pool_state& state,
                        const customer_id& customer);

} // namespace parsleyplank::edge

#endif
