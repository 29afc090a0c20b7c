#ifndef PARSLEYPLANK_EDGE_STORE_WORKER_HPP
#define PARSLEYPLANK_EDGE_STORE_WORKER_HPP

// Makes the calls to the store that do not wait for changes, one after the
// other, on a thread of its own.

#include <parsleyplank/store/lease_store.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace parsleyplank::edge
{

class store_worker
{
public:
    using job = std::function<void(store::lease_store&)>;

    // Starts the thread. The failure handler is called on it with the message
    // of an exception that a job lets out.
    store_worker(std::unique_ptr<store::lease_store> target,
                 std::function<void(const std::string& problem)> on_failure);
    ~store_worker();

    store_worker(const store_worker&) = delete;
    store_worker& operator=(const store_worker&) = delete;

    // Queues a job. Returns false, and drops it, if too many are waiting
    // because the store does not answer.
    bool submit(job work);

private:
    void run();

    std::unique_ptr<store::lease_store> target;
    std::function<void(const std::string&)> on_failure;
    std::mutex jobs_mutex;
    std::condition_variable job_available;
    std::deque<job> jobs;
    bool stopping = false;
    std::thread thread;
};

} // namespace parsleyplank::edge

#endif
