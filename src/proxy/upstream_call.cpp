#include <parsleyplank/proxy/message_length.hpp>
#include <parsleyplank/proxy/socket_state.hpp>
#include <parsleyplank/proxy/upstream_call.hpp>

#include <algorithm>
#include <charconv>

namespace parsleyplank::proxy
{

namespace
{

// Maximum number of responses that are skipped because they belong to another
// request, and because they are informational. After one more, the call counts
// as lost.
constexpr int max_stray_responses = 3;
constexpr int max_informational_responses = 8;

// Capacity of the buffer of a connection, and while it reads a long body: each
// read takes at most what the buffer has room for.
constexpr std::size_t read_buffer_bytes = 4'096;
constexpr std::size_t body_read_buffer_bytes = 32'768;

// Returns a completion token that stores the error code instead of throwing it.
auto store_error(error_code& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Covers the statuses that the HTTP library does not know, such as 103.
bool is_informational(unsigned status)
{
    return status / 100 == 1;
}

// Returns whether a response with this status is one; others are bytes of a
// faulty server.
bool is_known_status(unsigned status)
{
    return status >= 100 && status < 600;
}

std::chrono::microseconds elapsed_since(time_point from)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now() - from);
}

void close(upstream_connection& connection)
{
    error_code ec;
    connection.socket.close(ec);
}

// Returns the idle timeout that the Keep-Alive header of the response
// advertises, or nullopt if there is none.
std::optional<milliseconds> advertised_idle_timeout(const http::fields& fields)
{
    const auto text = header_value(fields, "Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(at + name.size());
    std::int64_t seconds = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

std::string_view to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::not_sent:
        return "not_sent";
    case call_outcome::no_resources:
        return "no_resources";
    case call_outcome::lost:
        return "lost";
    case call_outcome::timed_out:
        return "timed_out";
    case call_outcome::cancelled:
        break;
    }
    return "cancelled";
}

std::string_view to_string(response_fault fault)
{
    return fault == response_fault::no_id ? "no_id" : "no_seal";
}

upstream_pool::upstream_pool(asio::io_context& context,
                             upstream_options pool_options)
    : io(context), options(std::move(pool_options))
{
}

asio::io_context& upstream_pool::context() const
{
    return io;
}

const upstream_options& upstream_pool::settings() const
{
    return options;
}

upstream_connection_ptr upstream_pool::take(const backend_server_id& server,
                                            bool repeatable)
{
    auto& idle_connections = idle[server];
    while (!idle_connections.empty())
    {
        auto connection = idle_connections.back();
        const auto age = now() - connection->idle_since;
        if (!repeatable && age > options.max_idle_unrepeatable)
            return nullptr;
        idle_connections.pop_back();
        --idle_count;
        if (age < connection->idle_limit &&
            is_open_and_drained(connection->socket))
            return connection;
        close(*connection);
    }
    return nullptr;
}

void upstream_pool::put(const backend_server_id& server,
                        upstream_connection_ptr connection)
{
    auto& idle_connections = idle[server];
    connection->idle_since = now();
    // A connection that has carried a long body does not keep its buffer.
    if (connection->buffer.capacity() > read_buffer_bytes)
        connection->buffer.shrink_to_fit();
    idle_connections.push_back(std::move(connection));
    ++idle_count;
    if (idle_connections.size() > options.idle_per_server ||
        idle_count > options.idle_total)
    {
        close(*idle_connections.front());
        idle_connections.erase(idle_connections.begin());
        --idle_count;
    }
}

void upstream_pool::sweep()
{
    const auto at = now();
    for (auto& [server, idle_connections] : idle)
        idle_count -=
            std::erase_if(idle_connections,
                          [&](const upstream_connection_ptr& it)
                          {
                              return at - it->idle_since >= it->idle_limit ||
                                     !is_open_and_drained(it->socket);
                          });
    std::erase_if(idle, [](const auto& it) { return it.second.empty(); });
}

bool upstream_pool::make_room()
{
    if (may_open_server(*options.descriptors))
        return true;
    const auto found = std::ranges::find_if(idle, [](const auto& it)
                                            { return !it.second.empty(); });
    if (found == idle.end())
        return false;
    found->second.erase(found->second.begin());
    --idle_count;
    return may_open_server(*options.descriptors);
}

void upstream_pool::drop(const backend_server_id& server)
{
    const auto it = idle.find(server);
    if (it == idle.end())
        return;
    idle_count -= it->second.size();
    idle.erase(it);
}

void upstream_pool::end_calls_by(time_point latest)
{
    registry->end = latest;
    std::ranges::for_each(registry->calls,
                          [&](upstream_call* it) { it->end_by(latest); });
}

upstream_call::upstream_call(upstream_pool& connections,
                             steering::server_ptr server)
    : pool(connections), registry(connections.registry),
      target(std::move(server)), timer(connections.context())
{
    registry->calls.insert(this);
}

upstream_call::~upstream_call()
{
    registry->calls.erase(this);
}

void upstream_call::cancel()
{
    interrupt(call_outcome::cancelled);
}

void upstream_call::end_by(time_point latest)
{
    if (latest < due)
        arm_timer(latest);
}

void upstream_call::interrupt(call_outcome reason)
{
    if (interrupted)
        return;
    interrupted = reason;
    if (connection)
        close(*connection);
}

call_outcome upstream_call::outcome_or(call_outcome otherwise) const
{
    return interrupted.value_or(otherwise);
}

void upstream_call::arm_timer(time_point at, call_outcome reason)
{
    if (registry->end < at)
        reason = call_outcome::timed_out;
    due = std::min(at, registry->end);
    timer.expires_at(due);
    timer.async_wait(
        [weak = weak_from_this(), reason](const error_code& ec)
        {
            const auto self = weak.lock();
            if (!ec && self)
                self->interrupt(reason);
        });
}

asio::awaitable<bool> upstream_call::connect(call_result& result)
{
    const auto began = now();
    if (!pool.make_room())
    {
        result.outcome = call_outcome::no_resources;
        result.detail = "connect: no descriptor left for servers";
        co_return false;
    }
    connection =
        std::make_shared<upstream_connection>(pool.context(), pool.settings());
    error_code ec;
    const tcp::endpoint remote_endpoint(
        asio::ip::make_address(target->endpoint.address, ec),
        target->endpoint.port);
    if (!ec)
        co_await connection->socket.async_connect(remote_endpoint,
                                                  store_error(ec));
    if (ec || interrupted)
    {
        result.outcome = interrupted == call_outcome::cancelled
                             ? call_outcome::cancelled
                         : lacks_resources(ec) ? call_outcome::no_resources
                                               : call_outcome::not_sent;
        result.detail = "connect: " + ec.message();
        co_return false;
    }
    connection->socket.set_option(tcp::no_delay(true), ec);
    result.connect_time = elapsed_since(began);
    co_return true;
}

// Starts an asynchronous write and does not wait for it, because a server may
// respond before it has read the whole body.
void upstream_call::begin_write()
{
    http::async_write(
        connection->socket, message,
        [self = shared_from_this()](const error_code& ec, std::size_t)
        { self->write_done = !ec; });
}

memory_reservation_ptr upstream_call::reserve_memory()
{
    const auto& bodies = pool.settings().bodies;
    return std::make_shared<memory_reservation>(
        bodies, bodies->limit(),
        [weak = weak_from_this()]
        {
            const auto self = weak.lock();
            if (!self)
                return;
            self->interrupt(call_outcome::lost);
            // The call ends only later, and others take the memory now.
            if (self->reading != nullptr)
                self->reading->get().body() = std::string();
        });
}

asio::awaitable<error_code> upstream_call::read_header(response_parser& parser)
{
    connection->buffer.reserve(read_buffer_bytes);
    error_code ec;
    co_await http::async_read_header(connection->socket, connection->buffer,
                                     parser, store_error(ec));
    if (!ec && !is_known_status(parser.get().result_int()))
        ec = http::error::bad_status;
    if (!ec && fault_of(response_length(parser.get(), message.method())))
        ec = http::error::bad_transfer_encoding;
    co_return ec;
}

asio::awaitable<error_code> upstream_call::read_body(response_parser& parser,
                                                     memory_reservation& memory)
{
    auto& socket = connection->socket;
    auto& buffer = connection->buffer;
    error_code ec;
    const auto length = parser.content_length();
    if (length && *length > read_buffer_bytes)
        buffer.reserve(body_read_buffer_bytes);
    while (!ec && !interrupted && !parser.is_done())
    {
        auto& body = parser.get().body();
        if (body.size() > body_read_buffer_bytes)
            buffer.reserve(body_read_buffer_bytes);
        if (!reserve_room(body, buffer.capacity(), memory))
            ec = asio::error::no_buffer_space;
        else
            co_await http::async_read_some(socket, buffer, parser,
                                           store_error(ec));
    }
    if (!ec && parser.need_eof() && was_reset(socket))
        ec = asio::error::connection_reset;
    co_return ec;
}

void upstream_call::limit_wait(const expected_response& expected)
{
    if (std::exchange(wait_limited, true))
        return;
    const auto latest = now() + expected.patience;
    if (latest < due)
        arm_timer(latest, call_outcome::lost);
}

void upstream_call::end_without_response(
    call_result& result, std::string_view detail,
    std::optional<response_message> refusal) const
{
    result.outcome = outcome_or(call_outcome::lost);
    result.detail = detail;
    if (!wait_limited || result.outcome != call_outcome::lost)
        return;
    if (refusal)
    {
        result.outcome = call_outcome::answered;
        result.response = std::move(*refusal);
        return;
    }
    result.fault = response_fault::no_id;
    result.detail = "read: a message without the id of the request, then " +
                    std::string(detail);
}

asio::awaitable<void>
upstream_call::read_response(call_result& result,
                             const expected_response& expected, bool head)
{
    int strays = 0;
    int informational = 0;
    // Refusal that names no request, to be returned if no response follows it.
    std::optional<response_message> refusal;
    while (strays <= max_stray_responses &&
           informational <= max_informational_responses)
    {
        response_parser parser;
        parser.header_limit(pool.settings().max_header_bytes);
        parser.body_limit(pool.settings().bodies->limit() / 2);
        parser.skip(head);
        const auto memory = reserve_memory();
        reading = &parser;
        auto match = response_match::answer;
        auto ec = co_await read_header(parser);
        const bool is_final =
            !ec && !is_informational(parser.get().result_int());
        if (is_final)
            match = match_response(parser.get(), expected.marks, expected.id,
                                   !result.reused && strays == 0);
        // Nothing that follows can be the response.
        if (match == response_match::no_seal ||
            (match == response_match::no_id && !result.reused))
        {
            reading = nullptr;
            result.outcome = outcome_or(call_outcome::lost);
            result.fault = match == response_match::no_seal
                               ? response_fault::no_seal
                               : response_fault::no_id;
            result.detail = match == response_match::no_seal
                                ? "read: a success without the seal"
                                : "read: a message without the id of the "
                                  "request";
            co_return;
        }
        if (match == response_match::no_id)
            limit_wait(expected);
        if (!ec)
            ec = co_await read_body(parser, *memory);
        reading = nullptr;
        if (ec || interrupted)
        {
            end_without_response(
                result,
                "read: " + (ec ? ec.message() : "memory of the body reclaimed"),
                std::move(refusal));
            co_return;
        }
        reusable = reusable && parser.keep_alive() && !parser.get().need_eof();
        auto response = parser.release();
        if (!is_final)
        {
            ++informational;
            continue;
        }
        if (match == response_match::answer)
        {
            memory->keep();
            result.outcome = call_outcome::answered;
            result.response = std::move(response);
            result.memory = memory;
            co_return;
        }
        if (match == response_match::no_id &&
            is_refusal(response, expected.marks))
        {
            response.body().clear();
            refusal = std::move(response);
        }
        reusable = false;
        ++strays;
    }
    end_without_response(result,
                         strays > max_stray_responses
                             ? "only responses to other requests"
                             : "only informational responses",
                         std::move(refusal));
}

asio::awaitable<call_result>
upstream_call::run(request_view request, std::shared_ptr<const void> body_owner,
                   bool repeatable, expected_response expected)
{
    const auto self = shared_from_this();
    call_result result;
    message = std::move(request);
    message_body_owner = std::move(body_owner);
    if (interrupted)
    {
        result.outcome = call_outcome::cancelled;
        co_return result;
    }
    connection = pool.take(target->id, repeatable);
    result.reused = connection != nullptr;
    if (!connection)
    {
        arm_timer(std::min(expected.deadline,
                           now() + pool.settings().connect_timeout));
        if (!co_await connect(result))
            co_return result;
    }
    arm_timer(expected.deadline);
    const auto began = now();
    begin_write();
    co_await read_response(result, expected,
                           message.method() == http::verb::head);
    timer.cancel();
    // The connection may soon serve another call.
    due = time_point::min();
    result.latency = elapsed_since(began);
    const bool return_to_pool = result.outcome == call_outcome::answered &&
                                reusable && write_done &&
                                connection->buffer.size() == 0;
    if (!return_to_pool)
    {
        close(*connection);
        co_return result;
    }
    const auto& options = pool.settings();
    const auto advertised = advertised_idle_timeout(result.response);
    connection->idle_limit = advertised ? *advertised - options.idle_margin
                                        : options.default_idle_limit;
    if (connection->idle_limit > milliseconds(0))
        pool.put(target->id, connection);
    co_return result;
}

} // namespace parsleyplank::proxy
