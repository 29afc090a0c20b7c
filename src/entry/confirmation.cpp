#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/confirmation.hpp>

#include <utility>

namespace parsleyplank::entry
{

namespace
{

// Short enough that the process stops within a second.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds watch_pause{200};

struct round_result
{
    freshness::round_outcome end = freshness::round_outcome::no_answer;
    revision own_revision;
    std::vector<store::entry> entries;
};

std::string own_key(const settings& s)
{
    return "confirm/" + s.region.value + "/" + s.id.value;
}

// Runs on a store thread. The write proves that the store takes writes now, and
// its revision dates the read.
round_result call_store(store::kv_store& store, const std::string& key,
                        revision own, incarnation life)
{
    round_result result;
    result.own_revision = own;
    try
    {
        const auto written =
            store.compare_and_swap(key, own, std::to_string(life.value));
        result.own_revision = written.key_revision;
        result.end = freshness::round_outcome::stale_read;
        // Another life of this instance wrote the key; the next round succeeds.
        if (!written.applied)
            return result;
        auto read = store.list(state_prefix);
        result.entries = std::move(read.entries);
        if (read.store_revision >= written.store_revision)
            result.end = freshness::round_outcome::confirmed;
    }
    catch (const error& ec)
    {
        LOG4CPLUS_DEBUG(component_logger("store"),
                        "Confirmation round failed: " << ec.what());
    }
    return result;
}

void finish(const round_result& result, confirmation_rounds& rounds,
            peer_contact& contact, state_feed& feed, node_context& context)
{
    const bool was_reachable = freshness::store_reachable(contact.fresh);
    rounds.own_revision = result.own_revision;
    const auto shown = take_entries(feed, context, result.entries);
    // Lower epochs than the held ones in an up-to-date read mean that the store
    // lost data, or that a newer epoch arrived from a peer meanwhile.
    const bool usable = shown && freshness::covers(*shown, held_epochs(feed));
    const auto end =
        result.end == freshness::round_outcome::confirmed && !usable
            ? freshness::round_outcome::stale_read
            : result.end;
    freshness::finish_round(contact.fresh, end,
                            shown.value_or(freshness::known_epochs{}));
    freshness::record_held_epochs(contact.fresh, held_epochs(feed));
    const bool reachable = freshness::store_reachable(contact.fresh);
    if (reachable != was_reachable)
        LOG4CPLUS_WARN(component_logger("store"),
                       (reachable ? "The store answers again."
                                  : "The store does not answer."));
}

} // namespace

void run_round(confirmation_rounds& rounds, peer_contact& contact,
               state_feed& feed, node_context& context)
{
    const auto now = context.loop.now();
    if (!freshness::round_due(contact.fresh, now, designated(contact, context)))
        return;
    auto job = [&, key = own_key(context.config), own = rounds.own_revision,
                life = context.config.life](store::kv_store& store)
    {
        context.loop.post([&, result = call_store(store, key, own, life)]
                          { finish(result, rounds, contact, feed, context); });
    };
    // The start is taken before the job is queued: time spent in the queue
    // counts towards the age of the confirmation.
    if (context.round_jobs.submit(std::move(job)))
        freshness::start_round(contact.fresh, now);
}

state_watch::state_watch(state_feed& feed, node_context& context,
                         store_factory factory)
    : feed(feed), context(context),
      thread([this, factory = std::move(factory)] { work(factory); })
{
}

state_watch::~state_watch()
{
    stopping = true;
    thread.join();
}

void state_watch::enable(bool on)
{
    enabled = on;
}

void state_watch::work(const store_factory& factory)
{
    const auto store = factory();
    revision seen;
    while (!stopping)
    {
        if (!enabled)
        {
            std::this_thread::sleep_for(watch_pause);
            continue;
        }
        try
        {
            auto changed = store->watch(state_prefix, seen, watch_wait);
            seen = std::max(seen, changed.store_revision);
            if (!changed.entries.empty())
                context.loop.post([this, entries = std::move(changed.entries)]
                                  { take_entries(feed, context, entries); });
        }
        catch (const error& ec)
        {
            LOG4CPLUS_DEBUG(component_logger("store"),
                            "Watch failed: " << ec.what());
            std::this_thread::sleep_for(watch_pause);
        }
    }
}

} // namespace parsleyplank::entry
