#include <parsleyplank/edge/usage_caller.hpp>

namespace parsleyplank::edge
{

usage_caller::usage_caller(store::http_settings platform)
    : http(std::move(platform)), thread([this] { run(); })
{
}

usage_caller::~usage_caller()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    changed.notify_one();
    thread.join();
}

bool usage_caller::call(usage_request request, boot_time valid_until,
                        done_handler done)
{
    {
        const std::lock_guard lock(mutex);
        if (pending)
            return false;
        pending = {std::move(request), valid_until, std::move(done)};
    }
    changed.notify_one();
    return true;
}

void usage_caller::run()
{
    std::unique_lock lock(mutex);
    while (true)
    {
        changed.wait(lock, [this] { return stopping || pending.has_value(); });
        if (stopping)
            return;
        const auto it = *pending;
        lock.unlock();
        const auto result = perform(it);
        lock.lock();
        pending.reset();
        lock.unlock();
        it.done(result);
        lock.lock();
    }
}

usage_call_result usage_caller::perform(const pending_call& it)
{
    if (boot_now() >= it.valid_until)
        return {0, "the lease may have ended"};
    try
    {
        const auto& request = it.request;
        return {http.post(request.path, request.body,
                          store::connection_use::fresh, milliseconds(0),
                          request.headers)
                    .status,
                {}};
    }
    catch (const error& ec)
    {
        return {0, ec.what()};
    }
}

} // namespace parsleyplank::edge
