#ifndef PARSLEYPLANK_PROXY_UPSTREAM_CALL_HPP
#define PARSLEYPLANK_PROXY_UPSTREAM_CALL_HPP

// Connections to backend servers, and one request sent over one of them. A
// request is written once and never repeated here. Belongs to the traffic
// thread.

#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <unordered_map>
#include <vector>

namespace parsleyplank::proxy
{

struct upstream_options
{
    milliseconds connect_timeout{1'000};
    // Kept connections are used only this long before the server's own idle
    // timeout ends, and at most this long if it states none.
    milliseconds idle_margin{1'000};
    milliseconds default_idle_limit{1'000};
    // A request that must not be repeated uses only connections that were in
    // use this short a time ago: a server may drop an idle one unseen.
    milliseconds max_idle_unrepeatable{300};
    std::size_t idle_per_server = 16;
    // Bound on one response.
    std::size_t max_response_body_bytes = 64'000'000;
};

struct upstream_connection
{
    explicit upstream_connection(asio::io_context& io) : socket(io)
    {
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    time_point idle_since{};
    // How long the connection may stay idle.
    milliseconds idle_limit{0};
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

// Idle connections by server.
class upstream_pool
{
public:
    upstream_pool(asio::io_context& io, upstream_options options);

    // Returns an idle connection that looks usable, or nullptr.
    upstream_connection_ptr take(const backend_server_id& server,
                                 bool repeatable);

    // Keeps a connection for the next request.
    void put(const backend_server_id& server,
             upstream_connection_ptr connection);

    // Closes connections whose time is over or that the server has closed.
    void sweep();

    // Closes the idle connections of a server.
    void drop(const backend_server_id& server);

    asio::io_context& context() const;
    const upstream_options& settings() const;

private:
    asio::io_context& io;
    upstream_options options;
    std::unordered_map<backend_server_id, std::vector<upstream_connection_ptr>>
        idle;
};

enum class call_outcome
{
    // A complete response to this request has been read.
    answered,
    // No byte of the request has been sent.
    not_sent,
    // Sent at least in part, and the connection ended without the response.
    lost,
    timed_out,
    cancelled
};

std::string_view to_string(call_outcome outcome);

struct call_result
{
    call_outcome outcome = call_outcome::not_sent;
    response_message response;
    bool reused = false;
    std::optional<std::chrono::microseconds> connect_time;
    // Time from the first byte sent to the response.
    std::chrono::microseconds latency{0};
    // Why there is no response.
    std::string detail;
};

// What a response must echo to belong to its request.
struct correlation
{
    std::string header;
    std::string value;
};

class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    upstream_call(upstream_pool& connections, steering::server_ptr server);

    // Sends the request and waits for the response until the deadline. Call
    // once.
    asio::awaitable<call_result> run(request_message request, bool repeatable,
                                     correlation expected, time_point deadline);

    // Ends the call: the connection is closed, so that the server stops.
    void cancel();

private:
    asio::awaitable<bool> connect(call_result& result);
    asio::awaitable<void> read_response(call_result& result,
                                        const correlation& expected, bool head);
    void begin_write();
    void arm_timer(time_point at);
    void interrupt(call_outcome reason);
    call_outcome outcome_or(call_outcome otherwise) const;

    upstream_pool& pool;
    steering::server_ptr target;
    upstream_connection_ptr connection;
    request_message message;
    asio::steady_timer timer;
    std::optional<call_outcome> interrupted;
    bool write_done = false;
    bool reusable = true;
};

} // namespace parsleyplank::proxy

#endif
