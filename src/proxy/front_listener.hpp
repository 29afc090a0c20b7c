#ifndef PARSLEYPLANK_PROXY_FRONT_LISTENER_HPP
#define PARSLEYPLANK_PROXY_FRONT_LISTENER_HPP

// Accepts the connections of callers on one address and keeps their time
// limits. Belongs to the traffic thread.

#include <parsleyplank/proxy/front_connection.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <list>

namespace parsleyplank::proxy
{

class front_listener
{
public:
    // Listens at once. Throws error, which names the endpoint, if it can't.
    front_listener(asio::io_context& io,
                   const steering::server_endpoint& listen_endpoint,
                   front_options options, request_handler handler);

    // Replaces the limits; they hold for requests that are read from now on.
    void set_limits(const steering::caller_limits& limits);

    // Closes each connection after its next response; new ones are accepted
    // still.
    void drain();

    // Accepts no further connections and closes idle ones.
    void stop();

    // Returns the requests that wait for their responses.
    std::size_t open_exchanges() const;

private:
    asio::awaitable<void> accept_connections();
    void sweep();

    tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    std::shared_ptr<front_shared> shared;
    std::list<std::weak_ptr<front_connection>> connections;
};

} // namespace parsleyplank::proxy

#endif
