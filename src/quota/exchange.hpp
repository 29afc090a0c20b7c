#ifndef PARSLEYPLANK_QUOTA_EXCHANGE_HPP
#define PARSLEYPLANK_QUOTA_EXCHANGE_HPP

// The steps by which rate and tokens move between instances, used by the quota
// state only. Each adds to the messages of a round, one of each kind per peer.

#include <parsleyplank/quota/lending.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <vector>

namespace parsleyplank::quota
{

// Messages of one round, by position of the peer in the state.
struct exchange_round
{
    std::vector<loan_grant> grants;
    std::vector<loan_return> returns;
    std::vector<loan_request> requests;
};

exchange_round begin_round(const quota_state& state);

// Rates as they are and should be: this instance first, then the peers that
// were heard lately.
struct rate_plan
{
    std::vector<lending_party> parties;
    std::vector<double> targets;
    // Position of each party in the state's peers; meaningless for the first.
    std::vector<std::size_t> peers;
};

rate_plan plan_rates(const quota_state& state, const customer_state& customer,
                     time_point now);

// True if the demand that is known is clearly above the customer's rate.
bool overloaded(const customer_state& customer, time_point now);

// Returns the tokens that this instance could lend on request.
double spare_tokens(const quota_state& state, const customer_state& customer,
                    time_point now);

// Lends rate to peers that should have more, and extends loans in use.
void lend_proactively(quota_state& state, customer_state& customer,
                      const rate_plan& plan, exchange_round& round,
                      time_point now);

// Returns borrowed rate above the plan.
void return_surplus(quota_state& state, customer_state& customer,
                    const rate_plan& plan, exchange_round& round,
                    time_point now);

// Returns loans of tokens that are spent: their burst lets the lender's home
// bucket fill again.
void return_spent(quota_state& state, customer_state& customer,
                  exchange_round& round, time_point now);

// Asks the peers with most spare tokens if this instance will run short.
void request_tokens(quota_state& state, customer_state& customer,
                    std::uint32_t waiting, exchange_round& round,
                    time_point now);

// Numbers the messages, remembers when they were sent and adds them.
void send_round(quota_state& state, exchange_round& round,
                std::vector<outgoing_message>& messages, time_point now);

// Adds the demand message for all peers if there is something to tell.
void report_demand(quota_state& state, std::vector<outgoing_message>& messages,
                   time_point now);

} // namespace parsleyplank::quota

#endif
