#ifndef PARSLEYPLANK_FRESHNESS_FRESHNESS_HPP
#define PARSLEYPLANK_FRESHNESS_FRESHNESS_HPP

// Decides whether this instance may still act on the configuration, the keys
// and the quota shares that it holds. State is fresh while it was confirmed to
// be the newest within a bound, or while an outage of the store is attested by
// every instance of the store's region.
//
// All times are this process's own. An age that a peer reports is counted from
// the moment its ping was sent, so a pause or a delay only makes it larger.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::freshness
{

// Epochs of what is kept in the store under state/.
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
    // Largest age of a confirmation.
    milliseconds bound{3'000};
    // Largest age of the instance list that an attestation may rest on. A list
    // without an instance in the store's region has to be within the bound
    // above, because nothing else attests then.
    milliseconds list_bound{30'000};
    // Shortest time between the starts of two confirmation rounds.
    milliseconds round_interval{1'000};
};

// As of this time no epoch in the store was newer than these.
struct confirmation
{
    time_point as_of;
    known_epochs newest;
};

// What a peer says of itself in a pong.
struct peer_report
{
    known_epochs held;
    // Age of the peer's own confirmation; none if it has none.
    std::optional<milliseconds> age;
    // False once the peer's last two rounds failed.
    bool store_reachable = false;
};

struct store_report
{
    time_point pinged_at;
    bool store_reachable = false;
};

struct state
{
    limits bounds;
    known_epochs held;
    // Highest epochs heard of, held or not.
    known_epochs highest_seen;
    // Latest confirmation that the held epochs cover.
    std::optional<confirmation> effective;
    // Latest confirmation of epochs that are not held yet.
    std::optional<confirmation> pending;

    // Last report of each peer that may attest an outage.
    std::map<instance_id, store_report> store_reports;
    // Instances that the platform lists in the store's region, without this
    // one, and when that list was asked for.
    std::vector<instance_id> store_region;
    bool in_store_region = false;
    std::optional<time_point> listed_at;

    bool round_in_flight = false;
    std::optional<time_point> round_started_at;
    int failed_rounds = 0;
};

enum class verdict
{
    confirmed,
    outage_attested,
    stale
};

// Returns "confirmed", "outage_attested" or "stale".
std::string_view to_string(verdict v);

// Records that these epochs are now held; lower ones than before are ignored.
void record_held_epochs(state& s, const known_epochs& held);

// Tells whether a confirmation round is due. Designated instances run one each
// interval; others only once their confirmation is older than half the bound.
bool round_due(const state& s, time_point now, bool designated);

// Records that a round starts now; now is the time before its write is sent.
void start_round(state& s, time_point now);

// How a confirmation round ended.
enum class round_outcome
{
    confirmed,  // the read was at least as new as the round's own write
    stale_read, // the store answered, but the read was older than the write
    no_answer   // the store took no call or gave no answer in time
};

// Records the end of the round in flight; newest is used if it confirmed. A
// stale read counts as reaching the store: a store that answers can accept a
// withdrawal, so its reader must not attest an outage.
void finish_round(state& s, round_outcome end, const known_epochs& newest = {});

// Records a pong to a ping that was sent at the given time.
void record_pong(state& s, const instance_id& peer, time_point pinged_at,
                 const peer_report& report);

// Records the platform's list, asked for at the given time. The ids are those
// of the store's region without this instance.
void record_instance_list(state& s, time_point requested_at,
                          std::vector<instance_id> store_region,
                          bool in_store_region);

// Tells whether this instance can reach the store: its last two rounds have
// not both failed.
bool store_reachable(const state& s);

// Returns the age of the effective confirmation; none if there is none.
std::optional<milliseconds> confirmation_age(const state& s, time_point now);

// Decides whether the held state may be acted on at this time.
verdict evaluate(const state& s, time_point now);

// Returns until when the held state may be acted on by what is known now; none
// if it is stale.
std::optional<time_point> fresh_until(const state& s, time_point now);

// Returns the report to put into a pong sent now.
peer_report make_report(const state& s, time_point now);

// Returns why the state is stale, for logs and explanations; names the
// instances that do not attest. Empty if it is not stale.
std::string explain_stale(const state& s, time_point now);

} // namespace parsleyplank::freshness

#endif
