#ifndef PARSLEYPLANK_EDGE_ROLLOUT_CONTROL_HPP
#define PARSLEYPLANK_EDGE_ROLLOUT_CONTROL_HPP

// State of the rollouts of all services at this instance: the operator's
// orders, the records in the store, the verdict on the results of the fleet,
// and the records to write next.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/edge/snapshot.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyplank::edge
{

// The stored rollout record of a service. One transaction writes it together
// with the status that the operator reads.
struct rollout_record
{
    // Revision of the order that this record belongs to.
    revision ordered;
    version_id target;
    steering::rollout_phase phase = steering::rollout_phase::running;
    // Versions of this and earlier orders that were judged faulty.
    std::set<version_id> rejected;
    // Start of the rollout in Unix milliseconds, from which a restarted
    // instance resumes the rollout.
    std::int64_t started_ms = 0;

    bool operator==(const rollout_record&) const = default;

    MSGPACK_DEFINE_ARRAY(ordered, target, phase, rejected, started_ms)
};

// State of the rollout of one service at this instance.
struct rollout_state
{
    // The operator's current order, if any.
    std::optional<steering::rollout_order> order;
    std::optional<rollout_record> record;
    // Revision of the stored record, 0 if none is known.
    revision record_revision;
    // Whether the store has come back without the record, or with an earlier
    // one, and it has to be written again.
    bool record_lost = false;
    // Time at which this instance received the order.
    time_point first_seen_at{};
    // Time since which the target has the full share at this instance.
    std::optional<time_point> full_share_since;
    // Reason why this instance or a peer judged the target faulty.
    std::optional<std::string> fault;
    // Current share of the target in the requests.
    share_ppm share{0};
    // Results of the fleet when the share last grew.
    steering::rollout_tally tally_at_growth;
    // Time of the last write for this order. Before the first one, it is set
    // so that the write interval ends when the write is due.
    time_point last_write{};
};

using rollout_table = std::map<service_id, rollout_state>;

struct rollout_control_options
{
    steering::rollout_options plan;
    // Time at the full share before a rollout is completed. Requests at the
    // other versions finish in this time; the servers of these versions are
    // stopped without draining when the rollout ends.
    milliseconds settle_time{3'000};
    // Fraction of the ordered duration after which a rollout that has not
    // reached the full share is rolled back.
    double rollback_fraction = 0.95;
    // A write is repeated after this time if the record still does not show it.
    // An instance of rank n waits n times this long before its first write.
    milliseconds write_interval{700};
};

// Applies an order. An order with a newer revision restarts the rollout of the
// service; an older one is ignored. If the store has come back from an older
// copy since, the same order goes on.
void apply_order(rollout_table& table, const steering::rollout_order& order,
                 time_point now);

// Removes the order of a service. Its record stays, since versions that were
// judged faulty remain rejected.
void remove_order(rollout_table& table, const service_id& service);

// Records that the store has come back from an older copy, which may lack the
// records or have earlier ones.
void note_restored_store(rollout_table& table);

// Applies the stored record of a service, which has the given revision. Ignores
// a record that is not newer than the known one, and one of a restored store
// that is behind it.
void apply_record(rollout_table& table, const service_id& service,
                  const rollout_record& record, revision at);

// A record to write, valid only if the stored record still has the expected
// revision.
struct rollout_write
{
    service_id service;
    steering::rollout_order order;
    rollout_record next;
    revision expected_revision;
};

// Judges the results of the target versions, updates their shares, and returns
// the records that this instance has to write now. The tallies are sums over
// the whole fleet. The rank is the position of this instance among the writers
// of a service; the instance of rank 0 writes at once, the others only if the
// record stays unchanged. wall_ms is the current time in Unix milliseconds.
std::vector<rollout_write>
step_rollouts(rollout_table& table, const tally_table& fleet,
              const std::map<service_id, std::size_t>& rank,
              const rollout_control_options& options, time_point now,
              std::int64_t wall_ms);

// Stops sending requests to the target version of a rollout because a peer (the
// source) has judged it faulty.
void apply_peer_fault(rollout_table& table, const service_id& service,
                      const version_id& target, const std::string& source);

// Returns how the requests of a service are divided among its versions, given
// the versions of its registered servers.
version_policy policy_of(const rollout_state& rollout,
                         const std::set<version_id>& versions);

} // namespace parsleyplank::edge

#endif
