#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/lookup_cache.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::load
{

namespace
{

constexpr milliseconds lookup_timeout{2'000};

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

std::string base_url(const endpoint& e)
{
    const bool is_v6 = e.address.find(':') != std::string::npos;
    return "http://" + (is_v6 ? "[" + e.address + "]" : e.address) + ":" +
           std::to_string(e.port);
}

lookup_cache::lookup_cache(http_calls& use, std::vector<endpoint> ask)
    : calls(use), entries(std::move(ask))
{
}

void lookup_cache::find(const std::string& client, const std::string& customer,
                        handler done)
{
    const client_key key{client, customer};
    auto& state = clients[key];
    if (state.answer && now() < state.expires)
    {
        done(&*state.answer);
        return;
    }
    state.waiting.push_back(std::move(done));
    if (state.waiting.size() > 1)
        return;
    state.to_ask = entries;
    // Clients spread their look-ups over the entries.
    const auto first =
        state.to_ask.begin() +
        static_cast<std::ptrdiff_t>(next_entry++ % entries.size());
    std::rotate(state.to_ask.begin(), first, state.to_ask.end());
    if (state.answer)
        state.to_ask.insert(state.to_ask.end(), state.answer->instances.begin(),
                            state.answer->instances.end());
    ask_next(key);
}

void lookup_cache::ask_next(const client_key& key)
{
    auto& state = clients[key];
    if (state.to_ask.empty())
    {
        finish(state, false);
        return;
    }
    http_call call;
    call.method = "GET";
    call.url = base_url(state.to_ask.front()) +
               "/v1/lookup?client=" + key.first + "&customer=" + key.second;
    call.timeout = lookup_timeout;
    state.to_ask.erase(state.to_ask.begin());
    calls.start(std::move(call),
                [this, key, asked = now()](const http_answer& response)
                { receive(key, asked, response); });
}

void lookup_cache::receive(const client_key& key, time_point asked,
                           const http_answer& response)
{
    auto& state = clients[key];
    try
    {
        if (response.answered && response.status == 200)
        {
            auto answer = parse_lookup_answer(response.body);
            if (!answer.instances.empty())
            {
                state.expires = asked + answer.ttl;
                state.answer = std::move(answer);
                finish(state, true);
                return;
            }
        }
    }
    catch (const codec_error&)
    {
        // Another instance may give a usable answer.
    }
    ask_next(key);
}

void lookup_cache::finish(client_state& state, bool found)
{
    const auto waiting = std::exchange(state.waiting, {});
    // Copied: a handler may start another look-up of this client.
    const auto answer = state.answer;
    std::ranges::for_each(waiting, [&](const handler& done)
                          { done(found ? &*answer : nullptr); });
}

} // namespace parsleyplank::load
