#include <parsleyplank/edge/store_worker.hpp>

namespace parsleyplank::edge
{

namespace
{

// The control thread submits a few jobs per second and repeats failed ones, so
// a full queue means that the store does not answer.
constexpr std::size_t max_queued_jobs = 32;

} // namespace

store_worker::store_worker(
    std::unique_ptr<store::lease_store> to,
    std::function<void(const std::string&)> failure_handler)
    : target(std::move(to)), on_failure(std::move(failure_handler)),
      thread([this] { run(); })
{
}

store_worker::~store_worker()
{
    {
        const std::lock_guard lock(jobs_mutex);
        stopping = true;
    }
    job_available.notify_one();
    thread.join();
}

bool store_worker::submit(job work)
{
    {
        const std::lock_guard lock(jobs_mutex);
        if (jobs.size() >= max_queued_jobs)
            return false;
        jobs.push_back(std::move(work));
    }
    job_available.notify_one();
    return true;
}

void store_worker::run()
{
    std::unique_lock lock(jobs_mutex);
    while (true)
    {
        job_available.wait(lock, [this] { return stopping || !jobs.empty(); });
        if (stopping)
            return;
        const auto work = std::move(jobs.front());
        jobs.pop_front();
        lock.unlock();
        try
        {
            work(*target);
        }
        catch (const error& ec)
        {
            on_failure(ec.what());
        }
        lock.lock();
    }
}

} // namespace parsleyplank::edge
