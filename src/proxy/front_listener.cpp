#include <parsleyplank/core/error.hpp>
#include <parsleyplank/proxy/front_listener.hpp>

#include <poll.h>

#include <algorithm>

namespace parsleyplank::proxy
{

namespace
{

// Interval between checks of the time limits, hence their precision.
constexpr milliseconds sweep_interval{500};
// Maximum number of connections that wait to be accepted. Many callers may
// connect at the same time.
constexpr int accept_backlog = 1'024;
// Delay after a failed accept, e.g. when no file descriptor is free.
constexpr milliseconds accept_retry_delay{50};

tcp::endpoint to_endpoint(const steering::server_endpoint& listen_endpoint)
{
    return {asio::ip::make_address(listen_endpoint.address),
            listen_endpoint.port};
}

// Returns whether an accept on the socket, or a read from it, would not block.
bool is_readable(int descriptor)
{
    pollfd it{descriptor, POLLIN, 0};
    return ::poll(&it, 1, 0) > 0;
}

} // namespace

front_listener::front_listener(asio::io_context& io,
                               const steering::server_endpoint& listen_endpoint,
                               front_options options, request_handler handler)
    : log(component_logger("listener")), acceptor(io), sweep_timer(io),
      shared(std::make_shared<front_shared>())
{
    shared->options = std::move(options);
    shared->handler = std::move(handler);
    try
    {
        const auto endpoint = to_endpoint(listen_endpoint);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(accept_backlog);
    }
    catch (const boost::system::system_error& ec)
    {
        throw error("can't listen on " + listen_endpoint.address + ":" +
                    std::to_string(listen_endpoint.port) + ": " + ec.what());
    }
    asio::co_spawn(
        io, [this] { return accept_connections(); }, asio::detached);
    sweep();
}

void front_listener::set_limits(const steering::caller_limits& limits)
{
    shared->options.limits = limits;
}

void front_listener::drain()
{
    shared->draining = true;
}

void front_listener::stop()
{
    shared->draining = true;
    for (const auto& it : connections)
        if (const auto connection = it.lock())
            connection->close_if_idle();
    accept_waiting();
    error_code ec;
    acceptor.close(ec);
}

std::size_t front_listener::open_connections() const
{
    return shared->open_connections;
}

milliseconds front_listener::queue_busy_time() const
{
    if (!queue_busy_since)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - *queue_busy_since);
}

std::uint64_t front_listener::accept_failures() const
{
    return failed_accepts;
}

std::size_t front_listener::open_requests() const
{
    const auto receiving = std::ranges::count_if(
        connections,
        [](const std::weak_ptr<front_connection>& it)
        {
            const auto connection = it.lock();
            return connection && connection->is_receiving();
        });
    return shared->open_exchanges + static_cast<std::size_t>(receiving);
}

void front_listener::accept_waiting()
{
    error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec)
    {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
        if (!ec)
            start_connection(std::move(socket));
    }
}

void front_listener::start_connection(tcp::socket socket)
{
    error_code ec;
    // If the option can't be set, responses are merely slower.
    socket.set_option(tcp::no_delay(true), ec);
    const auto connection =
        std::make_shared<front_connection>(std::move(socket), shared);
    connections.push_back(connection);
    connection->start();
}

void front_listener::record_accept(const error_code& ec)
{
    const auto now = std::chrono::steady_clock::now();
    if (ec)
    {
        ++failed_accepts;
        if (!failing_since)
        {
            failing_since = now;
            LOG4CPLUS_WARN(log, "event=accept_failed detail=\""
                                    << ec.message() << "\" connections="
                                    << shared->open_connections);
        }
        return;
    }
    if (!is_readable(acceptor.native_handle()))
        queue_busy_since.reset();
    else if (!queue_busy_since)
        queue_busy_since = now;
    if (failing_since)
    {
        LOG4CPLUS_WARN(log, "event=accept_resumed ms="
                                << std::chrono::duration_cast<milliseconds>(
                                       now - *std::exchange(failing_since, {}))
                                       .count()
                                << " failures=" << failed_accepts
                                << " connections=" << shared->open_connections);
    }
}

asio::awaitable<void> front_listener::accept_connections()
{
    while (acceptor.is_open())
    {
        error_code ec;
        auto socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            if (!acceptor.is_open())
                co_return;
            record_accept(ec);
            asio::steady_timer retry_timer(acceptor.get_executor(),
                                           accept_retry_delay);
            co_await retry_timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        record_accept(ec);
        start_connection(std::move(socket));
    }
}

void front_listener::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    connections.remove_if(
        [&](const std::weak_ptr<front_connection>& it)
        {
            const auto connection = it.lock();
            return !connection || !connection->close_if_expired(now);
        });
    sweep_timer.expires_after(sweep_interval);
    sweep_timer.async_wait(
        [this](const error_code& ec)
        {
            if (!ec)
                sweep();
        });
}

} // namespace parsleyplank::proxy
