#ifndef PARSLEYPLANK_EDGE_ROLLOUT_CONTROL_HPP
#define PARSLEYPLANK_EDGE_ROLLOUT_CONTROL_HPP

// The rollouts of all services as this instance follows them: the operator's
// orders, the outcome recorded in the store, the results of the fleet, and what
// to write next.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/edge/snapshot.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyplank::edge
{

// The record of a service in the store. One write changes it and the status
// that the operator reads.
struct rollout_record
{
    // Revision of the order that the rest belongs to.
    revision ordered;
    version_id target;
    steering::rollout_phase phase = steering::rollout_phase::running;
    // Versions of this and earlier orders that were found bad.
    std::set<version_id> rejected;
    // Calendar time of the start, so that a restarted instance can go on.
    std::int64_t started_ms = 0;

    bool operator==(const rollout_record&) const = default;

    MSGPACK_DEFINE_ARRAY(ordered, target, phase, rejected, started_ms)
};

struct rollout_state
{
    std::optional<steering::rollout_order> order;
    std::optional<rollout_record> record;
    revision record_revision;
    // When this instance first saw the order.
    time_point first_seen_at{};
    // When the target got the whole share here.
    std::optional<time_point> full_share_since;
    // Why this instance or a peer found the target bad.
    std::optional<std::string> fault;
    share_ppm share{0};
    time_point last_write{};
};

using rollout_table = std::map<service_id, rollout_state>;

struct rollout_control_options
{
    steering::rollout_options plan;
    // Requests at the other versions end in this time; at the end of a rollout
    // they are stopped without draining.
    milliseconds settle_time{3'000};
    // Part of the duration after which a move that can't be finished is rolled
    // back.
    double rollback_fraction = 0.95;
    // A write is repeated after this time if the record does not show it, and
    // each further instance waits once more.
    milliseconds write_interval{700};
};

// Takes an order; a newer one starts anew.
void apply_order(rollout_table& table, const steering::rollout_order& order,
                 time_point now);

void remove_order(rollout_table& table, const service_id& service);

// Takes the record of a service.
void apply_record(rollout_table& table, const service_id& service,
                  const rollout_record& record, revision at);

// A write that is due.
struct rollout_write
{
    service_id service;
    steering::rollout_order order;
    rollout_record next;
    revision expected_revision;
};

// Judges the fleet's results and moves the shares on. The rank is this
// instance's place in the order in which instances write for a service; the
// first writes at once. The tally of a service and version is the whole
// fleet's.
std::vector<rollout_write>
step_rollouts(rollout_table& table, const tally_table& fleet,
              const std::map<service_id, std::size_t>& rank,
              const rollout_control_options& options, time_point now,
              std::int64_t wall_ms);

// Brakes a rollout because a peer has found the version bad.
void apply_peer_fault(rollout_table& table, const service_id& service,
                      const version_id& target, const std::string& source);

// Returns how requests are divided. The versions are those of the service's
// servers.
version_policy policy_of(const rollout_state& rollout,
                         const std::set<version_id>& versions);

} // namespace parsleyplank::edge

#endif
