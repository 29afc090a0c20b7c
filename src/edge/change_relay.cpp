#include <parsleyplank/edge/change_relay.hpp>
#include <parsleyplank/proxy/gzip.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::edge
{

namespace
{

namespace protocol = store::protocol;

// Number of recent batches of changes that are retained for peers that lag
// behind.
constexpr std::size_t max_retained_batches = 256;

// Shorter answers fit into one packet, so that compressing them saves nothing.
constexpr std::size_t min_compressed_bytes = 1'024;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;

std::string encode(const store::list_result& result)
{
    protocol::entries_response body;
    body.store_revision = result.store_revision;
    std::ranges::transform(
        result.entries, std::back_inserter(body.entries),
        [](const store::entry& it) {
            return protocol::wire_entry{it.key, it.value, it.key_revision};
        });
    return pack_value(body);
}

} // namespace

change_relay::change_relay(std::size_t max_waiting_watches)
    : max_watches(max_waiting_watches)
{
}

void change_relay::apply_listing(const store::list_result& all)
{
    keys.clear();
    for (const auto& it : all.entries)
        keys[it.key] = it;
    // A listing does not show which keys were removed before it, so peers have
    // to list again as well.
    recent_batches.clear();
    current_revision = all.store_revision;
    oldest_revision = current_revision;
    answer_pending_watches();
}

relayed_changes
change_relay::apply_changes(const store::list_result& changes,
                            const std::set<std::string>& repeated)
{
    current_revision = changes.store_revision;
    for (const auto& it : changes.entries)
        if (it.key_revision == revision(0))
            keys.erase(it.key);
        else
            keys[it.key] = it;
    store::list_result news{{}, changes.store_revision};
    std::ranges::copy_if(changes.entries, std::back_inserter(news.entries),
                         [&](const store::entry& it)
                         { return !repeated.contains(it.key); });
    if (news.entries.empty())
        return {};
    recent_batches.push_back(std::move(news));
    if (recent_batches.size() > max_retained_batches)
    {
        oldest_revision = recent_batches.front().store_revision;
        recent_batches.pop_front();
    }
    return answer_pending_watches();
}

store::list_result change_relay::changes_after(const std::string& prefix,
                                               revision after) const
{
    store::list_result result{{}, current_revision};
    for (const auto& batch : recent_batches)
        if (batch.store_revision > after)
            std::ranges::copy_if(batch.entries,
                                 std::back_inserter(result.entries),
                                 [&](const store::entry& it)
                                 { return it.key.starts_with(prefix); });
    return result;
}

void change_relay::answer(proxy::exchange& ex, encoded_answer& body)
{
    const bool compress = body.plain.size() >= min_compressed_bytes &&
                          proxy::accepts_gzip(ex.request);
    if (compress && body.compressed.empty())
        body.compressed = proxy::gzip(body.plain);
    const auto& sent = compress ? body.compressed : body.plain;
    ++total.watches;
    total.bytes += sent.size();
    auto response = proxy::make_response(status_ok, sent);
    if (compress)
        response.set(proxy::http::field::content_encoding, "gzip");
    proxy::respond(ex, std::move(response));
}

void change_relay::answer(proxy::exchange& ex, const store::list_result& result)
{
    encoded_answer body{encode(result), {}};
    answer(ex, body);
}

void change_relay::serve(const proxy::exchange_ptr& ex, time_point now)
{
    try
    {
        if (current_revision == revision(0))
            proxy::respond(*ex, proxy::make_response(status_unavailable,
                                                     "nothing known yet"));
        else if (ex->request.target() == protocol::list_path)
            serve_listing(ex);
        else if (ex->request.target() == protocol::watch_path)
            serve_watch(ex, now);
        else
            proxy::respond(
                *ex, proxy::make_response(status_not_found, "no such path"));
    }
    catch (const codec_error& ec)
    {
        proxy::respond(*ex,
                       proxy::make_response(status_bad_request, ec.what()));
    }
}

void change_relay::serve_listing(const proxy::exchange_ptr& ex)
{
    const auto request = unpack_value<protocol::read_request>(
        ex->request.body(), protocol::list_path);
    store::list_result result{{}, current_revision};
    for (const auto& [key, it] : keys)
        if (key.starts_with(request.key))
            result.entries.push_back(it);
    answer(*ex, result);
}

void change_relay::serve_watch(const proxy::exchange_ptr& ex, time_point now)
{
    const auto request = unpack_value<protocol::watch_request>(
        ex->request.body(), protocol::watch_path);
    if (request.after < oldest_revision)
    {
        proxy::respond(*ex, proxy::make_response(status_gone, "list again"));
        return;
    }
    auto changes = changes_after(request.prefix, request.after);
    if (!changes.entries.empty() || request.wait_ms == 0)
    {
        answer(*ex, changes);
        return;
    }
    if (is_full())
    {
        proxy::respond(
            *ex, proxy::make_response(status_unavailable, "too many watches"));
        return;
    }
    // Longer waits are shortened; the peer then repeats the watch.
    constexpr std::uint64_t max_wait_ms = 30'000;
    pending_watches.push_back(
        {ex, request.prefix, request.after,
         now + milliseconds(std::min(request.wait_ms, max_wait_ms))});
}

bool change_relay::is_full()
{
    if (pending_watches.size() >= max_watches)
        std::erase_if(pending_watches,
                      [](const pending_watch& it) { return it.ex->cancelled; });
    return pending_watches.size() >= max_watches;
}

relayed_changes change_relay::answer_pending_watches()
{
    const auto before = total;
    // Most peers wait for the same changes. An empty text stands for none.
    std::map<std::pair<std::string, revision>, encoded_answer> encoded;
    const auto encoded_changes = [&](const std::string& prefix,
                                     revision after) -> encoded_answer&
    {
        const auto [it, added] = encoded.try_emplace({prefix, after});
        if (!added)
            return it->second;
        const auto changes = changes_after(prefix, after);
        if (!changes.entries.empty())
            it->second.plain = encode(changes);
        return it->second;
    };
    std::erase_if(pending_watches,
                  [&](const pending_watch& it)
                  {
                      if (it.ex->cancelled)
                          return true;
                      if (it.after < oldest_revision)
                      {
                          proxy::respond(
                              *it.ex,
                              proxy::make_response(status_gone, "list again"));
                          return true;
                      }
                      auto& body = encoded_changes(it.prefix, it.after);
                      if (body.plain.empty())
                          return false;
                      answer(*it.ex, body);
                      return true;
                  });
    return {total.watches - before.watches, total.bytes - before.bytes};
}

void change_relay::pass_revision_on()
{
    std::erase_if(pending_watches,
                  [&](const pending_watch& it)
                  {
                      if (it.ex->cancelled || it.after >= current_revision)
                          return it.ex->cancelled;
                      answer(*it.ex, store::list_result{{}, current_revision});
                      return true;
                  });
}

void change_relay::expire_watches(time_point now)
{
    std::erase_if(pending_watches,
                  [&](const pending_watch& it)
                  {
                      if (it.ex->cancelled)
                          return true;
                      if (now < it.deadline)
                          return false;
                      answer(*it.ex, store::list_result{{}, current_revision});
                      return true;
                  });
}

} // namespace parsleyplank::edge
