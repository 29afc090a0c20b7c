#ifndef PARSLEYPLANK_REVIEW_UPSTREAM_HPP
#define PARSLEYPLANK_REVIEW_UPSTREAM_HPP

// Stand-in for a backend server: registers itself in the store, serves requests
// and its health check, and records what it runs.

#include "platform_store.hpp"

#include <deque>

namespace review
{

struct upstream_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    int capacity = 64;
    // It crashes when it gets this many requests in one second while it is
    // cold; 0 means never. Its callers first have the time of a heartbeat to
    // learn that it is cold.
    std::size_t crash_at = 0;
};

// One request that has run.
struct run
{
    std::string upstream;
    std::string request;
    clock::time_point start;
    clock::time_point end;
    // The connection of the caller closed during the run.
    bool dropped = false;
    // The upstream was cold when the request arrived.
    bool cold = false;
    // The upstream crashed during the run.
    bool crashed = false;
};

class upstream
{
public:
    // Returns how long a request with this id takes.
    using work_time = std::function<milliseconds(const std::string& request)>;

    upstream(upstream_options options, platform_store& store, record& log,
             work_time work);
    ~upstream();

    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;

    // Becomes cold for this time, and says so in its health check at once and
    // in the store as soon as that takes its report.
    void become_cold(milliseconds time);

    // Whether reports to the store fail.
    void set_store_down(bool down);

    const upstream_options& settings() const
    {
        return options;
    }

    std::vector<run> runs();
    clock::time_point cold_since();
    bool has_crashed();

private:
    std::optional<response> serve(const request& call, int connection);
    std::optional<response> serve_work(const request& call, int connection);
    milliseconds warmup_left();
    void report();
    void beat();
    bool note_arrival();
    bool wait_for_slot(std::unique_lock<std::mutex>& lock);

    upstream_options options;
    platform_store& store;
    record& log;
    work_time work;
    std::mutex mutex;
    std::condition_variable stopped;
    std::condition_variable slot_free;
    bool stopping = false;
    bool store_down = false;
    bool crashed = false;
    std::int64_t born;
    std::uint64_t sequence = 0;
    clock::time_point cold_from{};
    clock::time_point cold_until{};
    std::deque<clock::time_point> arrivals;
    std::vector<run> finished;
    int running = 0;
    int waiting = 0;
    std::unique_ptr<http_server> server;
    std::thread beats;
};

} // namespace review

#endif
