#ifndef PARSLEYPLANK_QUOTA_QUOTA_STATE_HPP
#define PARSLEYPLANK_QUOTA_QUOTA_STATE_HPP

// One instance's quota of all customers, and the policy by which rate and
// tokens follow demand: rate is lent ahead of need in proportion to the demand
// that instances tell each other every tick, surplus rate is returned early,
// and an instance that runs short asks the peers with most spare tokens.
//
// The state belongs to one thread. Functions that take the time also return the
// messages to send; a lost message costs efficiency only. The time must be read
// after the message, the table or the request that is handed over arrived.

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
    // Longest wait of a request for borrowed tokens.
    milliseconds borrow_wait{250};
    // Duration of loans of rate; at most the freshness bound.
    milliseconds loan_duration{2'000};
    // Duration of loans of tokens only. They are meant for requests that wait,
    // and the lender's burst is reduced while they last.
    milliseconds token_loan_duration{1'000};
    // Requests for tokens per second, over all customers and peers.
    double requests_per_second = 100;
    // Rate is lent ahead for customers whose burst divided by the instances is
    // at least this many tokens.
    double min_home_burst = 15;
    // Each mechanism can be turned off for comparison.
    bool lend_proactively = true;
    bool extend_loans = true;
    bool return_early = true;
    bool request_when_short = true;
};

// What this instance knows of a peer's need of one customer.
struct peer_report
{
    double demand = 0;
    double spare = 0;
    time_point last_received;
};

struct peer_state
{
    member identity;
    // Highest numbers received; lower ones are late and ignored.
    std::uint64_t last_demand = 0;
    std::uint64_t last_request = 0;
};

// An open request for tokens.
struct open_request
{
    instance_id peer;
    std::uint64_t number = 0;
    double count = 0;
    time_point until;
};

struct customer_state
{
    customer_pool pool;
    demand_estimate estimate;
    std::unordered_map<instance_id, peer_report> peer_reports;
    std::vector<open_request> open_requests;
    // Requests that wait for tokens.
    std::uint32_t waiting = 0;
    // Figures last told, and when.
    double reported_demand = 0;
    double reported_spare = 0;
    time_point last_reported;
};

struct sent_number
{
    std::uint64_t number = 0;
    time_point sent;
};

// A donation whose write has not been seen. The share stays debited until the
// table moves on from the epoch that the write expected.
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
    // If admitted: dispatch only before this time, checked right before it.
    // After a pause beyond it the request is refused.
    time_point valid_until;
    // If waiting: when to decide again at the latest.
    time_point decide_at;
    std::vector<outgoing_message> messages;
};

// Returns a state without share, customers and peers. Throws config_error if a
// loan would outlast the freshness bound: a reclaim counts on loans that end
// within it.
quota_state make_quota_state(const member& self, const quota_settings& settings,
                             time_point now);

// Sets the customers and their limits. A customer that is not listed is refused
// at once; its pool is kept until the loans that it knows of have ended.
void set_customers(quota_state& state, std::span<const customer_limits> limits,
                   time_point now);

// Sets the live peers, without this instance.
void set_peers(quota_state& state, std::span<const member> peers);

// Takes a share table that was read from the store. An epoch below the present
// one is ignored.
void set_share_table(quota_state& state, const share_table& table,
                     time_point now);

// Tells until when the share table held counts as confirmed. It is a time and
// not a flag so that a flag set before a pause is not trusted after it.
void set_fresh_until(quota_state& state, time_point until);

// True if this instance may use and lend its home share now.
bool home_usable(const quota_state& state, time_point now);

// Debits donations of this instance's own share, limited to what is not lent,
// and returns the table to be written by compare-and-swap under the revision of
// the present one. Returns nothing if nothing can be given, this instance is
// not fresh, or an earlier donation has not been settled. If the write is lost,
// the share stays debited; the same table may be written again.
std::optional<share_table> prepare_donations(quota_state& state,
                                             std::span<const donation> wanted,
                                             time_point now);

// Stops lending; loans made before run out. First step of a planned stop.
void begin_leaving(quota_state& state);

// Returns the table that hands the whole share to the others, having debited
// it; nothing while loans are out. Requests are refused from then on.
std::optional<share_table> prepare_hand_over(quota_state& state,
                                             std::span<const member> others,
                                             time_point now);

// Decides on a new request of the customer. A waiting request is decided again
// by admit_waiting at decide_at and when its customer is reported as ready, in
// the order of arrival.
admission admit(quota_state& state, const customer_id& customer,
                time_point now);

// Decides on a request that has waited since that time.
admission admit_waiting(quota_state& state, const customer_id& customer,
                        time_point arrival, time_point now);

// Forgets a waiting request whose caller has gone.
void cancel_waiting(quota_state& state, const customer_id& customer);

// Updates demand, lends, returns and tells. To be called every 200 ms.
quota_output tick(quota_state& state, time_point now);

// Handles a message of a peer. Unknown customers, loans and numbers are
// ignored.
quota_output on_message(quota_state& state, const member& from,
                        const message_body& body, time_point now);

} // namespace parsleyplank::quota

#endif
