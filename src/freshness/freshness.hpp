#ifndef PARSLEYPLANK_FRESHNESS_FRESHNESS_HPP
#define PARSLEYPLANK_FRESHNESS_FRESHNESS_HPP

// Decides whether this instance may still act on the configuration, the keys
// and the quota shares that it holds. The state is fresh if the store confirmed
// it as the newest within a time bound, or while every instance in the store's
// region attests an outage of the store.
//
// All times are from this process's clock. An age that a peer reports is
// counted from the time at which the ping was sent, so a pause or a delay can
// only make it larger.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::freshness
{

// Epochs of the configuration and the share table, stored under state/.
struct known_epochs
{
    epoch config;
    epoch shares;

    bool operator==(const known_epochs&) const = default;
};

// Returns whether each epoch of a is at least that of b.
bool covers(const known_epochs& a, const known_epochs& b);

struct limits
{
    // Maximum age of a confirmation, and of the reports and the failed round
    // that an attestation uses.
    milliseconds bound{3'000};
    // Maximum age of the instance list for an attestation. A list without an
    // instance in the store's region has to be within the bound above, because
    // it is then the only evidence of the outage.
    milliseconds list_bound{30'000};
    // Minimum time between the starts of two confirmation rounds.
    milliseconds round_interval{1'000};
};

// States that at the time as_of no epoch in the store was newer than newest.
struct confirmation
{
    time_point as_of;
    known_epochs newest;
};

// State of a peer as reported in its pong.
struct peer_report
{
    known_epochs held;
    // Age of the peer's confirmation; nullopt if it has none.
    std::optional<milliseconds> age;
    // False if the peer's last two confirmation rounds failed.
    bool store_reachable = false;
};

// Report of a peer on whether it reaches the store.
struct store_report
{
    // Time at which the ping was sent.
    time_point pinged_at;
    bool store_reachable = false;
};

struct state
{
    limits bounds;
    known_epochs held;
    // Highest epochs seen in pongs and confirmations, whether held or not.
    known_epochs highest_seen;
    // Latest confirmation whose epochs are covered by the held ones.
    std::optional<confirmation> effective;
    // Latest confirmation with an epoch that is not held yet.
    std::optional<confirmation> pending;

    // Latest report of each peer; only peers in the store's region may attest
    // an outage.
    std::map<instance_id, store_report> store_reports;
    // Instances that the platform lists in the store's region, without this
    // one.
    std::vector<instance_id> store_region;
    // Whether this instance is in the store's region.
    bool in_store_region = false;
    // Time at which that list was requested.
    std::optional<time_point> listed_at;

    bool round_in_flight = false;
    std::optional<time_point> round_started_at;
    // Consecutive rounds without an answer of the store.
    int failed_rounds = 0;
};

// Whether the held state may be acted on, and why.
enum class verdict
{
    confirmed,       // confirmed within the bound
    outage_attested, // not confirmed, but an outage of the store is attested
    stale            // must not be acted on
};

// Returns "confirmed", "outage_attested" or "stale".
std::string_view to_string(verdict v);

// Records the epochs that are now held. An epoch lower than before is ignored.
void record_held_epochs(state& s, const known_epochs& held);

// Returns whether a confirmation round is due. A designated instance runs one
// each interval, the others only while their confirmation is older than half
// the bound.
bool round_due(const state& s, time_point now, bool designated);

// Records the start of a round. now must be taken before the round's write is
// sent.
void start_round(state& s, time_point now);

// Outcome of a confirmation round.
enum class round_outcome
{
    confirmed,  // the read was at least as new as the round's write
    stale_read, // the store answered, but the read was older than the write
    no_answer   // the store refused the call or did not answer in time
};

// Records the end of the round in flight. newest is used only if the outcome is
// confirmed. A stale read counts as reaching the store: a store that answers
// can accept the withdrawal of a key, so this instance must not attest an
// outage.
void finish_round(state& s, round_outcome end, const known_epochs& newest = {});

// Records a pong; pinged_at is the time at which the ping was sent.
void record_pong(state& s, const instance_id& peer, time_point pinged_at,
                 const peer_report& report);

// Records the platform's instance list; requested_at is the time at which it
// was requested. store_region holds the ids in the store's region without this
// instance. Drops the reports of other peers.
void record_instance_list(state& s, time_point requested_at,
                          std::vector<instance_id> store_region,
                          bool in_store_region);

// Returns whether this instance reaches the store: its last two rounds did not
// both fail.
bool store_reachable(const state& s);

// Returns the age of the effective confirmation, rounded up, or nullopt if
// there is none.
std::optional<milliseconds> confirmation_age(const state& s, time_point now);

// Decides whether the held state may be acted on now.
verdict evaluate(const state& s, time_point now);

// Returns the time until which the held state may be acted on without further
// confirmations or reports, or nullopt if it is stale.
std::optional<time_point> fresh_until(const state& s, time_point now);

// Returns the report for a pong that is sent now.
peer_report make_report(const state& s, time_point now);

// Returns the reason why the state is stale, for logs and explanations,
// including the instances that do not attest an outage. Returns an empty string
// if it is not stale.
std::string explain_stale(const state& s, time_point now);

} // namespace parsleyplank::freshness

#endif
