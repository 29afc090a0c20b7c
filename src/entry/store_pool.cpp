#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/store_pool.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

store_pool::store_pool(int n, std::size_t max_queued, store_factory factory)
    : max_queued(max_queued), factory(std::move(factory))
{
    threads.reserve(n);
    for (int i = 0; i < n; ++i)
        threads.emplace_back([this] { work(); });
}

store_pool::~store_pool()
{
    {
        const std::lock_guard lock(guard);
        stopping = true;
    }
    wake.notify_all();
    std::ranges::for_each(threads, [](std::thread& t) { t.join(); });
}

bool store_pool::submit(store_job job)
{
    {
        const std::lock_guard lock(guard);
        if (jobs.size() >= max_queued)
            return false;
        jobs.push_back(std::move(job));
    }
    wake.notify_one();
    return true;
}

void store_pool::work()
{
    const auto store = factory();
    for (;;)
    {
        std::unique_lock lock(guard);
        wake.wait(lock, [this] { return stopping || !jobs.empty(); });
        if (stopping)
            return;
        const auto job = std::move(jobs.front());
        jobs.pop_front();
        lock.unlock();
        try
        {
            job(*store);
        }
        catch (const std::exception& ec)
        {
            // Jobs report the store's errors themselves; one that does not is
            // a fault of the program, which must not end the thread.
            LOG4CPLUS_ERROR(component_logger("store"),
                            "Store job failed: " << ec.what());
        }
    }
}

} // namespace parsleyplank::entry
