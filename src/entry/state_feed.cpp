#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/state_feed.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

// A request that was lost is repeated after this time.
constexpr milliseconds ask_again{500};
// Keeps a reply well below the largest peer message.
constexpr std::size_t max_reply_bytes = 2'000'000;

log4cplus::Logger feed_log()
{
    return component_logger("config");
}

void adopt_if_complete(state_feed& feed)
{
    if (!config::try_adopt(feed.config))
        return;
    const bool reuse =
        feed.tables &&
        config::same_client_blocks(feed.tables_of, feed.config.held_manifest);
    feed.tables =
        build_tables(feed.config, reuse ? feed.tables->blocks : nullptr);
    feed.tables_of = feed.config.held_manifest;
    LOG4CPLUS_INFO(feed_log(), "Configuration epoch "
                                   << held_epoch(feed.config).value
                                   << " is in force.");
    feed.on_config();
}

epoch take_manifest(state_feed& feed, std::string_view bytes)
{
    const auto arrived = config::decode_manifest(bytes);
    if (config::offer_manifest(feed.config, arrived) ==
        config::offer_verdict::conflicting)
        LOG4CPLUS_ERROR(feed_log(),
                        "Epoch " << arrived.epoch().value
                                 << " was published twice with different "
                                    "contents; keeping the one held.");
    adopt_if_complete(feed);
    return arrived.epoch();
}

epoch take_shares(state_feed& feed, std::string_view bytes,
                  std::optional<revision> at)
{
    auto arrived = quota::unpack_share_table(bytes);
    const auto number = arrived.number;
    if (number == feed.shares.number && at)
        feed.shares_revision = at;
    if (number <= feed.shares.number)
        return number;
    feed.shares = std::move(arrived);
    feed.shares_revision = at;
    feed.on_shares();
    return number;
}

void take_parts(state_feed& feed, const config::part_map& parts)
{
    config::offer_parts(feed.config, parts);
    adopt_if_complete(feed);
}

// Reads the parts on a store thread. What could not be read is left out and is
// asked for again.
config::part_map read_parts(store::kv_store& store,
                            const std::vector<config::part_digest>& digests)
{
    config::part_map parts;
    try
    {
        std::ranges::for_each(digests,
                              [&](const config::part_digest& digest)
                              {
                                  auto read =
                                      store.get("config/part/" + digest);
                                  if (read.found)
                                      parts[digest] =
                                          std::move(read.found->value);
                              });
    }
    catch (const error& ec)
    {
        LOG4CPLUS_WARN(feed_log(),
                       "Parts can't be read from the store: " << ec.what());
    }
    return parts;
}

void fetch_from_store(state_feed& feed, node_context& context,
                      std::vector<config::part_digest> missing)
{
    feed.fetching = context.store_jobs.submit(
        [&feed, &context, missing = std::move(missing)](store::kv_store& store)
        {
            context.loop.post(
                [&feed, parts = read_parts(store, missing)]
                {
                    feed.fetching = false;
                    take_parts(feed, parts);
                });
        });
}

bool behind_peer(const state_feed& feed)
{
    return feed.ahead.has_value();
}

} // namespace

freshness::known_epochs held_epochs(const state_feed& feed)
{
    // A bundle from which no tables could be built is not in force.
    return {feed.tables ? feed.tables->content->epoch : epoch(0),
            feed.shares.number};
}

std::optional<freshness::known_epochs>
take_entries(state_feed& feed, node_context& context,
             std::span<const store::entry> entries)
{
    freshness::known_epochs shown;
    bool usable = true;
    std::ranges::for_each(
        entries,
        [&](const store::entry& e)
        {
            try
            {
                if (e.key == config_key)
                    shown.config = take_manifest(feed, e.value);
                else if (e.key == shares_key)
                    shown.shares = take_shares(feed, e.value, e.key_revision);
                else
                    feed.on_other(e);
            }
            catch (const error& ec)
            {
                usable = false;
                LOG4CPLUS_ERROR(feed_log(),
                                "Value of " << e.key << " at store "
                                            << "revision "
                                            << e.key_revision.value
                                            << " is not usable: " << ec.what());
            }
        });
    fetch_missing(feed, context);
    return usable ? std::optional(shown) : std::nullopt;
}

void note_peer_epochs(state_feed& feed, const instance_id& peer,
                      const freshness::known_epochs& epochs)
{
    if (!freshness::covers(held_epochs(feed), epochs))
        feed.ahead = peer;
    else if (feed.ahead == peer)
        feed.ahead.reset();
}

void fetch_missing(state_feed& feed, node_context& context)
{
    auto missing = config::missing_parts(feed.config);
    if (feed.fetching || (missing.empty() && !behind_peer(feed)))
        return;
    const auto now = context.loop.now();
    const bool peer_asked = feed.asked_at && now - *feed.asked_at < ask_again;
    // The store and the peer take turns, so that either may be unreachable.
    const bool ask_peer = feed.ahead && (missing.empty() || feed.asks % 2 == 0);
    if (ask_peer && peer_asked)
        return;
    ++feed.asks;
    if (!ask_peer)
    {
        fetch_from_store(feed, context, std::move(missing));
        return;
    }
    feed.asked_at = now;
    send_to(context, *feed.ahead, peer::message_kind::config_request,
            config_request{held_epochs(feed), std::move(missing)});
}

void answer_request(const state_feed& feed, node_context& context,
                    const instance_id& peer, const config_request& request)
{
    config_reply reply;
    const auto held = held_epochs(feed);
    if (held.config > request.held.config)
        reply.manifest = config::encode_manifest(feed.config.held_manifest);
    if (held.shares > request.held.shares)
        reply.shares = quota::pack_share_table(feed.shares);
    std::size_t n = 0;
    std::ranges::for_each(request.missing,
                          [&](const config::part_digest& digest)
                          {
                              const auto it = feed.config.parts.find(digest);
                              if (it == feed.config.parts.end() ||
                                  n + it->second.size() > max_reply_bytes)
                                  return;
                              n += it->second.size();
                              reply.parts[digest] = it->second;
                          });
    if (!reply.manifest.empty() || !reply.shares.empty() ||
        !reply.parts.empty())
        send_to(context, peer, peer::message_kind::config_reply, reply);
}

void take_reply(state_feed& feed, node_context& context,
                const config_reply& reply)
{
    feed.asked_at.reset();
    if (!reply.manifest.empty())
        take_manifest(feed, reply.manifest);
    if (!reply.shares.empty())
        take_shares(feed, reply.shares, std::nullopt);
    take_parts(feed, reply.parts);
    fetch_missing(feed, context);
}

} // namespace parsleyplank::entry
