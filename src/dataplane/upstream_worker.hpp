#ifndef PARSLEYPLANK_DATAPLANE_UPSTREAM_WORKER_HPP
#define PARSLEYPLANK_DATAPLANE_UPSTREAM_WORKER_HPP

// The traffic thread of one upstream: runs its calls on one libcurl multi
// handle, which holds the upstream's connections.

#include <parsleyplank/dataplane/backend_client.hpp>
#include <parsleyplank/dataplane/curl_transfer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleyplank::dataplane
{

class upstream_worker
{
public:
    // Throws error if libcurl can't be started.
    explicit upstream_worker(const client_options& its_options);

    // Cancels all calls and ends the thread.
    ~upstream_worker();

    upstream_worker(const upstream_worker&) = delete;
    upstream_worker& operator=(const upstream_worker&) = delete;

    // Both are thread-safe.
    void send(std::uint64_t number, backend_call call, call_callback callback);
    void cancel(std::uint64_t number);

private:
    using transfer_ptr = std::unique_ptr<curl_transfer>;

    struct active_call
    {
        backend_call call;
        call_callback callback;
        time_point start;
        // Set while its timer for the hedge is pending.
        time_point hedge_at = time_point::max();
        transfer_ptr first;
        transfer_ptr hedge;
        bool hedged = false;
        // Whether an attempt that has ended may have been sent.
        bool was_sent = false;
    };

    using call_map = std::unordered_map<std::uint64_t, active_call>;

    void run();
    bool take_commands();
    void start(std::uint64_t number, backend_call call, call_callback callback);
    void start_hedge(std::uint64_t number, active_call& it);
    void begin(std::uint64_t number, const backend_call& call,
               transfer_ptr& transfer, bool fresh);
    void read_results();
    void end_transfer(CURL* easy, CURLcode code);
    void run_timers();
    int wait_time() const;
    void finish(std::uint64_t number, call_result result);
    void finish_early(std::uint64_t number, call_outcome outcome);
    void release(transfer_ptr& transfer);

    const client_options options;
    CURLM* multi;
    call_map calls;
    std::unordered_map<CURL*, std::uint64_t> numbers;
    std::set<std::pair<time_point, std::uint64_t>> timers;
    std::vector<transfer_ptr> spare;

    struct command
    {
        std::uint64_t number = 0;
        backend_call call;
        // Empty for a cancellation.
        call_callback callback;
    };

    std::mutex mutex;
    std::vector<command> commands;
    bool stopping = false;
    std::thread thread;
};

} // namespace parsleyplank::dataplane

#endif
