#ifndef PARSLEYPLANK_PROXY_UPSTREAM_CALL_HPP
#define PARSLEYPLANK_PROXY_UPSTREAM_CALL_HPP

// Pooled connections to backend servers, and calls that send one request over
// one of them. A call sends its request at most once and never retries. Not
// thread-safe: used by the traffic thread only.

#include <parsleyplank/proxy/descriptor_pool.hpp>
#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/proxy/response_match.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace parsleyplank::proxy
{

struct upstream_options
{
    milliseconds connect_timeout{1'000};
    // An idle connection is reused only until this long before the idle timeout
    // that the server advertises.
    milliseconds idle_margin{1'000};
    // Maximum idle time of a reused connection if the server advertises no
    // timeout.
    milliseconds default_idle_limit{1'000};
    // Maximum idle time of a connection reused for a request that must not be
    // repeated: a server may close an idle connection unnoticed.
    milliseconds max_idle_unrepeatable{300};
    // Maximum number of idle connections per server.
    std::size_t idle_per_server = 16;
    // Maximum number of idle connections to all servers.
    std::size_t idle_total = 1'024;
    // Maximum size of the header of one response, and of what is read ahead of
    // the parser.
    std::uint32_t max_header_bytes = 16'384;
    std::size_t max_read_ahead_bytes = 65'536;
    // Memory for the bodies of all responses. One response may take half of it.
    std::shared_ptr<memory_budget> bodies =
        std::make_shared<memory_budget>(default_body_bytes);
    // Descriptors that are shared with the connections of callers.
    std::shared_ptr<descriptor_pool> descriptors =
        std::make_shared<descriptor_pool>();
};

// A connection to a backend server with the bytes read ahead from it.
struct upstream_connection
{
    upstream_connection(asio::io_context& io, const upstream_options& options)
        : descriptors(options.descriptors), socket(io),
          buffer(options.max_read_ahead_bytes)
    {
        ++descriptors->servers;
    }

    ~upstream_connection()
    {
        --descriptors->servers;
    }

    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    const std::shared_ptr<descriptor_pool> descriptors;

    tcp::socket socket;
    beast::flat_buffer buffer;
    time_point idle_since{};
    // Maximum time for which the connection may stay idle.
    milliseconds idle_limit{0};
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

class upstream_call;

// Calls in progress, and the time by which they end.
struct call_registry
{
    std::unordered_set<upstream_call*> calls;
    time_point end = time_point::max();
};

// Pool of idle connections, by backend server.
class upstream_pool
{
public:
    upstream_pool(asio::io_context& io, upstream_options options);

    // Removes an idle connection from the pool and returns it, or returns
    // nullptr if there is none that is open, has no unread bytes and is within
    // its idle limit. A request that is not repeatable gets a recently used
    // connection only.
    upstream_connection_ptr take(const backend_server_id& server,
                                 bool repeatable);

    // Returns a connection to the pool. Closes the connection of the server
    // that has been idle longest if the server then has more than
    // idle_per_server, or all servers have more than idle_total.
    void put(const backend_server_id& server,
             upstream_connection_ptr connection);

    // Closes connections that have reached their idle limit, that the server
    // has closed or that have unread bytes.
    void sweep();

    // Returns whether one more connection may be opened. Closes an idle one if
    // that is needed.
    bool make_room();

    // Closes all idle connections to a server.
    void drop(const backend_server_id& server);

    // Lets each call that is in progress or begins later time out by then.
    void end_calls_by(time_point latest);

    asio::io_context& context() const;
    const upstream_options& settings() const;

private:
    friend class upstream_call;

    asio::io_context& io;
    upstream_options options;
    // Shared with the calls, which may outlive the pool.
    const std::shared_ptr<call_registry> registry =
        std::make_shared<call_registry>();
    std::unordered_map<backend_server_id, std::vector<upstream_connection_ptr>>
        idle;
    // Number of idle connections to all servers.
    std::size_t idle_count = 0;
};

// How a call to a backend server ended.
enum class call_outcome
{
    // A complete response to this request has been received.
    answered,
    // No byte of the request has been sent.
    not_sent,
    // As not_sent, because this process has no descriptor or port left. Says
    // nothing about the server.
    no_resources,
    // The request may have been sent in part or whole, but the connection
    // yielded no response to it.
    lost,
    // The deadline passed before the response was complete.
    timed_out,
    // The call was aborted by cancel().
    cancelled
};

std::string_view to_string(call_outcome outcome);

// Why a message that came in place of a response is none.
enum class response_fault
{
    // It names no request.
    no_id,
    // It is a success without the seal.
    no_seal
};

// Returns "no_id" or "no_seal".
std::string_view to_string(response_fault fault);

struct call_result
{
    call_outcome outcome = call_outcome::not_sent;
    response_message response;
    // Memory of the body of the response.
    memory_reservation_ptr memory;
    // Whether the connection came from the pool.
    bool reused = false;
    // Time to connect; empty if no new connection was established.
    std::optional<std::chrono::microseconds> connect_time;
    // Time from the start of the write to the end of the response or the
    // failure.
    std::chrono::microseconds latency{0};
    // Set if the call is lost because of such a message.
    std::optional<response_fault> fault;
    // Reason for a missing response.
    std::string detail;
};

// The response that a call waits for.
struct expected_response
{
    response_marks marks;
    // Id of the request; empty if it has none.
    std::string id;
    time_point deadline;
    // Time for which the call still waits after a message on a reused
    // connection that names no request. The response may be behind it if it
    // belongs to an earlier request.
    milliseconds patience{0};
};

using response_parser = http::response_parser<http::string_body>;

// One request to a backend server.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    upstream_call(upstream_pool& connections, steering::server_ptr server);
    ~upstream_call();

    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;

    // Sends the request and waits for the response until the deadline. A
    // request that is not `repeatable` reuses only recently used connections.
    // `body_owner` keeps the memory of the request's body. Must be called at
    // most once.
    asio::awaitable<call_result> run(request_view request,
                                     std::shared_ptr<const void> body_owner,
                                     bool repeatable,
                                     expected_response expected);

    // Aborts the call by closing its connection, so that the server can stop
    // processing the request.
    void cancel();

    // Lets the call time out by then, if it would last longer.
    void end_by(time_point latest);

private:
    asio::awaitable<bool> connect(call_result& result);
    asio::awaitable<void> read_response(call_result& result,
                                        const expected_response& expected,
                                        bool head);
    asio::awaitable<error_code> read_header(response_parser& parser);
    // Reads the body and reserves memory for it as it grows.
    asio::awaitable<error_code> read_body(response_parser& parser,
                                          memory_reservation& memory);
    // Limits the wait for a response behind one that names no request.
    void limit_wait(const expected_response& expected);
    // Ends the call with the refusal, if the only messages on the connection
    // were such that name no request, or as lost.
    void end_without_response(call_result& result, std::string_view detail,
                              std::optional<response_message> refusal) const;
    memory_reservation_ptr reserve_memory();
    void begin_write();
    // Lets the call end then for this reason, or time out when the pool ends
    // all calls.
    void arm_timer(time_point at,
                   call_outcome reason = call_outcome::timed_out);
    // Closes the connection and records the reason; only the first one counts.
    void interrupt(call_outcome reason);
    // Returns the reason of an interruption, or `otherwise` if there was none.
    call_outcome outcome_or(call_outcome otherwise) const;

    upstream_pool& pool;
    const std::shared_ptr<call_registry> registry;
    steering::server_ptr target;
    upstream_connection_ptr connection;
    request_view message;
    std::shared_ptr<const void> message_body_owner;
    // Parser of the response that is read; null if none is.
    response_parser* reading = nullptr;
    asio::steady_timer timer;
    // Time at which the call ends.
    time_point due = time_point::max();
    // Whether a message that names no request has limited the wait.
    bool wait_limited = false;
    std::optional<call_outcome> interrupted;
    bool write_done = false;
    bool reusable = true;
};

} // namespace parsleyplank::proxy

#endif
