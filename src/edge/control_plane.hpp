#ifndef PARSLEYPLANK_EDGE_CONTROL_PLANE_HPP
#define PARSLEYPLANK_EDGE_CONTROL_PLANE_HPP

// The control thread of an edge process: follows the store, registers this
// instance, exchanges digests with its peers, steps rollouts, and publishes
// snapshots to the traffic thread.

#include <parsleyplank/edge/change_relay.hpp>
#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/rollout_control.hpp>
#include <parsleyplank/edge/store_feed.hpp>
#include <parsleyplank/edge/store_worker.hpp>
#include <parsleyplank/edge/traffic_plane.hpp>

#include <array>
#include <filesystem>
#include <functional>
#include <memory>
#include <random>

namespace parsleyplank::edge
{

// Makes a connection to the store for one thread.
using store_factory = std::function<std::unique_ptr<store::lease_store>()>;

struct control_options
{
    fleet_options fleet;
    rollout_control_options rollouts;
    feed_options feed;
    // Interval of digests while the fleet is small.
    milliseconds digest_interval{500};
    // Digests that an instance takes per second at most; a larger fleet sends
    // less often.
    double max_digests_per_s = 60;
    // Life of this instance's registration without renewal.
    milliseconds lease_ttl{4'000};
    milliseconds lease_renewal_interval{1'300};
    // How long registrations of servers are missed before they count as gone,
    // after the store was away.
    milliseconds removal_hold{2'100};
    // Time after an outage of the store in which removals are held.
    milliseconds outage_hold_period{3'000};
    // Below this rate per instance, one instance of each region holds a
    // customer's tokens: parts of a few tokens a second are refused by chance.
    double min_divided_rate = 2.0;
    // From this number of instances on, one of each region watches the store
    // and passes changes on: calls of all would grow with instances times
    // changes.
    std::size_t min_relay_fleet_size = 16;
    // Time without a word of the store after which an instance does not pass
    // changes on.
    milliseconds store_contact_timeout{2'200};
    // Interval at which one instance of the fleet asks the store for its
    // revision, since a watch may miss changes without ending.
    milliseconds revision_poll_interval{1'000};
    // How long a watch may be behind a known revision before this instance
    // lists all keys.
    milliseconds max_watch_lag{500};
    // Parts of the grace time after which callers are no longer accepted and
    // after which the process ends, finished or not.
    double accept_fraction = 0.4;
    double exit_fraction = 0.93;
};

// Returns options that keep the bounds of the deployment.
control_options control_options_for(const fleet_bounds& bounds);

class control_plane
{
public:
    control_plane(const settings& config, const adapter& platform,
                  const store_factory& make_store, traffic_plane& traffic,
                  control_options options);

    // Runs until a stop signal has been carried out.
    void run();

    // Has the reload called on SIGHUP and when the file has changed.
    void watch_settings(std::filesystem::path file,
                        std::function<void()> reload);

private:
    // Changes of the store.
    void apply_listing(const store::list_result& all);
    void apply_changes(const store::list_result& changes);
    void apply_entry(const store::entry& it);
    void apply_removal(const std::string& key);
    void apply_configuration(const store::entry& it);
    void apply_server(const store::entry& it);
    void note_store_response();
    void note_store_failure(const std::string& problem);
    time_point removal_time() const;
    void schedule_removals();

    // Finds out whether the watch has missed changes.
    // Takes changes from the store or from the peer that passes them on.
    void update_watch_source(const std::vector<const peer_state*>& live);
    bool store_reachable() const;
    void poll_revision();
    void note_revision(revision seen);
    void relist();

    // Registration of this instance.
    void renew_registration();
    void deregister();

    // Contact with peers.
    void receive_digests();
    void send_digests(const traffic_report& report);
    void handle_datagram(std::size_t n);

    void tick();
    void process_report(const traffic_report& report);
    void write_rollout(const rollout_write& write);
    tally_table fleet_tallies(const traffic_report& report) const;
    void publish();
    void publish_soon();
    void update_shares(steering_snapshot& next) const;
    // Returns the part of this region of a customer's rate.
    steering::customer_share
    region_share(const steering::traffic_customer& customer,
                 const steering_snapshot& next) const;
    double shared_demand(const customer_id& customer) const;
    void update_servers(steering_snapshot& next);

    void begin_drain();
    void check_drained(const traffic_report& report);
    void wait_for_signals();
    void reload_if_changed();

    const settings& config;
    const adapter& platform;
    traffic_plane& traffic;
    control_options options;
    log4cplus::Logger log;
    proxy::asio::io_context io;
    proxy::asio::signal_set signals;
    proxy::asio::steady_timer tick_timer;
    proxy::asio::steady_timer removal_timer;
    proxy::asio::ip::udp::socket peer_socket;
    proxy::asio::ip::udp::endpoint sender;
    std::array<char, 65'536> datagram{};

    std::shared_ptr<const steering::routing_table> routing;
    steering::server_registry servers;
    std::set<failure_domain_id> evacuated;
    // Servers of a failure domain that was evacuated come back cold.
    std::map<failure_domain_id, time_point> cold_domains;
    rollout_table rollouts;
    fleet_view fleet;
    traffic_report last_report;
    // Demands of the digest before the last: what all peers know of this
    // instance by now.
    std::unordered_map<customer_id, double> shared_demands;
    member_record self;
    std::uint64_t digest_sequence_number = 0;
    bool publish_pending = false;

    change_relay relay;
    std::unique_ptr<proxy::front_listener> relay_listener;

    time_point last_store_response{};
    time_point last_outage{};
    bool store_unreachable = false;
    // All changes up to this revision have been taken.
    revision applied_revision;
    // Highest revision known to exist, and since when it is missing here.
    revision newest_revision;
    std::optional<time_point> behind_since;
    time_point last_revision_poll{};
    time_point last_relist{};
    // Owned by the writer's thread.
    std::shared_ptr<store::lease_id> lease;
    time_point last_renewal{};

    std::filesystem::path settings_path;
    std::filesystem::file_time_type settings_modified_at;
    std::function<void()> reload_settings;

    std::optional<time_point> drain_started_at;
    bool accepting = true;

    // Last, so that their threads end before what they post to.
    std::unique_ptr<store_worker> worker;
    std::unique_ptr<store_feed> feed;
};

} // namespace parsleyplank::edge

#endif
