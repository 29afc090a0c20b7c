#include <parsleyplank/proxy/call_race.hpp>

#include <algorithm>

namespace parsleyplank::proxy
{

call_race::call_race(asio::io_context& context) : io(context), timer(context)
{
}

std::size_t call_race::start(std::shared_ptr<upstream_call> call,
                             call_request arguments)
{
    const auto number = entries.size();
    entries.push_back({std::move(call), std::nullopt, false});
    asio::co_spawn(
        io,
        [self = shared_from_this(), number,
         given = std::move(arguments)]() mutable
        { return self->run(number, std::move(given)); },
        asio::detached);
    return number;
}

asio::awaitable<void> call_race::run(std::size_t number, call_request arguments)
{
    const auto call = entries[number].call;
    auto result = co_await call->run(
        std::move(arguments.request), std::move(arguments.body_owner),
        arguments.repeatable, std::move(arguments.expected),
        arguments.deadline);
    entries[number].result = std::move(result);
    timer.cancel();
}

std::optional<std::size_t> call_race::next_ended()
{
    const auto it = std::ranges::find_if(
        entries, [](const entry& one) { return one.result && !one.returned; });
    if (it == entries.end())
        return std::nullopt;
    it->returned = true;
    return static_cast<std::size_t>(it - entries.begin());
}

asio::awaitable<std::optional<std::size_t>> call_race::wait_until(time_point at)
{
    const auto self = shared_from_this();
    auto ended = next_ended();
    if (ended || running() == 0)
        co_return ended;
    timer.expires_at(at);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return next_ended();
}

call_result call_race::take_result(std::size_t number)
{
    return std::move(*entries[number].result);
}

std::size_t call_race::running() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries, [](const entry& it) { return !it.returned; }));
}

void call_race::cancel()
{
    // The connection of a call that has ended may be in use by another one.
    for (const auto& it : entries)
        if (!it.result)
            it.call->cancel();
}

} // namespace parsleyplank::proxy
