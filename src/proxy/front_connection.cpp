#include <parsleyplank/core/socket_queue.hpp>
#include <parsleyplank/proxy/front_connection.hpp>
#include <parsleyplank/proxy/socket_state.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::proxy
{

namespace
{

constexpr std::size_t read_chunk_bytes = 4'096;
// Largest limit on the size of a header that a configuration can set.
constexpr std::size_t max_header_limit_bytes = 1'048'576;
// Maximum size of what is read ahead of the parser.
constexpr std::size_t max_read_ahead_bytes = 65'536;

// Retry-After of a request that is refused because this process lacks memory or
// descriptors: other instances are likely to have some.
constexpr const char* overload_retry_after_s = "0.5";

// Number of bytes of a header after which the memory of its fields is counted
// anew: counting looks at all of them.
constexpr std::size_t counted_header_bytes = 1'024;

// Interval at which a connection with too many unreceived responses is checked:
// nothing tells when the caller has received them.
constexpr milliseconds unreceived_interval{20};

// Returns a completion token that stores the error code instead of throwing it.
auto store_error(error_code& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Returns the HTTP status for a request that can't be parsed, or 0 if no
// response is due because the connection failed or was closed.
unsigned status_of(const error_code& ec)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned too_large = 413;
    constexpr unsigned header_too_large = 431;
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return header_too_large;
    if (ec == http::error::body_limit)
        return too_large;
    if (ec == http::error::end_of_stream || ec == http::error::partial_message)
        return 0;
    const static error_code sample = http::error::bad_method;
    return ec.category() == sample.category() ? bad_request : 0;
}

} // namespace

front_connection::front_connection(tcp::socket connected,
                                   std::shared_ptr<front_shared> shared_state)
    : socket(std::move(connected)), shared(std::move(shared_state)),
      held(
          shared->options.memory, shared->options.memory->limit(),
          [this] { give_way(); }, [this] { return may_give_way(); }),
      writer_signal(socket.get_executor()),
      reader_signal(socket.get_executor()), connection_start(now()),
      activity_start(connection_start)
{
    writer_signal.expires_at(time_point::max());
    reader_signal.expires_at(time_point::max());
    ++shared->open_connections;
    ++shared->options.descriptors->callers;
    charge_held();
}

front_connection::~front_connection()
{
    close(close_reason::exit);
}

void front_connection::start()
{
    const auto self = shared_from_this();
    const auto close_after_failure = [self](const std::exception_ptr& failure)
    {
        if (failure)
            self->close_and_cancel(close_reason::internal_error);
    };
    asio::co_spawn(
        socket.get_executor(), [self] { return self->read_requests(); },
        close_after_failure);
    asio::co_spawn(
        socket.get_executor(), [self] { return self->write_responses(); },
        close_after_failure);
}

void front_connection::set_activity(activity next)
{
    current_activity = next;
    activity_start = now();
    received = 0;
}

void front_connection::close(close_reason reason)
{
    if (!open)
        return;
    open = false;
    if (reason != close_reason::caller_left)
        report_cut(reason);
    // Unread input would reset the connection, and the kernel would drop what
    // the caller has not received.
    if (!backlog.responses.empty())
        discard_unread(socket.native_handle());
    --shared->open_connections;
    --shared->options.descriptors->callers;
    held.keep();
    error_code ec;
    // The error is ignored: the descriptor is released in any case.
    socket.close(ec);
    writer_signal.cancel();
    reader_signal.cancel();
}

void front_connection::report_cut(close_reason reason)
{
    const auto descriptor = socket.native_handle();
    remove_received(backlog, descriptor);
    cut_connection cut{
        reason, descriptor,
        std::chrono::duration_cast<milliseconds>(now() - connection_start),
        shared->draining};
    std::ranges::transform(pending, std::back_inserter(cut.unanswered),
                           [](const exchange_ptr& it)
                           { return it->request_id.substr(0, max_logged_id); });
    std::ranges::transform(backlog.responses,
                           std::back_inserter(cut.unreceived),
                           &written_response::request_id);
    add_cut_off(shared->cut, cut);
    log_cut_off(shared->log, cut);
}

void front_connection::close_and_cancel(close_reason reason)
{
    close(reason);
    const auto waiting = std::exchange(pending, {});
    shared->open_exchanges -= waiting.size();
    for (const auto& it : waiting)
        cancel(*it, reason);
}

bool front_connection::all_received()
{
    if (backlog.responses.empty())
        return true;
    const bool received = remove_received(backlog, socket.native_handle());
    // The time that the caller has to act starts when it has the response.
    if (received)
        activity_start = now();
    return received;
}

bool front_connection::receives_too_slowly(time_point at)
{
    const auto& options = shared->options;
    const std::chrono::duration<double> span = at - window_start;
    if (span <= options.write_timeout)
        return false;
    const auto received =
        received_bytes(backlog, socket.native_handle()) - window_received;
    start_window(at);
    // Small responses over a long path stay below the rate, but none is late.
    const auto oldest = backlog.responses.empty()
                            ? write_start
                            : backlog.responses.front().started;
    return at - oldest > options.write_timeout &&
           static_cast<double>(received) <
               options.min_receive_rate * span.count();
}

void front_connection::start_window(time_point at)
{
    window_start = at;
    window_received = received_bytes(backlog, socket.native_handle());
}

std::optional<close_reason> front_connection::exceeded_limit(time_point at)
{
    const auto& options = shared->options;
    const auto& limits = options.limits;
    const bool received = all_received();
    if ((writing || !received) && receives_too_slowly(at))
        return close_reason::send_timeout;
    const auto age = at - activity_start;
    const bool idle = pending.empty() && !writing && received;
    switch (current_activity)
    {
    case activity::idle:
        // A late event loop may not have read a request that has arrived.
        if (idle && age > limits.idle_timeout && !is_receiving())
            return close_reason::idle_timeout;
        if (idle && shared->stopping && age > options.close_timeout &&
            !is_receiving())
            return close_reason::stop;
        break;
    case activity::reading_header:
        if (idle && age > limits.header_timeout)
            return close_reason::receive_timeout;
        break;
    case activity::reading_body:
        if (age <= limits.idle_timeout)
            break;
        if (idle)
            return close_reason::receive_timeout;
        // The responses to earlier requests are not cut off.
        if (can_announce_close())
            last_request_read = true;
        break;
    case activity::closing:
        if (idle && (age > options.close_timeout ||
                     at - write_start > options.write_timeout))
            return close_reason::close_timeout;
        break;
    }
    return std::nullopt;
}

bool front_connection::close_if_ended(time_point at)
{
    if (!open)
        return false;
    if (const auto reason = exceeded_limit(at))
        close_and_cancel(*reason);
    // No read is in progress that would notice the close.
    else if (reading_paused && is_closed_by_peer(socket))
        close_and_cancel(close_reason::caller_left);
    return open;
}

std::optional<time_point> front_connection::idle_since()
{
    if (!open || current_activity != activity::idle || !pending.empty() ||
        writing || !all_received())
        return std::nullopt;
    return activity_start;
}

bool front_connection::close_if_idle(close_reason reason)
{
    const bool idle = idle_since() && !is_receiving();
    if (idle)
        close(reason);
    return idle;
}

std::size_t front_connection::unreceived_responses()
{
    if (open)
        all_received();
    return open ? backlog.responses.size() : 0;
}

void front_connection::refuse_request()
{
    refusing = true;
}

bool front_connection::is_receiving() const
{
    if (!open || current_activity == activity::closing)
        return false;
    error_code ec;
    return current_activity != activity::idle || socket.available(ec) > 0;
}

void front_connection::accept_request(request_message request,
                                      memory_reservation_ptr memory)
{
    const auto ex = std::make_shared<exchange>();
    ex->connection_start = connection_start;
    ex->received = now();
    ex->request = std::move(request);
    ex->request_memory = std::move(memory);
    ++shared->open_exchanges;
    ex->memory_bytes = std::exchange(incoming_bytes, 0);
    pending_bytes += ex->memory_bytes;
    ex->on_response = [weak = weak_from_this(), added = ex.get()]
    {
        const auto self = weak.lock();
        if (!self || !self->open)
            return;
        const auto bytes = memory_of_response(
            *added->response, added->response_memory != nullptr);
        added->memory_bytes += bytes;
        // A caller that does not read does not keep the memory from others.
        if (added->response_memory)
            added->response_memory->offer(
                [weak]
                {
                    if (const auto holder = weak.lock())
                        holder->give_way();
                },
                [weak]
                {
                    const auto holder = weak.lock();
                    return holder && holder->may_give_way();
                });
        self->pending_bytes += bytes;
        self->charge_held();
        self->writer_signal.cancel();
    };
    pending.push_back(ex);
    shared->handler(ex);
}

void front_connection::queue_error_response(unsigned status,
                                            std::string_view text)
{
    const auto ex = std::make_shared<exchange>();
    ex->response = make_response(status, text);
    if (incoming && incoming->get().method() == http::verb::head)
        ex->request.method(http::verb::head);
    if (status == 503)
        ex->response->set(http::field::retry_after, overload_retry_after_s);
    ++shared->open_exchanges;
    pending.push_back(ex);
    last_request_read = true;
    writer_signal.cancel();
}

void front_connection::end_responses()
{
    set_activity(activity::closing);
    error_code ec;
    // If this fails, the connection has failed and the reader detects it.
    socket.shutdown(tcp::socket::shutdown_send, ec);
}

bool front_connection::can_announce_close() const
{
    return pending.size() > (writing ? 1 : 0);
}

asio::awaitable<bool> front_connection::read_request()
{
    error_code ec;
    if (buffer.size() == 0)
    {
        set_activity(activity::idle);
        const auto n = co_await socket.async_read_some(
            buffer.prepare(read_chunk_bytes), store_error(ec));
        if (ec)
            co_return false;
        buffer.commit(n);
    }
    if (last_request_read)
        co_return false;
    set_activity(activity::reading_header);
    auto& parser = incoming.emplace();
    const auto& options = shared->options;
    parser.header_limit(static_cast<std::uint32_t>(
        std::min(options.limits.max_header_bytes, max_header_limit_bytes)));
    parser.body_limit(options.limits.max_body_bytes);
    // Bounds what the parser needs at once, such as a chunk extension.
    buffer.max_size(
        std::min(options.limits.max_header_bytes, max_header_limit_bytes) +
        max_read_ahead_bytes);
    ec = co_await read_header(parser);
    if (last_request_read || !open)
        co_return false;
    if (ec == asio::error::no_buffer_space)
    {
        ++shared->memory.refused_headers;
        queue_error_response(503, "no memory for the request");
        co_return false;
    }
    if (!ec && refusing)
    {
        queue_error_response(503, "too many connections");
        co_return false;
    }
    if (const auto fault = ec ? std::nullopt : find_framing_fault(parser))
    {
        ++shared->framing[*fault];
        queue_error_response(status_of(*fault), to_string(*fault));
        co_return false;
    }
    const auto memory = std::make_shared<memory_reservation>(
        options.bodies, options.bodies->limit() / 2, [this] { give_way(); },
        [this] { return may_give_way(); });
    if (!ec && !memory->resize(parser.content_length().value_or(0)))
        ec = asio::error::no_buffer_space;
    if (!ec && !parser.is_done())
    {
        set_activity(activity::reading_body);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
            pending.empty())
        {
            static const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
            backlog.written += co_await asio::async_write(
                socket, asio::buffer(proceed), store_error(ec));
        }
        if (!ec)
            ec = co_await read_body(parser, *memory);
    }
    memory->keep();
    if (!open)
        co_return false;
    if (ec == asio::error::no_buffer_space)
    {
        ++shared->memory.refused_bodies;
        queue_error_response(503, "no memory for the request body");
        co_return false;
    }
    if (ec)
    {
        if (const auto status = status_of(ec); status != 0)
            queue_error_response(status, ec.message());
        co_return false;
    }
    // A request may have waited unread for longer than its caller did.
    if (last_request_read || is_closed_by_peer(socket))
        co_return false;
    // A caller that always has a request under way would otherwise be served
    // until the process exits. This one counts as not read once the last
    // pending response has closed the connection.
    if (shared->draining && can_announce_close())
    {
        last_request_read = true;
        co_return false;
    }
    last_request_read = !parser.keep_alive();
    set_activity(activity::idle);
    accept_request(parser.release(), memory);
    co_return true;
}

std::optional<framing_fault>
front_connection::find_framing_fault(const request_parser& parser) const
{
    if (incoming_folded)
        return framing_fault::folded_field;
    return fault_of(request_length(parser.get()));
}

asio::awaitable<error_code>
front_connection::read_header(request_parser& parser)
{
    error_code ec;
    fold_detector folds;
    // The parser decodes each field as soon as its line is complete.
    std::size_t parsed = 0;
    while (!parser.is_header_done())
    {
        const auto n_parsed = parser.put(buffer.data(), ec);
        incoming_folded = folds.add(
            {static_cast<const char*>(buffer.data().data()), n_parsed});
        buffer.consume(n_parsed);
        parsed += n_parsed;
        if (parsed >= counted_header_bytes)
        {
            parsed = 0;
            incoming_bytes = memory_of_request(parser.get());
        }
        if (ec != http::error::need_more)
            break;
        ec = {};
        const auto room = std::min(
            buffer.max_size() - buffer.size(),
            std::max(buffer.capacity() - buffer.size(), read_chunk_bytes));
        if (room == 0)
            co_return http::error::buffer_overflow;
        const auto n = co_await socket.async_read_some(buffer.prepare(room),
                                                       store_error(ec));
        if (ec)
            co_return ec;
        buffer.commit(n);
        received += n;
        if (!reserve_held())
            co_return asio::error::no_buffer_space;
    }
    if (ec)
        co_return ec;
    incoming_bytes = memory_of_request(parser.get());
    co_return reserve_held() ? error_code() : asio::error::no_buffer_space;
}

asio::awaitable<error_code>
front_connection::read_body(request_parser& parser, memory_reservation& memory)
{
    error_code ec;
    while (!ec && !parser.is_done())
    {
        if (!reserve_room(parser.get().body(), buffer.capacity(), memory) ||
            !reserve_held())
            ec = asio::error::no_buffer_space;
        else
            received += co_await http::async_read_some(socket, buffer, parser,
                                                       store_error(ec));
    }
    // Connections stay open for long; large buffers do not stay with them.
    if (buffer.size() == 0)
        buffer.shrink_to_fit();
    co_return ec;
}

asio::awaitable<void> front_connection::read_requests()
{
    const auto self = shared_from_this();
    while (open && !last_request_read)
    {
        const bool accepted = co_await read_request();
        incoming.reset();
        incoming_bytes = 0;
        if (!accepted)
            break;
        co_await pause_reading();
    }
    if (open && last_request_read)
        co_await read_until_closed();
    if (open)
        close_and_cancel(close_reason::caller_left);
}

bool front_connection::must_wait()
{
    if (pending.size() >= shared->options.max_pipelined_requests)
        return true;
    const auto& options = shared->options.memory_options;
    if (!must_pause(use(), options))
        return false;
    // The responses are removed from the record only now and then.
    all_received();
    return must_pause(use(), options);
}

asio::awaitable<void> front_connection::pause_reading()
{
    bool counted = false;
    while (open && must_wait())
    {
        if (!counted && pending.size() < shared->options.max_pipelined_requests)
        {
            ++shared->memory.paused;
            counted = true;
        }
        error_code ec;
        reading_paused = true;
        reader_signal.expires_at(pending.empty() ? now() + unreceived_interval
                                                 : time_point::max());
        co_await reader_signal.async_wait(store_error(ec));
    }
    reading_paused = false;
}

connection_use front_connection::use() const
{
    return {buffer.capacity(), incoming_bytes, pending_bytes,
            backlog.responses.size()};
}

bool front_connection::reserve_held()
{
    const auto bytes = memory_of(use());
    const auto& options = shared->options;
    return open &&
           held.resize_within(bytes, limit_for(bytes, options.memory->limit(),
                                               options.memory_options));
}

void front_connection::charge_held()
{
    if (open)
        held.charge(memory_of(use()));
}

bool front_connection::may_give_way() const
{
    const auto since = [at = now()](time_point from)
    {
        return std::chrono::duration_cast<milliseconds>(at - from);
    };
    const bool receives = current_activity == activity::reading_header ||
                          current_activity == activity::reading_body;
    const caller_progress progress{receives && pending.empty(),
                                   since(activity_start), received, writing,
                                   since(last_write)};
    return open && may_close(progress, shared->options.memory_options);
}

void front_connection::give_way()
{
    ++shared->memory.closed;
    // The reading coroutine ends only later, and those who need the memory take
    // it now.
    if (incoming)
    {
        incoming->get().clear();
        incoming->get().body() = std::string();
    }
    close_and_cancel(close_reason::memory);
}

// Reads and discards data until the caller closes the connection. This detects
// a disconnect and prevents a TCP reset, which unread data would cause on
// close, before the caller has received its response.
asio::awaitable<void> front_connection::read_until_closed()
{
    set_activity(activity::closing);
    error_code ec;
    while (open && !ec)
    {
        buffer.clear();
        buffer.shrink_to_fit();
        charge_held();
        co_await socket.async_read_some(buffer.prepare(read_chunk_bytes),
                                        store_error(ec));
        // A caller that still sends may not have read the last response.
        activity_start = now();
    }
}

asio::awaitable<void> front_connection::write_responses()
{
    const auto self = shared_from_this();
    while (open)
    {
        if (pending.empty() || !pending.front()->response)
        {
            error_code ec;
            writer_signal.expires_at(time_point::max());
            co_await writer_signal.async_wait(store_error(ec));
            continue;
        }
        const auto ex = pending.front();
        // Only the last pending response may close the connection: later ones
        // would be lost although their requests may have been executed.
        if (shared->draining && pending.size() == 1)
            last_request_read = true;
        const bool last = last_request_read && pending.size() == 1;
        auto& response = *ex->response;
        finish_response(response, ex->request.method(), !last);
        write_start = now();
        last_write = write_start;
        if (all_received())
            start_window(write_start);
        writing = true;
        error_code ec;
        http::response_serializer<http::string_body> serializer(response);
        while (!ec && !serializer.is_done())
        {
            const auto n = co_await http::async_write_some(socket, serializer,
                                                           store_error(ec));
            backlog.written += n;
            last_write = now();
        }
        writing = false;
        if (!open)
            co_return;
        add_response(backlog, socket.native_handle(), ex->request_id,
                     write_start);
        pending.pop_front();
        pending_bytes -= ex->memory_bytes;
        charge_held();
        --shared->open_exchanges;
        reader_signal.cancel();
        activity_start = now();
        if (ec)
        {
            close_and_cancel(close_reason::caller_left);
            co_return;
        }
        if (last)
        {
            end_responses();
            co_return;
        }
    }
}

} // namespace parsleyplank::proxy
