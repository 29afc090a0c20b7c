#ifndef PARSLEYPLANK_EDGE_STORE_WORKER_HPP
#define PARSLEYPLANK_EDGE_STORE_WORKER_HPP

// Runs the short calls to the store, i.e. all but watches, one after the other
// on its own thread, so that a slow store does not block the caller.

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

    // Starts the thread. The failure handler is called on this thread with the
    // message of an error that a job throws.
    store_worker(std::unique_ptr<store::lease_store> target,
                 std::function<void(const std::string& problem)> on_failure);
    ~store_worker();

    store_worker(const store_worker&) = delete;
    store_worker& operator=(const store_worker&) = delete;

    // Queues a job. Returns false and drops the job if the queue is full, which
    // means that the store does not answer.
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
