#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/dataplane/upstream_worker.hpp>

#include <algorithm>
#include <chrono>

namespace parsleyplank::dataplane
{

namespace
{

// Longest wait for an event; commands wake the thread earlier.
constexpr milliseconds longest_wait{1'000};
// Handles kept for reuse.
constexpr std::size_t most_spare = 64;

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

upstream_worker::upstream_worker(const client_options& its_options)
    : options(its_options), multi(curl_multi_init())
{
    if (multi == nullptr)
        throw error("libcurl has no memory for a multi handle");
    const auto bound = static_cast<long>(
        std::max<std::size_t>(1, options.connections_per_upstream));
    curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, bound);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, bound);
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    thread = std::thread([this] { run(); });
}

upstream_worker::~upstream_worker()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    curl_multi_wakeup(multi);
    thread.join();
    spare.clear();
    curl_multi_cleanup(multi);
}

void upstream_worker::send(std::uint64_t number, backend_call call,
                           call_callback callback)
{
    {
        const std::lock_guard lock(mutex);
        commands.push_back({number, std::move(call), std::move(callback)});
    }
    curl_multi_wakeup(multi);
}

void upstream_worker::cancel(std::uint64_t number)
{
    {
        const std::lock_guard lock(mutex);
        commands.push_back({number, {}, {}});
    }
    curl_multi_wakeup(multi);
}

void upstream_worker::run()
{
    while (take_commands())
    {
        int running = 0;
        curl_multi_perform(multi, &running);
        read_results();
        run_timers();
        curl_multi_poll(multi, nullptr, 0, wait_time(), nullptr);
    }
    while (!calls.empty())
        finish_early(calls.begin()->first, call_outcome::cancelled);
}

// Returns false when the worker has to end.
bool upstream_worker::take_commands()
{
    std::vector<command> taken;
    bool go_on = true;
    {
        const std::lock_guard lock(mutex);
        taken.swap(commands);
        go_on = !stopping;
    }
    for (auto& it : taken)
    {
        if (it.callback)
            start(it.number, std::move(it.call), std::move(it.callback));
        else
            finish_early(it.number, call_outcome::cancelled);
    }
    return go_on;
}

void upstream_worker::start(std::uint64_t number, backend_call call,
                            call_callback callback)
{
    auto& it = calls[number];
    it.call = std::move(call);
    it.callback = std::move(callback);
    it.start = now();
    const bool may_hedge =
        !it.call.fresh_connection && it.call.hedge_after > milliseconds(0) &&
        (it.call.method == "GET" || it.call.method == "HEAD");
    if (it.call.deadline <= it.start)
    {
        finish_early(number, call_outcome::deadline);
        return;
    }
    try
    {
        begin(number, it.call, it.first, it.call.fresh_connection);
    }
    catch (const error& ec)
    {
        call_result result;
        result.outcome = call_outcome::not_sent;
        result.maybe_sent = false;
        result.detail = ec.what();
        finish(number, std::move(result));
        return;
    }
    timers.emplace(it.call.deadline, number);
    if (may_hedge)
    {
        it.hedge_at = it.start + it.call.hedge_after;
        timers.emplace(it.hedge_at, number);
    }
}

// Starts an attempt. Throws error if libcurl does not take it; then nothing was
// sent.
void upstream_worker::begin(std::uint64_t number, const backend_call& call,
                            transfer_ptr& transfer, bool fresh)
{
    transfer_ptr taken;
    if (spare.empty())
        taken = std::make_unique<curl_transfer>();
    else
    {
        taken = std::move(spare.back());
        spare.pop_back();
    }
    taken->prepare(call, options, fresh, now());
    const auto code = curl_multi_add_handle(multi, taken->handle());
    if (code != CURLM_OK)
        throw error(curl_multi_strerror(code));
    numbers[taken->handle()] = number;
    transfer = std::move(taken);
}

void upstream_worker::start_hedge(std::uint64_t number, active_call& it)
{
    it.hedge_at = time_point::max();
    if (!it.first || it.first->has_response())
        return;
    try
    {
        begin(number, it.call, it.hedge, true);
        it.hedged = true;
    }
    catch (const error& ec)
    {
        auto logger = component_logger("backend");
        LOG4CPLUS_WARN(logger, "Request is not hedged: " << ec.what());
    }
}

void upstream_worker::read_results()
{
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi, &left))
    {
        if (message->msg == CURLMSG_DONE)
            end_transfer(message->easy_handle, message->data.result);
    }
}

void upstream_worker::end_transfer(CURL* easy, CURLcode code)
{
    const auto found = numbers.find(easy);
    if (found == numbers.end())
        return;
    const auto number = found->second;
    auto& it = calls.at(number);
    const bool is_hedge = it.hedge && it.hedge->handle() == easy;
    auto& transfer = is_hedge ? it.hedge : it.first;
    const auto& other = is_hedge ? it.first : it.hedge;
    auto result = transfer->finish(code);
    // A failed attempt leaves the decision to the other one.
    if (result.outcome != call_outcome::response && other)
    {
        it.was_sent = it.was_sent || result.maybe_sent;
        release(transfer);
        return;
    }
    if (result.outcome == call_outcome::not_sent && it.was_sent)
    {
        result.outcome = call_outcome::lost;
        result.maybe_sent = true;
    }
    finish(number, std::move(result));
}

void upstream_worker::run_timers()
{
    const auto time = now();
    while (!timers.empty() && timers.begin()->first <= time)
    {
        const auto number = timers.begin()->second;
        timers.erase(timers.begin());
        const auto it = calls.find(number);
        if (it == calls.end())
            continue;
        if (it->second.call.deadline <= time)
            finish_early(number, call_outcome::deadline);
        else if (it->second.hedge_at <= time)
            start_hedge(number, it->second);
    }
}

int upstream_worker::wait_time() const
{
    if (timers.empty())
        return static_cast<int>(longest_wait.count());
    const auto left =
        std::chrono::ceil<milliseconds>(timers.begin()->first - now());
    return static_cast<int>(
        std::clamp(left, milliseconds(0), longest_wait).count());
}

void upstream_worker::finish_early(std::uint64_t number, call_outcome outcome)
{
    const auto it = calls.find(number);
    if (it == calls.end())
        return;
    const auto sent = [](const transfer_ptr& transfer)
    {
        return transfer && transfer->maybe_sent();
    };
    call_result result;
    result.outcome = outcome;
    result.maybe_sent =
        it->second.was_sent || sent(it->second.first) || sent(it->second.hedge);
    result.detail = to_string(outcome);
    finish(number, std::move(result));
}

void upstream_worker::finish(std::uint64_t number, call_result result)
{
    auto node = calls.extract(number);
    auto& it = node.mapped();
    release(it.first);
    release(it.hedge);
    timers.erase({it.call.deadline, number});
    timers.erase({it.hedge_at, number});
    result.hedged = it.hedged;
    result.duration =
        std::chrono::duration_cast<std::chrono::microseconds>(now() - it.start);
    try
    {
        it.callback(std::move(result));
    }
    catch (const std::exception& ec)
    {
        auto logger = component_logger("backend");
        LOG4CPLUS_ERROR(logger, "Response callback failed: " << ec.what());
    }
}

// Removing an unfinished handle makes libcurl close its connection.
void upstream_worker::release(transfer_ptr& transfer)
{
    if (!transfer)
        return;
    numbers.erase(transfer->handle());
    curl_multi_remove_handle(multi, transfer->handle());
    if (spare.size() < most_spare)
        spare.push_back(std::move(transfer));
    transfer.reset();
}

} // namespace parsleyplank::dataplane
