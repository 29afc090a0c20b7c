#ifndef PARSLEYPLANK_REVIEW_2_PLATFORM_STORE_HPP
#define PARSLEYPLANK_REVIEW_2_PLATFORM_STORE_HPP

// The platform's store on a loopback address: items, pages, watches,
// conditional writes and leases, as PROTOCOL.md says. It is sound and answers
// at once.

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

namespace review2
{

class platform_store
{
public:
    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    std::uint16_t port() const;
    // Writes what the operator or an upstream says. The return is the ack.
    void put(const std::string& key, const nlohmann::json& value);

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
        clock::time_point at;
        std::uint64_t revision;
        nlohmann::json row;
    };

    struct lease_state
    {
        milliseconds ttl;
        clock::time_point end;
    };

    struct response
    {
        int status;
        nlohmann::json body;
    };

    void serve(connection& caller);
    response answer(const std::string& method, const std::string& target,
                    const std::string& body);
    response get_item(const std::map<std::string, std::string>& query) const;
    response get_page(const std::map<std::string, std::string>& query) const;
    response watch(const std::map<std::string, std::string>& query,
                   std::unique_lock<std::mutex>& lock);
    response commit(const nlohmann::json& body);
    response grant(const nlohmann::json& body);
    response renew(std::uint64_t lease);
    void add_event(nlohmann::json row);
    void write(const std::string& key, const std::string& value,
               std::uint64_t lease);
    void remove(const std::string& key);
    void end_lease(std::uint64_t lease);
    void expire_leases();
    static nlohmann::json to_json(const std::string& key, const item& it);

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease_state> leases;
    // Changes of the last seconds, and the revision of the last one before.
    std::deque<event> events;
    std::uint64_t forgotten = 0;
    std::uint64_t revision = 100;
    std::uint64_t last_lease = 5'000;
    bool stopping = false;
    // The last member, since its threads use the others.
    server_loop loop;
};

} // namespace review2

#endif
