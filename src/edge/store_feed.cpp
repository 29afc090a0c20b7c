#include <parsleyplank/edge/store_feed.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::edge
{

namespace
{

std::string format_endpoint(const steering::server_endpoint& it)
{
    return it.address + ":" + std::to_string(it.port);
}

} // namespace

store_feed::store_feed(std::unique_ptr<store::lease_store> from,
                       std::string watched, feed_options chosen,
                       feed_handlers receivers)
    : source(std::move(from)), prefix(std::move(watched)), options(chosen),
      handlers(std::move(receivers)), store_wait(options.watch_wait),
      thread([this] { run(); })
{
}

store_feed::~store_feed()
{
    stopping = true;
    thread.join();
}

void store_feed::run()
{
    while (!stopping)
    {
        try
        {
            if (known_revision == revision(0))
                list();
            else
            {
                ask_peer_ahead();
                watch();
            }
        }
        catch (const store::history_lost& ec)
        {
            handlers.store_failed(ec.what());
            known_revision = revision(0);
        }
        catch (const error& ec)
        {
            handlers.store_failed(ec.what());
            std::this_thread::sleep_for(options.retry_delay);
        }
    }
}

void store_feed::list()
{
    auto all = source->list(prefix);
    handlers.store_answered();
    known_revision = all.store_revision;
    handlers.listed(std::move(all));
}

void store_feed::watch_peers(std::vector<steering::server_endpoint> peers,
                             milliseconds store_watch_wait)
{
    const std::lock_guard lock(peer_mutex);
    selected_peers = std::move(peers);
    store_wait = store_watch_wait;
}

void store_feed::catch_up(const steering::server_endpoint& peer,
                          revision newest)
{
    const std::lock_guard lock(peer_mutex);
    peer_ahead = {peer, newest};
}

void store_feed::ask_peer_ahead()
{
    const auto ahead = [this]
    {
        const std::lock_guard lock(peer_mutex);
        return std::exchange(peer_ahead, std::nullopt);
    }();
    if (!ahead || known_revision >= ahead->second)
        return;
    try
    {
        deliver_changes(connect(ahead->first)
                            ->watch(prefix, known_revision, milliseconds(0)),
                        format_endpoint(ahead->first));
    }
    catch (const error& ec)
    {
        handlers.peer_failed(ec.what());
    }
}

std::optional<steering::server_endpoint> store_feed::choose_peer()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(paused_peers,
                  [&](const auto& it) { return it.second <= now; });
    const auto is_usable = [&](const steering::server_endpoint& it)
    {
        return !paused_peers.contains(it);
    };
    const std::lock_guard lock(peer_mutex);
    if (connected_peer && is_usable(*connected_peer) &&
        std::ranges::find(selected_peers, *connected_peer) !=
            selected_peers.end())
        return connected_peer;
    const auto it = std::ranges::find_if(selected_peers, is_usable);
    return it == selected_peers.end() ? std::nullopt : std::optional(*it);
}

store::kv_store* store_feed::connect_peer()
{
    const auto wanted = choose_peer();
    if (wanted != connected_peer)
    {
        peer.reset();
        connected_peer = wanted;
    }
    if (wanted && !peer)
        peer = connect(*wanted);
    return peer.get();
}

std::unique_ptr<store::kv_store>
store_feed::connect(const steering::server_endpoint& where) const
{
    store::http_settings settings;
    settings.address = where.address;
    settings.port = where.port;
    settings.silence_timeout = options.peer_silence_timeout;
    settings.max_response_bytes = options.max_response_bytes;
    settings.accept_compressed = true;
    return std::make_unique<store::http_kv_store>(settings);
}

void store_feed::watch()
{
    auto* const relay = connect_peer();
    if (relay == nullptr)
    {
        const auto wait = [this]
        {
            const std::lock_guard lock(peer_mutex);
            return store_wait;
        }();
        auto changes = source->watch(prefix, known_revision, wait);
        handlers.store_answered();
        deliver_changes(std::move(changes), "store");
        return;
    }
    const auto started = std::chrono::steady_clock::now();
    try
    {
        watch_relay(*relay);
    }
    catch (const error& ec)
    {
        constexpr int pause_per_time_lost = 4;
        handlers.peer_failed(ec.what());
        const auto failed = std::chrono::steady_clock::now();
        paused_peers[*connected_peer] =
            failed + options.peer_retry_delay +
            (failed - started) * pause_per_time_lost;
    }
}

void store_feed::watch_relay(store::kv_store& relay)
{
    try
    {
        deliver_changes(
            relay.watch(prefix, known_revision, options.peer_watch_wait),
            format_endpoint(*connected_peer));
    }
    catch (const store::history_lost&)
    {
        // The relay's listing spares the store one by each instance.
        auto all = relay.list(prefix);
        if (all.store_revision < known_revision)
            throw;
        known_revision = all.store_revision;
        handlers.listed(std::move(all));
    }
}

void store_feed::deliver_changes(store::list_result changes,
                                 const std::string& source)
{
    known_revision = std::max(known_revision, changes.store_revision);
    const bool any = !changes.entries.empty();
    handlers.changed(std::move(changes), source);
    if (any)
        std::this_thread::sleep_for(options.batch_delay);
}

} // namespace parsleyplank::edge
