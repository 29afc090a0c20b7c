#ifndef PARSLEYPLANK_PROXY_FRONT_LISTENER_HPP
#define PARSLEYPLANK_PROXY_FRONT_LISTENER_HPP

// Accepts the connections of callers on one endpoint and enforces their time
// limits. Not thread-safe: used by the traffic thread only.

#include <parsleyplank/proxy/front_connection.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <list>

namespace parsleyplank::proxy
{

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

    // Stops accepting connections, closes idle ones and drains the others.
    void stop();

    // Returns the number of requests that await their responses.
    std::size_t open_exchanges() const;

private:
    asio::awaitable<void> accept_connections();
    // Closes connections that exceed a time limit, forgets closed ones and
    // schedules the next sweep.
    void sweep();

    tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    std::shared_ptr<front_shared> shared;
    std::list<std::weak_ptr<front_connection>> connections;
};

} // namespace parsleyplank::proxy

#endif
