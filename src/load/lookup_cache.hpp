#ifndef PARSLEYPLANK_LOAD_LOOKUP_CACHE_HPP
#define PARSLEYPLANK_LOAD_LOOKUP_CACHE_HPP

// Look-up answers of a caller, kept for their time to live.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/load/caller.hpp>
#include <parsleyplank/load/http_calls.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::load
{

class lookup_cache
{
public:
    // Gets the answer, or nullptr if no instance gave one.
    using handler = std::function<void(const lookup_answer*)>;

    // Uses calls as long as it exists. Entries are asked first, then the
    // instances of the last answer.
    lookup_cache(http_calls& calls, std::vector<endpoint> entries);

    // Calls the handler with the answer for a client address, at once if a kept
    // one has not expired, otherwise after one look-up that all waiting
    // requests of this client share.
    void find(const std::string& client, const std::string& customer,
              handler done);

private:
    struct client_state
    {
        std::optional<lookup_answer> answer;
        time_point expires;
        std::vector<handler> waiting;
        // Instances still to ask in the look-up under way.
        std::vector<endpoint> to_ask;
    };
    using client_key = std::pair<std::string, std::string>;

    void ask_next(const client_key& key);
    void receive(const client_key& key, time_point asked,
                 const http_answer& response);
    void finish(client_state& state, bool found);

    http_calls& calls;
    std::vector<endpoint> entries;
    std::map<client_key, client_state> clients;
    std::size_t next_entry = 0;
};

// Returns "http://ADDRESS:PORT".
std::string base_url(const endpoint& e);

} // namespace parsleyplank::load

#endif
