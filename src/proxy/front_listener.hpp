#ifndef PARSLEYPLANK_PROXY_FRONT_LISTENER_HPP
#define PARSLEYPLANK_PROXY_FRONT_LISTENER_HPP

// Accepts the connections of callers on one endpoint and enforces their time
// limits. Not thread-safe: used by the traffic thread only.

#include <parsleyplank/core/log.hpp>
#include <parsleyplank/proxy/front_connection.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <functional>
#include <list>

namespace parsleyplank::proxy
{

// What happened to the connections of a listener since it was created.
struct connection_counts
{
    // How often a connection could not be accepted.
    std::uint64_t accept_failures = 0;
    // How often connections were possibly left waiting because the event loop
    // was late.
    std::uint64_t postponed_accepts = 0;
    // Idle connections that were closed for new ones.
    std::uint64_t closed_for_others = 0;
    // Connections that were refused because none was idle.
    std::uint64_t refused = 0;
};

class front_listener
{
public:
    // Binds the endpoint and starts to accept connections. Throws an error that
    // names the endpoint if it can't listen there.
    front_listener(asio::io_context& io,
                   const steering::server_endpoint& listen_endpoint,
                   front_options options, request_handler handler);

    // Replaces the limits. The size limits apply to requests whose header is
    // read from now on, the time limits also to open connections.
    void set_limits(const steering::caller_limits& limits);

    // Closes each connection after the next response that leaves no request
    // pending. New connections are still accepted.
    void drain();

    // Closes idle connections, accepts those that are waiting, then accepts no
    // more. All open connections drain. Calls back once, when none is open.
    void stop(std::function<void()> on_drained = nullptr);

    // Closes all connections, and logs the requests that this cuts off.
    void close_connections(close_reason reason);

    // Returns the number of open connections.
    std::size_t open_connections() const;

    // Returns for how long no connection could be accepted; zero if the last
    // accept succeeded.
    milliseconds accept_failing_time() const;

    const connection_counts& counts() const;

    // Returns the number of requests that were cut off by a close of this
    // process since its start.
    const cut_counts& cut() const;

    const memory_counts& memory() const;

    const framing_counts& framing() const;

    // Returns the number of requests that are being received or whose responses
    // callers have not received.
    std::size_t open_requests() const;

private:
    asio::awaitable<void> accept_connections();
    // Starts a new connection, or closes it if there are far too many.
    void start_connection(tcp::socket socket);
    // Closes a part of the connections, those that have been idle longest.
    void close_longest_idle();
    // Counts failed accepts and logs the start and the end of a series of them.
    void record_accept(const error_code& ec);
    // Returns whether the event loop is too late to accept more than one
    // connection a turn.
    bool is_loop_late() const;
    // Accepts the connections that wait, until the event loop is late. Returns
    // the error that ended this, if any.
    error_code accept_waiting();
    // Closes connections that exceed a time limit, forgets closed ones and
    // schedules the next sweep.
    void sweep();
    // Calls back if the listener has stopped and no connection is open.
    void check_drained();

    log4cplus::Logger log;
    tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    std::shared_ptr<front_shared> shared;
    std::list<std::weak_ptr<front_connection>> connections;
    std::function<void()> drained_callback;
    // Connections that are accepted from now on are closed unread.
    bool ended = false;
    connection_counts totals;
    // Earliest time of the next search for idle connections.
    time_point next_idle_search{};
    // Time of the first of a series of failed accepts; empty if the last one
    // succeeded.
    std::optional<time_point> failing_since;
};

} // namespace parsleyplank::proxy

#endif
