#ifndef PARSLEYPLANK_QUOTA_EXCHANGE_HPP
#define PARSLEYPLANK_QUOTA_EXCHANGE_HPP

// The steps by which rate and tokens move between instances: lending, returns,
// requests and demand reports. Only the quota state uses them. Each step adds
// to the messages of a round, which has at most one message of each kind per
// peer.

#include <parsleyplank/quota/lending.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <vector>

namespace parsleyplank::quota
{

// Messages of one round, indexed by the position of the peer in the state.
struct exchange_round
{
    std::vector<loan_grant> grants;
    std::vector<loan_return> returns;
    std::vector<loan_request> requests;
};

// Returns a round with empty messages for all peers.
exchange_round begin_round(const quota_state& state);

// Current home rates and target rates: this instance first, then the peers
// whose report is recent.
struct rate_plan
{
    std::vector<lending_party> parties;
    std::vector<double> targets;
    // Position of each party in the state's peers; unused for the first.
    std::vector<std::size_t> peers;
};

// Computes the plan for one customer from its estimate and the recent reports.
rate_plan plan_rates(const quota_state& state, const customer_state& customer,
                     time_point now);

// Returns true if the known demand of the fleet clearly exceeds the customer's
// rate.
bool overloaded(const customer_state& customer, time_point now);

// Returns the tokens that this instance can lend on request: those in the home
// bucket less a reserve for its own demand and waiting requests.
double spare_tokens(const quota_state& state, const customer_state& customer,
                    time_point now);

// Lends rate to peers whose target exceeds their rate, and extends loans that
// the plan still covers.
void lend_proactively(quota_state& state, customer_state& customer,
                      const rate_plan& plan, exchange_round& round,
                      time_point now);

// Returns borrowed rate in excess of the plan to its lenders.
void return_surplus(quota_state& state, customer_state& customer,
                    const rate_plan& plan, exchange_round& round,
                    time_point now);

// Returns token loans that are spent: the returned burst lets the lender's home
// bucket fill again.
void return_spent(quota_state& state, customer_state& customer,
                  exchange_round& round, time_point now);

// Requests tokens from the peers with the most spare tokens if this instance is
// about to run short.
void request_tokens(quota_state& state, customer_state& customer,
                    std::uint32_t waiting, exchange_round& round,
                    time_point now);

// Numbers the messages, records when the requests were sent and appends the
// messages that are not empty.
void send_round(quota_state& state, exchange_round& round,
                std::vector<outgoing_message>& messages, time_point now);

// Appends the demand message for all peers if a report is due.
void report_demand(quota_state& state, std::vector<outgoing_message>& messages,
                   time_point now);

} // namespace parsleyplank::quota

#endif
