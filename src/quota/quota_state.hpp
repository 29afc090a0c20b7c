#ifndef PARSLEYPLANK_QUOTA_QUOTA_STATE_HPP
#define PARSLEYPLANK_QUOTA_QUOTA_STATE_HPP

// One instance's quota of all customers, and the policy by which rate and
// tokens follow demand: rate is lent proactively in proportion to the demand
// that instances report to each other, surplus rate is returned early, and an
// instance that runs short requests tokens from the peers with the most spare
// tokens.
//
// The state belongs to one thread. Functions that decide on requests or
// exchange quota also return the messages to send; a lost message only costs
// efficiency. The time passed to a function must be read after the message,
// table or request passed with it has arrived.

#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/quota/customer_pool.hpp>
#include <parsleyplank/quota/demand_estimate.hpp>

#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace parsleyplank::quota
{

struct quota_settings
{
    milliseconds freshness_bound{3'000};
    // Longest time that a request waits for borrowed tokens.
    milliseconds borrow_wait{250};
    // Duration of loans of rate; at most the freshness bound.
    milliseconds loan_duration{2'000};
    // Duration of loans of tokens without rate. They serve waiting requests,
    // and the lender's burst is reduced while they last.
    milliseconds token_loan_duration{1'000};
    // Token requests per second, over all customers and peers.
    double requests_per_second = 100;
    // Rate is lent proactively for customers whose burst divided by the number
    // of instances is at least this many tokens.
    double min_home_burst = 15;
    // Each mechanism can be disabled for comparison.
    bool lend_proactively = true;
    bool extend_loans = true;
    bool return_early = true;
    bool request_when_short = true;
};

// Figures that a peer last reported for one customer.
struct peer_report
{
    // Arrivals per second.
    double demand = 0;
    // Tokens that the peer can lend.
    double spare = 0;
    time_point last_received;
};

struct peer_state
{
    member identity;
    // Highest message numbers received. Messages with lower ones are late or
    // repeated and ignored.
    std::uint64_t last_demand = 0;
    std::uint64_t last_request = 0;
};

// A token request that has not been answered yet.
struct open_request
{
    instance_id peer;
    std::uint64_t number = 0;
    // Requested tokens.
    double count = 0;
    // Time after which an answer is no longer expected.
    time_point until;
};

struct customer_state
{
    customer_pool pool;
    demand_estimate estimate;
    std::unordered_map<instance_id, peer_report> peer_reports;
    std::vector<open_request> open_requests;
    // Number of requests that wait for tokens.
    std::uint32_t waiting = 0;
    // Figures of the last report and its time.
    double reported_demand = 0;
    double reported_spare = 0;
    time_point last_reported;
};

// Number of a sent message and its sending time.
struct sent_number
{
    std::uint64_t number = 0;
    time_point sent;
};

// A donation whose write is not yet confirmed. The share stays debited until a
// table with a later epoch than the write expected is read.
struct pending_donation
{
    epoch expected_epoch;
    share_ppm share;
};

struct quota_state
{
    member self;
    quota_settings settings;
    std::vector<customer_state> customers;
    std::unordered_map<customer_id, std::size_t> by_id;
    std::unordered_map<customer_key, std::size_t> by_key;
    std::unordered_map<std::uint32_t, std::size_t> by_short_key;
    std::vector<peer_state> peers;
    share_table table;
    epoch entry_epoch;
    std::optional<pending_donation> pending;
    time_point fresh_until;
    bool leaving = false;
    std::uint64_t next_loan = 1;
    std::uint64_t next_request = 1;
    std::uint64_t next_demand = 1;
    std::deque<sent_number> sent_demands;
    std::deque<sent_number> sent_requests;
    token_bucket request_budget;
};

struct quota_output
{
    std::vector<outgoing_message> messages;
    // Customers whose waiting requests should be decided again now.
    std::vector<customer_id> ready;
};

enum class admit_verdict
{
    admitted,
    refused,
    wait
};

struct admission
{
    admit_verdict verdict = admit_verdict::refused;
    // Meaningful if refused.
    refusal_reason reason = refusal_reason::customer_rate;
    // If admitted: the request may be dispatched only before this time. The
    // caller checks it right before the dispatch and refuses the request if a
    // pause of the process outlasted it.
    time_point valid_until;
    // If waiting: latest time at which to decide again.
    time_point decide_at;
    std::vector<outgoing_message> messages;
};

// Returns a state without a share, customers and peers. Throws config_error if
// loans last longer than the freshness bound: a reclaim assumes that they end
// within it.
quota_state make_quota_state(const member& self, const quota_settings& settings,
                             time_point now);

// Sets the customers and their limits. Requests of a customer that is not
// listed are refused at once; its pool is kept until its recorded loans have
// ended.
void set_customers(quota_state& state, std::span<const customer_limits> limits,
                   time_point now);

// Sets the live peers, without this instance.
void set_peers(quota_state& state, std::span<const member> peers);

// Adopts a share table that was read from the store. A table with an epoch
// below the current one is ignored.
void set_share_table(quota_state& state, const share_table& table,
                     time_point now);

// Sets the time until which the current share table counts as confirmed. This
// is a time rather than a flag, because a flag set before a pause of the
// process would still be trusted after it.
void set_fresh_until(quota_state& state, time_point until);

// Returns true if this instance may use and lend its home share now.
bool home_usable(const quota_state& state, time_point now);

// Debits donations of this instance's own share, limited to what is not lent,
// and returns the table to be written by compare-and-swap under the revision of
// the current one. Returns nothing if nothing can be donated, this instance is
// not fresh, or the write of an earlier donation is not yet confirmed. If the
// write is lost, the share stays debited; the same table may be written again.
std::optional<share_table> prepare_donations(quota_state& state,
                                             std::span<const donation> wanted,
                                             time_point now);

// Stops lending; outstanding loans run until their end. First step of a planned
// shutdown.
void begin_leaving(quota_state& state);

// Debits the whole share and returns the table that transfers it to the others,
// or nothing while loans are outstanding, this instance is not fresh, a
// donation is not yet confirmed or there is no other member. Once the table has
// been returned, no request is admitted from the home share.
std::optional<share_table> prepare_hand_over(quota_state& state,
                                             std::span<const member> others,
                                             time_point now);

// Decides on a new request of the customer. If the verdict is wait, the caller
// decides again with admit_waiting at decide_at and whenever the customer is
// reported as ready, in the order of arrival.
admission admit(quota_state& state, const customer_id& customer,
                time_point now);

// Decides again on a waiting request that arrived at the given time.
admission admit_waiting(quota_state& state, const customer_id& customer,
                        time_point arrival, time_point now);

// Removes a waiting request whose caller has disconnected.
void cancel_waiting(quota_state& state, const customer_id& customer);

// Updates the demand estimates, lends, returns and requests quota, and reports
// demand. Called every 200 ms.
quota_output tick(quota_state& state, time_point now);

// Handles a message from a peer. Unknown peers, customers, loans and message
// numbers are ignored.
quota_output on_message(quota_state& state, const member& from,
                        const message_body& body, time_point now);

} // namespace parsleyplank::quota

#endif
