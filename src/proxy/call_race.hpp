#ifndef PARSLEYPLANK_PROXY_CALL_RACE_HPP
#define PARSLEYPLANK_PROXY_CALL_RACE_HPP

// Calls of one request that run at the same time. Not thread-safe: used by the
// traffic thread only.

#include <parsleyplank/proxy/upstream_call.hpp>

namespace parsleyplank::proxy
{

// Arguments of upstream_call::run.
struct call_request
{
    request_view request;
    std::shared_ptr<const void> body_owner;
    bool repeatable = false;
    correlation expected;
    time_point deadline;
};

class call_race : public std::enable_shared_from_this<call_race>
{
public:
    explicit call_race(asio::io_context& io);

    // Starts a call and returns its number, from 0.
    std::size_t start(std::shared_ptr<upstream_call> call,
                      call_request arguments);

    // Waits until a call ends or the time has come. Returns the number of a
    // call that has ended and has not been returned before, or nullopt.
    asio::awaitable<std::optional<std::size_t>> wait_until(time_point at);

    // Returns the result of a call that has ended. Must be called once a call.
    call_result take_result(std::size_t number);

    // Returns the number of calls that have not been returned by wait_until.
    std::size_t running() const;

    // Cancels the calls that have not ended.
    void cancel();

private:
    struct entry
    {
        std::shared_ptr<upstream_call> call;
        std::optional<call_result> result;
        bool returned = false;
    };

    asio::awaitable<void> run(std::size_t number, call_request arguments);
    std::optional<std::size_t> next_ended();

    asio::io_context& io;
    asio::steady_timer timer;
    std::vector<entry> entries;
};

} // namespace parsleyplank::proxy

#endif
