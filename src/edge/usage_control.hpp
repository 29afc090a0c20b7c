#ifndef PARSLEYPLANK_EDGE_USAGE_CONTROL_HPP
#define PARSLEYPLANK_EDGE_USAGE_CONTROL_HPP

// Usage accounting at one instance: hands the counts of its customers over to
// the holder of the duty, claims the duty, and reports as its holder. Runs on
// the control thread; calls to the store and to the platform run on threads of
// their own.

#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/edge/store_worker.hpp>
#include <parsleyplank/edge/usage_caller.hpp>
#include <parsleyplank/edge/usage_route.hpp>
#include <parsleyplank/telemetry/metrics.hpp>
#include <parsleyplank/usage/duty.hpp>

#include <functional>
#include <log4cplus/logger.h>
#include <memory>
#include <string>
#include <string_view>

namespace parsleyplank::edge
{

// How usage accounting reaches the rest of the instance.
struct usage_links
{
    // Runs a function on the control thread later. Any thread may call.
    std::function<void(std::function<void()>)> post;
    // Queues a job for the thread that calls the store.
    std::function<bool(store_worker::job)> submit;
    // Sends a datagram to a peer.
    std::function<void(const member_record& peer, const std::string& bytes)>
        send;
    // Lease of the registration of this instance; used by jobs only.
    std::shared_ptr<const store::lease_id> lease;
};

// What the control thread knows of the fleet.
struct usage_surroundings
{
    const fleet_view& fleet;
    const std::vector<const peer_state*>& live;
    relay_criteria criteria;
    bool draining = false;
};

// Returns whether a datagram on the peer port is of usage accounting.
bool is_usage_message(std::string_view datagram);

class usage_control
{
public:
    // Starts the thread that calls the platform. `started_ms` is the start time
    // of this process.
    usage_control(const settings& config, const adapter& platform,
                  std::uint64_t started_ms, milliseconds lease_ttl,
                  usage_links links, telemetry::metrics& counters);

    // Takes what was counted here, and does what is due. Call at a regular
    // interval.
    void step(const usage_surroundings& around,
              const usage::window_counts& counted);

    // Handles a datagram for which is_usage_message is true. Throws codec_error
    // if it is malformed.
    void receive(std::string_view datagram, const usage_surroundings& around);

    // Apply what the store showed at a revision. What is older than the claim
    // of this process is ignored. Throws codec_error for a malformed record.
    void apply_entry(const store::entry& it);
    void apply_removal(const std::string& key, revision seen);
    // Applies whether a complete listing has the record of the holder.
    void apply_listing(bool has_holder, revision seen);

    // Notes that the store has come back from an older copy: this process no
    // longer holds the duty, and reports that the copy lacks may have been
    // sent.
    void note_restored_store();

    // Leaves the duty to another instance, with the sums of its windows, and
    // takes no further counts of others. Call when this instance drains, before
    // its registration ends.
    void leave();

    // Notes that a renewal of the lease that began then has succeeded. A new
    // lease has no record of the holder.
    void note_renewal(boot_time began, bool new_lease);

private:
    bool is_holder() const;
    bool precedes_claim(revision seen) const;
    usage::unix_time wall() const;
    // Logs the end of the duty of this process.
    void log_lost(std::string_view reason) const;

    void note_holder(const usage::holder_record& record);

    // Claiming of the duty.
    void claim_if_due(const usage_surroundings& around);
    void submit_claim();
    // Begins the duty if the listing of the keys shows the record of this
    // process.
    void end_claim(const store::list_result& keys);

    // Duties of the holder.
    void report();
    void write_report(const usage::window_report& closed);
    void end_write(const std::optional<usage::window_report>& stored,
                   usage::window_id wanted);
    // Sends the oldest report that is due.
    void call_if_due();
    void call_platform(const usage::report_state& due);
    void end_call(usage::fence_token token, usage::window_id window,
                  const usage_call_result& result);

    // Handing over of counts.
    void hand_over(const usage_surroundings& around);
    void take_batch(const usage::usage_message& batch, const peer_state& from,
                    bool draining);
    void send(const member_record& to, const usage::usage_message& message);
    void forget_old_windows();
    void log_late_counts();
    void report_metrics();

    const adapter& platform;
    instance_id self;
    std::uint64_t started_ms;
    usage_links links;
    telemetry::metrics& counters;
    log4cplus::Logger log;
    usage::window_clock clock;
    usage::duty_state duty;
    // Tokens of the former holders whose sums the ledger has.
    usage::fence_tokens inherited;
    usage::report_ledger ledger;
    usage::count_sender sender;
    usage::count_receiver receiver;
    time_point last_sent{};
    // When the store came back from an older copy, if it did.
    std::optional<usage::unix_time> restored_at;
    bool claim_pending = false;
    bool write_pending = false;
    bool call_pending = false;
    // Since the start of the process.
    std::uint64_t accepted = 0;
    std::uint64_t missed = 0;
    std::int64_t late_requests = 0;
    std::int64_t logged_late_requests = 0;
    // Last member, so that its thread ends before the others are destroyed.
    usage_caller caller;
};

} // namespace parsleyplank::edge

#endif
