#ifndef PARSLEYPLANK_PROXY_FRONT_CONNECTION_HPP
#define PARSLEYPLANK_PROXY_FRONT_CONNECTION_HPP

// One caller's connection: reads requests, also pipelined ones, hands each to
// the handler as soon as it is whole, and writes the responses in the order of
// the requests. Belongs to the traffic thread.

#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/steering/traffic_config.hpp>

#include <deque>

namespace parsleyplank::proxy
{

struct front_options
{
    steering::caller_limits limits;
    // Requests of one connection that may wait for their responses.
    std::size_t max_pipelined_requests = 16;
    // Bytes of request bodies that all connections may hold.
    std::size_t max_buffered_body_bytes = 64'000'000;
    // Time for the caller to take a response and to close its end.
    milliseconds write_timeout{10'000};
    milliseconds close_timeout{1'000};
};

// State that all connections of one listener share.
struct front_shared
{
    front_options options;
    request_handler handler;
    // Each connection closes after its next response.
    bool draining = false;
    std::size_t body_bytes = 0;
    // Set while a handler's response may still be due.
    std::size_t open_exchanges = 0;
};

class front_connection : public std::enable_shared_from_this<front_connection>
{
public:
    front_connection(tcp::socket connected,
                     std::shared_ptr<front_shared> shared_state);

    // Begins to read.
    void start();

    // Closes the connection if it has exceeded a time limit. Returns whether it
    // is still open.
    bool close_if_expired(time_point now);

    // Closes at once if no request waits for its response.
    void close_if_idle();

private:
    enum class activity
    {
        idle,
        reading_header,
        reading_body,
        closing
    };

    asio::awaitable<void> read_requests();
    asio::awaitable<bool> read_request();
    asio::awaitable<void> write_responses();
    asio::awaitable<void> read_until_closed();
    void accept_request(request_message request);
    // Takes a request out of the counts of the listener.
    void release(const exchange& ex);
    void queue_error_response(unsigned status, std::string_view text);
    void set_activity(activity next);
    void handle_disconnect();
    void close();

    tcp::socket socket;
    std::shared_ptr<front_shared> shared;
    beast::flat_buffer buffer;
    std::deque<exchange_ptr> pending;
    asio::steady_timer writer_signal;
    asio::steady_timer reader_signal;
    activity current_activity = activity::idle;
    time_point activity_start;
    time_point write_start{};
    // No further request is taken from this connection.
    bool last_request_read = false;
    bool open = true;
};

} // namespace parsleyplank::proxy

#endif
