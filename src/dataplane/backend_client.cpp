#include <parsleyplank/core/error.hpp>
#include <parsleyplank/dataplane/backend_client.hpp>
#include <parsleyplank/dataplane/upstream_worker.hpp>

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace parsleyplank::dataplane
{

namespace
{

void start_curl()
{
    // Once per process; thread-safe as a local static.
    static const CURLcode code = curl_global_init(CURL_GLOBAL_ALL);
    if (code != CURLE_OK)
        throw error(std::string("libcurl does not start: ") +
                    curl_easy_strerror(code));
}

} // namespace

std::string_view to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::response:
        return "response";
    case call_outcome::not_sent:
        return "not_sent";
    case call_outcome::lost:
        return "lost";
    case call_outcome::deadline:
        return "deadline";
    case call_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

class backend_client::impl
{
public:
    explicit impl(const client_options& its_options) : options(its_options)
    {
        start_curl();
    }

    ~impl()
    {
        worker_map ending;
        {
            const std::lock_guard lock(mutex);
            closing = true;
            ending.swap(workers);
        }
        // Cancels the calls; their callbacks still use this object.
        ending.clear();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    call_number send(backend_call call, call_callback callback)
    {
        std::unique_lock lock(mutex);
        if (closing)
        {
            lock.unlock();
            call_result result;
            result.outcome = call_outcome::cancelled;
            result.maybe_sent = false;
            result.detail = "the client is closing";
            callback(std::move(result));
            return 0;
        }
        auto& worker = workers[call.upstream];
        if (!worker)
            worker = std::make_unique<upstream_worker>(options);
        const auto number = ++last_number;
        // Calls that have ended are dropped from the table by their callback.
        places[number] = worker.get();
        worker->send(
            number, std::move(call),
            [this, number, user = std::move(callback)](call_result result)
            {
                {
                    const std::lock_guard guard(mutex);
                    places.erase(number);
                }
                user(std::move(result));
            });
        return number;
    }

    void cancel(call_number number)
    {
        const std::lock_guard lock(mutex);
        if (const auto it = places.find(number); it != places.end())
            it->second->cancel(number);
    }

private:
    using worker_map =
        std::unordered_map<upstream_id, std::unique_ptr<upstream_worker>>;

    const client_options options;
    std::mutex mutex;
    bool closing = false;
    call_number last_number = 0;
    std::unordered_map<call_number, upstream_worker*> places;
    worker_map workers;
};

backend_client::backend_client(const client_options& options)
    : self(std::make_unique<impl>(options))
{
}

backend_client::~backend_client() = default;

backend_client::call_number backend_client::send(backend_call call,
                                                 call_callback callback)
{
    return self->send(std::move(call), std::move(callback));
}

void backend_client::cancel(call_number number)
{
    self->cancel(number);
}

} // namespace parsleyplank::dataplane
