#ifndef PARSLEYPLANK_EDGE_TRAFFIC_PLANE_HPP
#define PARSLEYPLANK_EDGE_TRAFFIC_PLANE_HPP

// The traffic thread: listeners for callers, the directory, the health check of
// this instance and its metrics, and the requests in flight.

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
    // Listens at once and starts the thread. Throws error if an address can't
    // be used.
    traffic_plane(const settings& config, const adapter& platform,
                  telemetry::metrics& counters);
    ~traffic_plane();

    traffic_plane(const traffic_plane&) = delete;
    traffic_plane& operator=(const traffic_plane&) = delete;

    // Puts a snapshot in force. Any thread may call.
    void publish(snapshot_ptr next);

    // Calls back on the traffic thread with the counts. Any thread may call.
    void collect(std::function<void(traffic_report)> take);

    // Accepts no further connections; those that are open close after their
    // next response. Any thread may call.
    void stop_accepting();

private:
    void serve_request(const proxy::exchange_ptr& ex);
    void serve_directory(const proxy::exchange_ptr& ex);
    void serve_readiness(const proxy::exchange_ptr& ex);
    void serve_admin(const proxy::exchange_ptr& ex);
    void sweep();

    const adapter& platform;
    telemetry::metrics& counters;
    proxy::asio::io_context io;
    proxy::asio::executor_work_guard<proxy::asio::io_context::executor_type>
        work;
    traffic_state state;
    proxy::upstream_pool pool;
    token_exchange token_peers;
    flow_context context;
    proxy::asio::steady_timer sweep_timer;
    std::vector<std::unique_ptr<proxy::front_listener>> listeners;
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
