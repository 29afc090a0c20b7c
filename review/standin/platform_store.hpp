#ifndef PARSLEYPLANK_REVIEW_PLATFORM_STORE_HPP
#define PARSLEYPLANK_REVIEW_PLATFORM_STORE_HPP

// Stand-in for the platform's metadata store.

#include "http_server.hpp"
#include "record.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>

namespace review
{

class platform_store
{
public:
    platform_store();
    ~platform_store();

    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    // Writes of the operator and of upstreams. They succeed also while the
    // store is down for the system.
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

    // While the store is down, it responds with 503 to every call, and leases
    // pause.
    void set_down(bool down);

    // Returns the value of a key, or an empty text.
    std::string get(const std::string& key);

    std::string endpoint() const
    {
        return server->endpoint();
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct event
    {
        std::string key;
        std::uint64_t revision = 0;
        // Null for a removal.
        std::shared_ptr<const item> written;
    };

    struct lease
    {
        milliseconds ttl{0};
        clock::time_point end;
    };

    using lock = std::unique_lock<std::mutex>;

    response serve(const request& call);
    response read_item(const std::string& query);
    response read_range(const std::string& query);
    response watch(const std::string& query, lock& held);
    response commit(const std::string& body);
    response grant(const std::string& body);
    response renew(std::uint64_t id);
    response end_lease(std::uint64_t id);
    void set_item(const std::string& key, std::string value,
                  std::uint64_t lease, std::uint64_t at);
    void erase_item(const std::string& key, std::uint64_t at);
    void end_due_leases();
    nlohmann::json to_json(const std::string& key, const item& it) const;
    nlohmann::json events_after(const std::string& prefix,
                                std::uint64_t after) const;

    std::mutex mutex;
    std::condition_variable changed;
    bool is_down = false;
    bool stopping = false;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease> leases;
    std::vector<event> history;
    std::unique_ptr<http_server> server;
    std::thread timer;
};

} // namespace review

#endif
