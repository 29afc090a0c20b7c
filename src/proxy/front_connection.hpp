#ifndef PARSLEYPLANK_PROXY_FRONT_CONNECTION_HPP
#define PARSLEYPLANK_PROXY_FRONT_CONNECTION_HPP

// The connection of one caller. Reads requests, including pipelined ones,
// passes each to the handler as soon as it is complete, and writes the
// responses in the order of the requests. Not thread-safe: used by the traffic
// thread only.

#include <parsleyplank/core/cut_off.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/core/response_backlog.hpp>
#include <parsleyplank/proxy/connection_memory.hpp>
#include <parsleyplank/proxy/descriptor_pool.hpp>
#include <parsleyplank/proxy/loop_monitor.hpp>
#include <parsleyplank/proxy/message_length.hpp>
#include <parsleyplank/steering/traffic_config.hpp>

#include <deque>
#include <limits>
#include <map>

namespace parsleyplank::proxy
{

struct front_options
{
    steering::caller_limits limits;
    // Maximum number of open connections. At this number, those that have been
    // idle longest are closed for new ones. If none is idle, the requests of
    // new connections are refused.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    // Delay of the event loop from which only one new connection is accepted in
    // each of its turns: the requests of open connections come first. Without
    // a monitor, all are accepted.
    milliseconds max_loop_delay{10};
    std::shared_ptr<const loop_monitor> monitor;
    // Maximum number of requests of one connection that await their responses.
    // Reading pauses at this number.
    std::size_t max_pipelined_requests = 16;
    // Memory for the bodies of all connections that share this budget.
    std::shared_ptr<memory_budget> bodies =
        std::make_shared<memory_budget>(default_body_bytes);
    // Memory for all else that the connections hold.
    std::shared_ptr<memory_budget> memory =
        std::make_shared<memory_budget>(default_body_bytes);
    connection_memory_options memory_options;
    // Descriptors that are shared with connections to servers.
    std::shared_ptr<descriptor_pool> descriptors =
        std::make_shared<descriptor_pool>();
    // Time in which a caller must receive a response, or its part of it at
    // min_receive_rate, in bytes per second.
    milliseconds write_timeout{10'000};
    double min_receive_rate = 16'384;
    // Maximum time to wait for the caller to close its end after it has
    // received the last response and sends nothing more, and for a request on
    // an idle connection once the listener has stopped.
    milliseconds close_timeout{1'000};
};

// What was done for lack of memory since a listener was created.
struct memory_counts
{
    // Requests that were refused before they were handed on, for their fields
    // and for their bodies.
    std::uint64_t refused_headers = 0;
    std::uint64_t refused_bodies = 0;
    // Connections that were closed for others.
    std::uint64_t closed = 0;
    // How often a connection was not read because it held too much.
    std::uint64_t paused = 0;
};

// Requests that were refused because the length of their bodies is in doubt.
using framing_counts = std::map<framing_fault, std::uint64_t>;

// State shared by all connections of one listener.
struct front_shared
{
    log4cplus::Logger log;
    front_options options;
    request_handler handler;
    // Each connection closes after the next response that leaves no request
    // pending. A request that is sent behind a pending one is not accepted.
    bool draining = false;
    // Connections that stay idle also close, after close_timeout.
    bool stopping = false;
    // Number of connections that are open.
    std::size_t open_connections = 0;
    // Number of exchanges whose responses have not been written and that have
    // not been cancelled.
    std::size_t open_exchanges = 0;
    cut_counts cut;
    memory_counts memory;
    framing_counts framing;
};

using request_parser = http::request_parser<http::string_body>;

class front_connection : public std::enable_shared_from_this<front_connection>
{
public:
    front_connection(tcp::socket connected,
                     std::shared_ptr<front_shared> shared_state);
    ~front_connection();

    front_connection(const front_connection&) = delete;
    front_connection& operator=(const front_connection&) = delete;

    // Starts the coroutines that read requests and write responses.
    void start();

    // Closes the connection and cancels its requests if a time limit is
    // exceeded, or if the caller has closed it while reading is paused. Returns
    // whether the connection is still open.
    bool close_if_ended(time_point now);

    // Returns since when the connection is idle: no part of a request has been
    // received, no response is pending, and the caller has received all that
    // were written. Returns nullopt if it isn't.
    std::optional<time_point> idle_since();

    // Closes the connection immediately if it is idle. Returns whether it did.
    bool close_if_idle(close_reason reason);

    // Returns the number of written responses that the caller has not received.
    std::size_t unreceived_responses();

    // Closes the connection and cancels all pending exchanges. Logs the
    // requests that this cuts off, unless the caller has left.
    void close_and_cancel(close_reason reason);

    // Refuses the next request and closes the connection after that. To be
    // called before start().
    void refuse_request();

    // Returns whether a part of a request has been received that is not yet
    // passed to the handler.
    bool is_receiving() const;

private:
    // What the reading side of the connection does; selects the time limit.
    enum class activity
    {
        idle,
        reading_header,
        reading_body,
        closing
    };

    asio::awaitable<void> read_requests();
    // Reads one request and accepts it. Returns false if none was accepted,
    // also when an error response has been queued.
    asio::awaitable<bool> read_request();
    // Returns why the length of the body is in doubt, once the header has been
    // read.
    std::optional<framing_fault>
    find_framing_fault(const request_parser& parser) const;
    // Reads the header of a request and reserves memory for what is read ahead
    // and for the fields. Fails with no_buffer_space if there is none left.
    asio::awaitable<error_code> read_header(request_parser& parser);
    // Waits until the connection holds little enough to read a request.
    asio::awaitable<void> pause_reading();
    bool must_wait();
    connection_use use() const;
    // Reserves what the connection holds. Returns false if there is no memory.
    bool reserve_held();
    // Charges what the connection holds, also if there is no memory.
    void charge_held();
    // Returns whether the connection may be closed for the memory of others.
    bool may_give_way() const;
    // Closes the connection for the memory of others.
    void give_way();
    // Reads the body and reserves memory for it as it grows. Fails with
    // no_buffer_space if there is none left.
    asio::awaitable<error_code> read_body(request_parser& parser,
                                          memory_reservation& memory);
    asio::awaitable<void> write_responses();
    asio::awaitable<void> read_until_closed();
    // Adds the request to the counters of the listener and calls the handler.
    void accept_request(request_message request, memory_reservation_ptr memory);
    // Queues a response to a request that is not accepted. The connection
    // closes after it.
    void queue_error_response(unsigned status, std::string_view text);
    // Ends the sending side; the caller is expected to close its end then.
    void end_responses();
    // Returns whether a response is pending whose head has not been written, so
    // that it can announce the close of the connection.
    bool can_announce_close() const;
    // Returns whether the caller has received all that was written.
    bool all_received();
    // Returns whether the caller has received too little for write_timeout.
    bool receives_too_slowly(time_point at);
    void start_window(time_point at);
    void set_activity(activity next);
    // Returns which time limit the connection has exceeded, if any.
    std::optional<close_reason> exceeded_limit(time_point at);
    void close(close_reason reason);
    // Logs and counts the requests that a close cuts off now.
    void report_cut(close_reason reason);

    tcp::socket socket;
    std::shared_ptr<front_shared> shared;
    beast::flat_buffer buffer;
    // Memory of the connection without reserved bodies.
    memory_reservation held;
    // Parser of the request that is received.
    std::optional<request_parser> incoming;
    // Whether a field of its header is continued on a second line.
    bool incoming_folded = false;
    // Memory of the request that is received, and of the pending exchanges.
    std::size_t incoming_bytes = 0;
    std::size_t pending_bytes = 0;
    // Bytes of the header or the body that is received.
    std::size_t received = 0;
    // Time at which a part of a response was last written.
    time_point last_write{};
    // Exchanges whose responses have not been written, in request order.
    std::deque<exchange_ptr> pending;
    response_backlog backlog;
    // Timers that never expire: cancelling one wakes the coroutine that waits
    // on it.
    asio::steady_timer writer_signal;
    asio::steady_timer reader_signal;
    const time_point connection_start;
    activity current_activity = activity::idle;
    time_point activity_start;
    bool writing = false;
    // Start of the last write of a response.
    time_point write_start{};
    // Start of the time over which the rate of receipt is checked, and the
    // number of bytes that the caller had received then.
    time_point window_start{};
    std::uint64_t window_received = 0;
    // No further request is accepted from this connection.
    bool last_request_read = false;
    bool refusing = false;
    // Too many requests are pending to read further ones.
    bool reading_paused = false;
    bool open = true;
};

} // namespace parsleyplank::proxy

#endif
