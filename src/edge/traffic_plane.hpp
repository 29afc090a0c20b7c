#ifndef PARSLEYPLANK_EDGE_TRAFFIC_PLANE_HPP
#define PARSLEYPLANK_EDGE_TRAFFIC_PLANE_HPP

// The traffic thread: listeners for callers, for the directory, for the
// readiness check of this instance and for its metrics, and the requests in
// flight.

#include <parsleyplank/edge/front_limits.hpp>
#include <parsleyplank/edge/request_flow.hpp>
#include <parsleyplank/proxy/front_listener.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace parsleyplank::edge
{

class traffic_plane
{
public:
    // Opens the listeners and starts the thread. Throws error if an address
    // can't be used.
    traffic_plane(const settings& config, const adapter& platform,
                  telemetry::metrics& counters);
    ~traffic_plane();

    traffic_plane(const traffic_plane&) = delete;
    traffic_plane& operator=(const traffic_plane&) = delete;

    // Replaces the snapshot. Thread-safe.
    void publish(snapshot_ptr next);

    // Records that the control thread runs. Requests are refused if it has not
    // run for contact_timeout. Takes effect after the snapshots that were
    // published before. Thread-safe.
    void note_control_run(boot_time now);

    // Calls back on the traffic thread with the counts. Thread-safe.
    void collect(std::function<void(traffic_report)> take);

    // Stops accepting connections; open connections close after their next
    // response. Calls back on the traffic thread when none is open.
    // Thread-safe.
    void stop_accepting(std::function<void()> on_drained);

    // Closes all connections of callers, logs the requests that this cuts off,
    // and then calls back on the traffic thread. Thread-safe.
    void close_callers(std::function<void()> done);

private:
    void serve_request(const proxy::exchange_ptr& ex);
    void serve_directory(const proxy::exchange_ptr& ex);
    void serve_readiness(const proxy::exchange_ptr& ex);
    void serve_admin(const proxy::exchange_ptr& ex);
    // Returns the callbacks of the exchange of tokens.
    token_handlers make_token_handlers();
    // Moves tokens of customers to where they are asked for, at an interval.
    void exchange_tokens();
    void sweep();
    // Reports the load of the event loop and of the listener for callers.
    void report_load();
    // Reports what was done for lack of memory.
    void report_limits();
    // Logs and exports the requests that were refused because the length of
    // their bodies is in doubt.
    void report_framing();

    const adapter& platform;
    telemetry::metrics& counters;
    proxy::asio::io_context io;
    proxy::asio::executor_work_guard<proxy::asio::io_context::executor_type>
        work;
    std::shared_ptr<const proxy::loop_monitor> monitor;
    traffic_state state;
    caller_shares limits;
    proxy::upstream_pool pool;
    token_exchange token_peers;
    flow_context context;
    proxy::asio::steady_timer sweep_timer;
    proxy::asio::steady_timer token_timer;
    // What was last reported of the connections of callers.
    proxy::connection_counts reported;
    proxy::memory_counts reported_memory;
    proxy::framing_counts reported_framing;
    std::vector<std::unique_ptr<proxy::front_listener>> listeners;
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
