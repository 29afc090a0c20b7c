#include <parsleyplank/edge/store_feed.hpp>

#include <algorithm>

namespace parsleyplank::edge
{

store_feed::store_feed(std::unique_ptr<store::lease_store> from,
                       std::string watched, feed_options chosen,
                       feed_handlers receivers)
    : source(std::move(from)), prefix(std::move(watched)), options(chosen),
      handlers(std::move(receivers)), thread([this] { run(); })
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
            if (known == revision(0))
                list();
            else
                watch();
        }
        catch (const store::history_lost& ec)
        {
            handlers.lost(ec.what());
            known = revision(0);
        }
        catch (const error& ec)
        {
            handlers.lost(ec.what());
            std::this_thread::sleep_for(options.retry);
        }
    }
}

void store_feed::list()
{
    auto all = source->list(prefix);
    known = all.store_revision;
    handlers.listed(std::move(all));
}

void store_feed::watch()
{
    auto changes = source->watch(prefix, known, options.watch_wait);
    known = std::max(known, changes.store_revision);
    const bool any = !changes.entries.empty();
    handlers.changed(std::move(changes));
    if (any)
        std::this_thread::sleep_for(options.gather);
}

} // namespace parsleyplank::edge
