#include <parsleyplank/edge/change_relay.hpp>
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

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;

// Returns the number of bytes of the answer.
std::size_t answer(proxy::exchange& ex, const store::list_result& result)
{
    protocol::entries_response body;
    body.store_revision = result.store_revision;
    std::ranges::transform(
        result.entries, std::back_inserter(body.entries),
        [](const store::entry& it) {
            return protocol::wire_entry{it.key, it.value, it.key_revision};
        });
    const auto bytes = pack_value(body);
    proxy::respond(ex, proxy::make_response(status_ok, bytes));
    return bytes.size();
}

} // namespace

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

relayed_changes change_relay::apply_changes(const store::list_result& changes)
{
    current_revision = changes.store_revision;
    if (changes.entries.empty())
        return {};
    for (const auto& it : changes.entries)
        if (it.key_revision == revision(0))
            keys.erase(it.key);
        else
            keys[it.key] = it;
    recent_batches.push_back(changes);
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
    if (!changes.entries.empty())
    {
        answer(*ex, changes);
        return;
    }
    // Longer waits are shortened; the peer then repeats the watch.
    constexpr std::uint64_t max_wait_ms = 30'000;
    pending_watches.push_back(
        {ex, request.prefix, request.after,
         now + milliseconds(std::min(request.wait_ms, max_wait_ms))});
}

relayed_changes change_relay::answer_pending_watches()
{
    relayed_changes relayed;
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
                      const auto changes = changes_after(it.prefix, it.after);
                      if (changes.entries.empty())
                          return false;
                      ++relayed.watches;
                      relayed.bytes += answer(*it.ex, changes);
                      return true;
                  });
    return relayed;
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
                      answer(*it.ex, {{}, current_revision});
                      return true;
                  });
}

} // namespace parsleyplank::edge
