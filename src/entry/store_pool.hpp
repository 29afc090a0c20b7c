#ifndef PARSLEYPLANK_ENTRY_STORE_POOL_HPP
#define PARSLEYPLANK_ENTRY_STORE_POOL_HPP

// Threads that make the blocking calls to the store, each with a connection of
// its own. Results go back to the control thread by event_loop::post.

#include <parsleyplank/store/kv_store.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleyplank::entry
{

using store_factory = std::function<std::unique_ptr<store::kv_store>()>;
using store_job = std::function<void(store::kv_store&)>;

class store_pool
{
public:
    // Starts the threads; each makes its own store object.
    store_pool(int threads, std::size_t max_queued, store_factory factory);

    // Drops jobs that have not started and waits for the others.
    ~store_pool();
    store_pool(const store_pool&) = delete;
    store_pool& operator=(const store_pool&) = delete;

    // Queues a job. Returns false, and drops it, if the queue is full: the
    // store is slow and the caller has to treat the call as not made.
    bool submit(store_job job);

private:
    void work();

    const std::size_t max_queued;
    const store_factory factory;
    std::mutex guard;
    std::condition_variable wake;
    std::deque<store_job> jobs;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace parsleyplank::entry

#endif
