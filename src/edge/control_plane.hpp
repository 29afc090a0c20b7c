#ifndef PARSLEYPLANK_EDGE_CONTROL_PLANE_HPP
#define PARSLEYPLANK_EDGE_CONTROL_PLANE_HPP

// The control thread of an edge process: applies the changes of the store,
// registers this instance, exchanges digests with its peers, advances rollouts,
// and publishes snapshots to the traffic thread.

#include <parsleyplank/edge/change_relay.hpp>
#include <parsleyplank/edge/drain_schedule.hpp>
#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/rate_roster.hpp>
#include <parsleyplank/edge/relay_tree.hpp>
#include <parsleyplank/edge/revision_lag.hpp>
#include <parsleyplank/edge/rollout_control.hpp>
#include <parsleyplank/edge/signal_watch.hpp>
#include <parsleyplank/edge/state_confirmation.hpp>
#include <parsleyplank/edge/store_feed.hpp>
#include <parsleyplank/edge/store_restore.hpp>
#include <parsleyplank/edge/store_worker.hpp>
#include <parsleyplank/edge/traffic_plane.hpp>
#include <parsleyplank/edge/usage_control.hpp>

#include <array>
#include <filesystem>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace parsleyplank::edge
{

// Creates a store client, which one thread uses.
using store_factory = std::function<std::unique_ptr<store::lease_store>()>;

struct control_options
{
    fleet_options fleet;
    roster_options roster;
    rollout_control_options rollouts;
    feed_options feed;
    // Interval of the duties that depend on time, and between digests in a
    // small fleet.
    milliseconds tick_interval{500};
    // Interval at which the control thread shows that it runs.
    milliseconds heartbeat_interval{500};
    // Largest number of digests that an instance receives per second. A fleet
    // that would exceed it sends digests less often.
    double max_digests_per_s = 60;
    // Lifetime of this instance's registration without renewal.
    milliseconds lease_ttl{4'000};
    milliseconds lease_renewal_interval{1'300};
    // Time for which the removal of a server is delayed during an outage of the
    // store and shortly after it, since its registration may have expired only
    // because of the outage.
    milliseconds removal_hold{2'100};
    // Time after an outage of the store in which removals are still delayed.
    milliseconds outage_hold_period{3'000};
    // Number of instances from which on only a few of each region watch the
    // store and relay its changes to the others. If all watched it, the number
    // of calls would grow with the product of instances and changes.
    std::size_t min_relay_fleet_size = 16;
    // Time without an answer of the store after which the store is considered
    // unreachable and this instance is no longer selected as a relay peer.
    milliseconds store_contact_timeout{2'200};
    // Interval at which one instance of the fleet reads the revision of the
    // store, since a watch may miss changes without ending. Also the shortest
    // time between two listings because of missed changes.
    milliseconds revision_poll_interval{1'000};
    // Time for which the watch may lag behind a known revision before this
    // instance lists all keys again.
    milliseconds max_watch_lag{500};
    // Interval of the log line on what was sent to peers.
    milliseconds sent_log_interval{10'000};
    // Shortest time between two answers to peers of the relay that tell only
    // of a newer revision. Three levels of the tree take less than the lag
    // after which a peer lists all keys.
    milliseconds revision_answer_interval{250};
    // Shortest time between two digests to the instances that watch the store.
    milliseconds notice_interval{200};
    drain_options drain;
    // Maximum time to close the connections of callers before the process
    // exits.
    milliseconds close_wait{100};
};

// Returns options with timeouts that satisfy the bounds of the deployment.
control_options control_options_for(const fleet_bounds& bounds);

class control_plane
{
public:
    control_plane(const settings& config, const adapter& platform,
                  const store_factory& make_store, traffic_plane& traffic,
                  telemetry::metrics& counters, control_options options);

    // Runs the control loop until the drain after a stop signal (SIGTERM,
    // SIGINT) has ended.
    void run();

    // Calls reload on SIGHUP and when the modification time of the file
    // changes. Must be called before run.
    void watch_settings(std::filesystem::path file,
                        std::function<void()> reload);

private:
    // Application of store listings and changes.
    void apply_listing(const store::list_result& all);
    // The source is "store" or the address of a relay peer.
    void apply_changes(const store::list_result& changes,
                       const std::string& source);
    // Lets the relay pass changes on to peers, except for the repeated keys.
    void pass_on(const store::list_result& changes, const std::string& source,
                 const std::set<std::string>& repeated);
    // Returns whether the entry repeats what is known.
    bool apply_entry(const store::entry& it);
    void apply_removal(const std::string& key);
    // Removes the orders that the listing lacks and that don't hold.
    void remove_missing_orders(const std::set<std::string>& present);
    // Takes over a store that has come back from an older copy.
    void begin_restore(revision listed);
    void apply_configuration(const store::entry& it);
    // Returns whether the report says what is known of the server.
    bool apply_server(const store::entry& it);
    void apply_member(const member_record& record);
    // Logs and counts a value of the store that this version does not know.
    void note_unknown_value(const std::string& detail);
    void note_store_response();
    void note_store_failure(const std::string& problem);
    time_point removal_time() const;
    void schedule_removals();

    // Selects whether the feed watches the store or relay peers.
    void update_watch_source(const std::vector<const peer_state*>& live);
    bool store_reachable() const;
    void poll_revision();
    // Asks the peer that is ahead for the changes, and lists all keys again if
    // that does not help.
    void catch_up(milliseconds missing);
    // Tells the instances that watch the store for their regions of changes
    // that this instance has got from the store.
    void notify_store_watchers();
    // Returns what the place of this instance in the tree of relays depends on.
    relay_criteria own_criteria() const;
    void note_revision(revision seen);
    void relist();

    // Detects pauses of the process, after which nothing is used until the
    // store has been read again.
    void heartbeat();
    void note_control_run();
    void confirm_state(std::uint64_t pause_number);

    // Registration of this instance.
    void renew_registration();
    // The renewal of the lease that began then has succeeded.
    void note_renewal(boot_time began, bool new_lease);
    void deregister();
    // Registers this instance again after its key was removed.
    void restore_registration();

    // Record of this instance in the roster of those that issue tokens.
    void update_roster();
    // Logs whether this instance issues tokens and how many others are missing,
    // if that has changed.
    void log_roster();
    void write_roster(const roster_write& write);
    void remove_from_roster(const instance_id& id);
    // Removes the record of this instance, and of an earlier process of it.
    void leave_roster();
    store_contact contact_with_store() const;
    void add_rates(steering_snapshot& next) const;

    // Exchange of digests with peers.
    void receive_digests();
    member_digest make_digest(const traffic_report& report);
    // Sends a digest to all peers.
    void send_digests(const traffic_report& report);
    // Sends the last digest to the peers that were registered after it.
    void greet_new_peers();
    // A digest that can't be sent now is superseded by the next one.
    void send_to(const member_record& peer, const std::string& bytes,
                 telemetry::peer_message kind);
    // Counts the answers of the relay since the last call, and logs at an
    // interval what was sent to peers.
    void report_sent();
    void handle_datagram(std::size_t n);

    milliseconds current_digest_interval() const;
    void tick();
    void process_report(const traffic_report& report);
    // Sends a digest and publishes a snapshot with what the peers report, if
    // the last digest is an interval old.
    void exchange_state(const traffic_report& report);
    void write_rollout(const rollout_write& write);
    tally_table fleet_tallies(const traffic_report& report) const;
    void publish();
    void publish_soon();
    void update_servers(steering_snapshot& next);

    // Returns usage accounting, or nullptr if the settings do not ask for it.
    std::unique_ptr<usage_control> make_usage_control();
    usage_surroundings
    usage_view(const std::vector<const peer_state*>& live) const;

    void handle_signal(int number, time_point noticed);
    void begin_drain(time_point signalled);
    // Sets the timers that end the acceptance of connections and the process.
    void schedule_stop();
    // Logs the event, closes the connections of callers, then ends run().
    void end_run(std::string_view event);
    void reload_if_changed();

    const settings& config;
    const adapter& platform;
    traffic_plane& traffic;
    telemetry::metrics& counters;
    control_options options;
    log4cplus::Logger log;
    proxy::asio::io_context io;
    signal_watch signals;
    proxy::asio::steady_timer tick_timer;
    proxy::asio::steady_timer accept_timer;
    proxy::asio::steady_timer exit_timer;
    proxy::asio::steady_timer heartbeat_timer;
    proxy::asio::steady_timer removal_timer;
    proxy::asio::ip::udp::socket peer_socket;
    proxy::asio::ip::udp::endpoint sender;
    std::array<char, 65'536> datagram{};

    std::shared_ptr<const steering::routing_table> routing;
    steering::server_registry servers;
    std::set<failure_domain_id> evacuated;
    // End times of evacuations. The servers of an evacuated failure domain are
    // cold when it returns to service.
    std::map<failure_domain_id, time_point> evacuation_ended_at;
    rollout_table rollouts;
    fleet_view fleet;
    // Report in the last digest, and the time when that was sent.
    traffic_report last_report;
    time_point last_digest{};
    // Peers that were registered since then. They would know nothing of this
    // instance until the next digest.
    std::set<instance_id> new_peers;
    // Whether the store has listed the registration of this process.
    bool registration_seen = false;
    member_record self;
    rate_roster roster;
    // Whether a write of the own record is under way.
    bool roster_write_pending = false;
    std::pair<bool, std::size_t> reported_roster{false, 0};
    std::uint64_t digest_sequence_number = 0;
    bool publish_pending = false;

    change_relay relay;
    // Preferred peer to get the changes of the store from.
    std::optional<instance_id> preferred_relay;
    // Answers of the relay that are counted in the metrics.
    relayed_changes reported_relayed;
    time_point last_sent_log{};
    // Whether the instances that watch the store for their regions are to be
    // told of changes, and when they last were.
    bool notice_due = false;
    time_point last_notice{};
    // Whether the place of this instance in the tree of relays is one that
    // watches the store, and the peer that has reported the newest revision.
    bool is_store_watcher = true;
    std::optional<instance_id> peer_ahead;
    std::unique_ptr<proxy::front_listener> relay_listener;

    state_confirmation confirmation;
    time_point last_store_response{};
    // Time of the last failure of a store call, or of the recovery from it.
    time_point last_outage{};
    bool store_outage = false;
    store_restore restored;
    // Revision up to which all changes have been applied.
    revision applied_revision;
    // Highest known revision of the store, and how far behind it this instance
    // is.
    revision newest_revision;
    revision_lag lag;
    // Time at which peers below this relay were last told of a revision
    // without changes for them.
    time_point last_revision_passed{};
    time_point last_revision_poll{};
    time_point last_relist{};
    // Accessed only on the worker's thread.
    std::shared_ptr<store::lease_id> lease;
    time_point last_renewal{};

    std::filesystem::path settings_path;
    std::filesystem::file_time_type settings_modified_at;
    std::function<void()> reload_settings;

    // Set once the instance drains.
    std::optional<drain_schedule> drain;
    bool ending = false;

    // Before the worker, whose jobs access it.
    std::unique_ptr<usage_control> usage;

    // Last members, so that their threads are joined before the members are
    // destroyed that their callbacks access.
    std::unique_ptr<store_worker> worker;
    std::unique_ptr<store_feed> feed;
};

} // namespace parsleyplank::edge

#endif
