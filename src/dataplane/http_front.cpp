#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/dataplane/front_connection.hpp>
#include <parsleyplank/dataplane/http_front.hpp>

#include <pistache/endpoint.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>
#include <vector>

namespace parsleyplank::dataplane
{

namespace
{

constexpr const char* connection_data = "parsleyplank";

// Feeds the received bytes to the connections in place of Pistache's own
// request parser. Pistache copies the handler once per server thread.
class front_handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(front_handler)

    explicit front_handler(std::shared_ptr<front_core> shared_core)
        : core(std::move(shared_core))
    {
    }

    void onRequest(const Pistache::Http::Request&,
                   Pistache::Http::ResponseWriter) override
    {
    }

    void
    onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const auto connection = find(peer);
        if (!connection)
            return;
        // What is queued for this descriptor must not reach the connection that
        // gets the same descriptor next.
        connection->mark_ended();
        transport()->flush();
        const std::lock_guard lock(core->mutex);
        core->connections.erase(peer->getID());
        core->changed.notify_all();
    }

private:
    // NOLINTNEXTLINE(readability-identifier-naming)
    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        // Pistache's search for idle connections expects a parser.
        peer->putData(ParserData,
                      std::make_shared<Pistache::Http::RequestParser>(1));
        auto connection =
            std::make_shared<front_connection>(core, peer, transport());
        {
            const std::lock_guard lock(core->mutex);
            if (!core->stopping &&
                core->connections.size() < core->options.max_connections)
            {
                core->connections.emplace(peer->getID(), connection);
                peer->putData(connection_data, std::move(connection));
                return;
            }
        }
        ::shutdown(peer->fd(), SHUT_RDWR);
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void onInput(const char* buffer, size_t len,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        if (const auto connection = find(peer))
            connection->take_input({buffer, len});
    }

    static std::shared_ptr<front_connection>
    find(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
    {
        return std::static_pointer_cast<front_connection>(
            peer->tryGetData(connection_data));
    }

    std::shared_ptr<front_core> core;
};

Pistache::Http::Endpoint::Options endpoint_options(const front_options& options)
{
    // Idle and half-sent connections are closed by this library, since Pistache
    // would also close one whose request is being served.
    constexpr auto never = std::chrono::hours(24 * 365);
    return Pistache::Http::Endpoint::options()
        .threads(options.threads)
        .threadsName("front")
        .flags(Pistache::Tcp::Options::ReuseAddr |
               Pistache::Tcp::Options::NoDelay)
        .backlog(1'024)
        .headerTimeout(never)
        .bodyTimeout(never)
        .keepaliveTimeout(never);
}

std::vector<std::shared_ptr<front_connection>> all_connections(front_core& core)
{
    const std::lock_guard lock(core.mutex);
    std::vector<std::shared_ptr<front_connection>> all;
    all.reserve(core.connections.size());
    for (const auto& [id, it] : core.connections)
        all.push_back(it);
    return all;
}

milliseconds timeout_tick(const front_options& options)
{
    const auto shortest =
        std::min({options.head_timeout, options.body_timeout,
                  options.idle_timeout, options.write_timeout});
    return std::clamp(shortest / 4, milliseconds(5), milliseconds(250));
}

} // namespace

class http_front::impl
{
public:
    impl(const front_options& options, request_handler handler)
        : core(std::make_shared<front_core>()),
          endpoint(Pistache::Address(options.address, options.port))
    {
        core->options = options;
        core->handler = std::move(handler);
        try
        {
            endpoint.init(endpoint_options(options));
            endpoint.setHandler(std::make_shared<front_handler>(core));
            endpoint.serveThreaded();
        }
        catch (const std::exception& ec)
        {
            throw error("can't listen on " + options.address + ":" +
                        std::to_string(options.port) + ": " + ec.what());
        }
        reaper = std::thread([this] { check_timeouts(); });
    }

    ~impl()
    {
        stop(milliseconds(0));
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    bool stop(milliseconds grace)
    {
        if (stopped)
            return true;
        stopped = true;
        core->draining = true;
        core->stopping = true;
        const bool finished = close_settled(grace);
        std::ranges::for_each(all_connections(*core), [](const auto& it)
                              { it->close(close_reason::stop); });
        wait_until_closed();
        // Later responses are dropped: the event loops are about to end.
        std::ranges::for_each(all_connections(*core),
                              [](const auto& it) { it->mark_ended(); });
        endpoint.shutdown();
        {
            const std::lock_guard lock(core->mutex);
            reaper_stops = true;
            core->changed.notify_all();
        }
        reaper.join();
        const std::lock_guard lock(core->mutex);
        core->connections.clear();
        return finished;
    }

    const std::shared_ptr<front_core> core;
    Pistache::Http::Endpoint endpoint;

private:
    // Waits until no caller is owed anything and closes the connections then.
    bool close_settled(milliseconds grace)
    {
        // Nothing tells when a caller has received its response.
        constexpr milliseconds interval{10};
        const auto limit = std::chrono::steady_clock::now() + grace;
        while (true)
        {
            const auto now = std::chrono::steady_clock::now();
            const auto all = all_connections(*core);
            const auto settled = [&](const auto& it)
            {
                return it->is_settled(now);
            };
            // Idle connections are served as long as there are others.
            if (!has_outstanding() && std::ranges::all_of(all, settled))
            {
                std::ranges::for_each(all, [&](const auto& it)
                                      { it->close_if_settled(now); });
                if (std::ranges::all_of(all, settled))
                    return true;
            }
            if (now >= limit)
                return false;
            std::unique_lock lock(core->mutex);
            core->changed.wait_until(lock, std::min(limit, now + interval));
        }
    }

    bool has_outstanding() const
    {
        const std::lock_guard lock(core->mutex);
        return core->outstanding > 0;
    }

    void wait_until_closed()
    {
        // Pistache reports the end of a shut-down connection at once, unless a
        // server thread hangs.
        constexpr std::chrono::seconds longest{2};
        std::unique_lock lock(core->mutex);
        core->changed.wait_for(lock, longest,
                               [&] { return core->connections.empty(); });
    }

    void check_timeouts()
    {
        const auto tick = timeout_tick(core->options);
        std::unique_lock lock(core->mutex);
        while (
            !core->changed.wait_for(lock, tick, [&] { return reaper_stops; }))
        {
            lock.unlock();
            const auto now = std::chrono::steady_clock::now();
            std::ranges::for_each(all_connections(*core), [&](const auto& it)
                                  { it->check_timeouts(now); });
            lock.lock();
        }
    }

    bool stopped = false;
    bool reaper_stops = false;
    std::thread reaper;
};

http_front::http_front(const front_options& options, request_handler handler)
    : self(std::make_unique<impl>(options, std::move(handler)))
{
}

http_front::~http_front() = default;

std::uint16_t http_front::port() const
{
    return self->endpoint.getPort();
}

void http_front::drain()
{
    self->core->draining = true;
}

bool http_front::stop(milliseconds grace)
{
    return self->stop(grace);
}

front_counters http_front::counters() const
{
    auto& core = *self->core;
    front_counters now;
    now.requests = core.requests;
    now.bad_requests = core.bad_requests;
    now.body_memory_refusals = core.body_memory_refusals;
    now.early_requests = core.early_requests;
    now.timeouts = core.timeouts;
    now.body_bytes = core.body_bytes;
    now.stopping = core.stopping;
    const std::lock_guard lock(core.mutex);
    now.connections = core.connections.size();
    now.outstanding = core.outstanding;
    now.cut = core.cut;
    return now;
}

} // namespace parsleyplank::dataplane
