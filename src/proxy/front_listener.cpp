#include <parsleyplank/core/error.hpp>
#include <parsleyplank/proxy/front_listener.hpp>
#include <parsleyplank/proxy/socket_state.hpp>

#include <algorithm>
#include <vector>

namespace parsleyplank::proxy
{

namespace
{

// Interval between checks of the time limits, hence their precision. Shorter
// once the listener has stopped, when the process waits for them.
constexpr milliseconds sweep_interval{500};
constexpr milliseconds stopping_sweep_interval{50};
// Maximum number of connections that wait to be accepted. A caller that finds
// the queue full tries another instance; in a longer queue, it would have left
// when its turn comes.
constexpr int accept_backlog = 128;
// Delay after a failed accept, e.g. when no file descriptor is free.
constexpr milliseconds accept_retry_delay{50};
// Divisors of the maximum number of connections that give the number of idle
// ones that are closed at a time, and of those beyond the maximum whose
// requests are read to refuse them.
constexpr std::size_t idle_part = 16;
constexpr std::size_t refused_part = 16;
// After a search that closed no more connections than this, the next one waits:
// it looks at all connections.
constexpr std::size_t max_useless_search = 8;
constexpr milliseconds idle_search_interval{100};

tcp::endpoint to_endpoint(const steering::server_endpoint& listen_endpoint)
{
    return {asio::ip::make_address(listen_endpoint.address),
            listen_endpoint.port};
}

} // namespace

front_listener::front_listener(asio::io_context& io,
                               const steering::server_endpoint& listen_endpoint,
                               front_options options, request_handler handler)
    : log(component_logger("listener")), acceptor(io), sweep_timer(io),
      shared(std::make_shared<front_shared>())
{
    shared->log = log;
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

void front_listener::stop(std::function<void()> on_drained)
{
    shared->draining = true;
    shared->stopping = true;
    drained_callback = std::move(on_drained);
    for (const auto& it : connections)
        if (const auto connection = it.lock())
            connection->close_if_idle(close_reason::stop);
    // What has arrived is served, however late that makes the event loop.
    shared->options.monitor.reset();
    accept_waiting();
    error_code ec;
    acceptor.close(ec);
    sweep();
}

void front_listener::close_connections(close_reason reason)
{
    ended = true;
    for (const auto& it : connections)
        if (const auto connection = it.lock())
            connection->close_and_cancel(reason);
}

std::size_t front_listener::open_connections() const
{
    return shared->open_connections;
}

milliseconds front_listener::accept_failing_time() const
{
    if (!failing_since)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - *failing_since);
}

const connection_counts& front_listener::counts() const
{
    return totals;
}

std::size_t front_listener::open_requests() const
{
    auto n = shared->open_exchanges;
    for (const auto& it : connections)
        if (const auto connection = it.lock())
            n += connection->unreceived_responses() +
                 (connection->is_receiving() ? 1 : 0);
    return n;
}

const framing_counts& front_listener::framing() const
{
    return shared->framing;
}

const memory_counts& front_listener::memory() const
{
    return shared->memory;
}

const cut_counts& front_listener::cut() const
{
    return shared->cut;
}

bool front_listener::is_loop_late() const
{
    const auto& options = shared->options;
    return options.monitor &&
           options.monitor->delay() >= options.max_loop_delay;
}

error_code front_listener::accept_waiting()
{
    error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec && !is_loop_late())
    {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
        if (!ec)
            start_connection(std::move(socket));
        // The caller left; others may wait behind it.
        if (ec == asio::error::connection_aborted)
            ec = {};
    }
    if (!ec)
        ++totals.postponed_accepts;
    return ec == asio::error::would_block ? error_code() : ec;
}

void front_listener::close_longest_idle()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < next_idle_search)
        return;
    struct idle_connection
    {
        time_point since;
        std::shared_ptr<front_connection> connection;
    };
    std::vector<idle_connection> idle;
    for (const auto& it : connections)
    {
        const auto connection = it.lock();
        const auto since = connection ? connection->idle_since() : std::nullopt;
        if (since)
            idle.push_back({*since, connection});
    }
    const auto part =
        1 + std::min(idle.size(), shared->options.max_connections) / idle_part;
    const auto batch = std::min(idle.size(), part);
    std::ranges::nth_element(idle, idle.begin() + static_cast<long>(batch), {},
                             &idle_connection::since);
    const auto closed = std::ranges::count_if(
        idle.begin(), idle.begin() + static_cast<long>(batch),
        [](const idle_connection& it)
        { return it.connection->close_if_idle(close_reason::displaced); });
    totals.closed_for_others += static_cast<std::uint64_t>(closed);
    if (static_cast<std::size_t>(closed) <= max_useless_search)
        next_idle_search = now + idle_search_interval;
    LOG4CPLUS_INFO(log, "event=idle_connections_closed count="
                            << closed
                            << " connections=" << shared->open_connections);
}

void front_listener::start_connection(tcp::socket socket)
{
    if (ended)
        return;
    const auto limit = std::min(shared->options.max_connections,
                                callers_limit(*shared->options.descriptors));
    if (shared->open_connections >= limit)
        close_longest_idle();
    const auto excess =
        shared->open_connections - std::min(limit, shared->open_connections);
    const bool refused = shared->open_connections >= limit;
    if (refused)
        ++totals.refused;
    // The caller learns from the close that its request has not been read.
    if (refused && excess >= 1 + limit / refused_part)
        return;
    error_code ec;
    // If the option can't be set, responses are merely slower.
    socket.set_option(tcp::no_delay(true), ec);
    const auto connection =
        std::make_shared<front_connection>(std::move(socket), shared);
    connections.push_back(connection);
    if (refused)
        connection->refuse_request();
    connection->start();
}

void front_listener::record_accept(const error_code& ec)
{
    const auto now = std::chrono::steady_clock::now();
    if (ec)
        ++totals.accept_failures;
    if (ec && !failing_since)
    {
        failing_since = now;
        LOG4CPLUS_WARN(log, "event=accept_failed detail=\""
                                << ec.message() << "\" connections="
                                << shared->open_connections);
    }
    if (!ec && failing_since)
    {
        const auto span = now - *std::exchange(failing_since, {});
        LOG4CPLUS_WARN(
            log, "event=accept_resumed ms="
                     << std::chrono::duration_cast<milliseconds>(span).count()
                     << " failures=" << totals.accept_failures
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
        if (!ec)
            start_connection(std::move(socket));
        if (!acceptor.is_open())
            co_return;
        if (!ec)
            ec = accept_waiting();
        record_accept(ec);
        if (ec)
        {
            if (lacks_resources(ec))
                close_longest_idle();
            asio::steady_timer retry_timer(acceptor.get_executor(),
                                           accept_retry_delay);
            co_await retry_timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

void front_listener::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    connections.remove_if(
        [&](const std::weak_ptr<front_connection>& it)
        {
            const auto connection = it.lock();
            return !connection || !connection->close_if_ended(now);
        });
    check_drained();
    sweep_timer.expires_after(shared->stopping ? stopping_sweep_interval
                                               : sweep_interval);
    sweep_timer.async_wait(
        [this](const error_code& ec)
        {
            if (!ec)
                sweep();
        });
}

void front_listener::check_drained()
{
    if (!drained_callback || shared->open_connections > 0)
        return;
    ended = true;
    std::exchange(drained_callback, nullptr)();
}

} // namespace parsleyplank::proxy
