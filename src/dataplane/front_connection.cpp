#include <parsleyplank/core/socket_queue.hpp>
#include <parsleyplank/dataplane/front_connection.hpp>
#include <parsleyplank/dataplane/responder_state.hpp>
#include <parsleyplank/dataplane/response_text.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyplank::dataplane
{

namespace
{

// A body that arrives or leaves slower than this gives its memory back.
constexpr std::uint64_t least_rate = 16'384; // bytes per second

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Part of the memory of all bodies, given back on destruction.
class memory_part
{
public:
    memory_part(std::shared_ptr<front_core> shared_core, std::size_t n)
        : core(std::move(shared_core)), bytes(n)
    {
    }

    ~memory_part()
    {
        core->body_bytes -= bytes;
    }

    memory_part(const memory_part&) = delete;
    memory_part& operator=(const memory_part&) = delete;

private:
    std::shared_ptr<front_core> core;
    std::size_t bytes;
};

std::shared_ptr<void> reserve_memory(const std::shared_ptr<front_core>& core,
                                     std::size_t bytes)
{
    const auto before = core->body_bytes.fetch_add(bytes);
    if (before + bytes <= core->options.max_body_memory)
        return std::make_shared<memory_part>(core, bytes);
    core->body_bytes -= bytes;
    return nullptr;
}

std::optional<close_reason> limit_if(bool exceeded, close_reason reason)
{
    return exceeded ? std::optional(reason) : std::nullopt;
}

outbound_response make_rejection(int status, const std::string& text)
{
    auto response =
        make_refusal(refusal_reason::bad_request, run_outcome::not_run);
    response.status = status;
    response.body = text + "\n";
    return response;
}

} // namespace

void add_to(front_core& core, std::size_t front_core::*counter, int n)
{
    const std::lock_guard lock(core.mutex);
    core.*counter += n;
    // Only stop() waits for these counters.
    if (core.stopping)
        core.changed.notify_all();
}

front_connection::front_connection(
    std::shared_ptr<front_core> shared_core,
    const std::shared_ptr<Pistache::Tcp::Peer>& its_peer,
    Pistache::Tcp::Transport* its_transport)
    : core(std::move(shared_core)), peer(its_peer), transport(its_transport),
      fd(its_peer->fd()), connection_start(now()),
      phase_start(connection_start), last_input(connection_start)
{
}

void front_connection::take_input(std::string_view data)
{
    bool complete_request = false;
    std::optional<queued_write> refusal;
    {
        const std::lock_guard lock(mutex);
        last_input = now();
        complete_request = read_request(data);
        if (complete_request)
            now_in = phase::outstanding;
        refusal.swap(refusal_sent);
    }
    // Both take the lock again.
    if (refusal)
        await_write(std::move(*refusal));
    if (complete_request)
        dispatch();
}

// Reads up to the end of one request. Returns whether it is complete.
bool front_connection::read_request(std::string_view data)
{
    bool complete_request = false;
    while (!data.empty() && now_in != phase::finished && !has_ended && !closed)
    {
        if (now_in == phase::outstanding || complete_request)
        {
            // A request before the response to the last one. Its response could
            // overtake the other, so the connection ends after that.
            if (!close_after)
                ++core->early_requests;
            close_after = true;
            break;
        }
        if (now_in == phase::body)
            take_body(data);
        else
            take_head(data);
        complete_request = now_in == phase::body && body_left == 0;
    }
    return complete_request;
}

void front_connection::take_head(std::string_view& data)
{
    if (now_in == phase::idle)
    {
        // Empty lines between requests are allowed.
        while (!data.empty() && (data.front() == '\r' || data.front() == '\n'))
            data.remove_prefix(1);
        if (data.empty())
            return;
        now_in = phase::head;
        phase_start = last_input;
        line_checked = false;
    }
    const auto old_size = buffer.size();
    buffer += data;
    try
    {
        const auto line_end = buffer.find("\r\n");
        if (!line_checked && line_end != std::string::npos)
        {
            check_request_line(std::string_view(buffer).substr(0, line_end));
            line_checked = true;
        }
        const auto from = old_size < 3 ? 0 : old_size - 3;
        const auto end = buffer.find("\r\n\r\n", from);
        if (std::min(end, buffer.size()) > core->options.max_head_bytes)
            throw bad_head(431, "request head too large");
        if (end == std::string::npos)
        {
            data = {};
            return;
        }
        data.remove_prefix(end + 4 - old_size);
        start_body(end);
    }
    catch (const bad_head& ec)
    {
        data = {};
        refuse(ec.status, ec.what());
    }
}

void front_connection::start_body(std::size_t head_size)
{
    auto head =
        parse_request_head(std::string_view(buffer).substr(0, head_size));
    buffer.clear();
    if (head.content_length > core->options.max_body_bytes)
        throw bad_head(413, "request body too large");
    request = {};
    if (head.content_length > 0)
    {
        request.body_memory = reserve_memory(core, head.content_length);
        if (!request.body_memory)
        {
            ++core->body_memory_refusals;
            refuse(make_refusal(refusal_reason::body_memory,
                                run_outcome::not_run));
            return;
        }
        request.body.reserve(head.content_length);
    }
    if (head.expects_continue && head.content_length > 0)
    {
        const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
        transport->asyncWrite(fd, Pistache::RawBuffer(text, text.size()));
    }
    wants_body = head.method != "HEAD";
    request.method = std::move(head.method);
    request.path = std::move(head.path);
    request.query = std::move(head.query);
    request.headers = std::move(head.headers);
    close_after = !head.keep_alive;
    body_left = head.content_length;
    body_limit = last_input + core->options.body_timeout +
                 std::chrono::seconds(body_left / least_rate);
    now_in = phase::body;
}

void front_connection::take_body(std::string_view& data)
{
    const auto n = std::min<std::uint64_t>(body_left, data.size());
    request.body += data.substr(0, n);
    body_left -= n;
    data.remove_prefix(n);
}

void front_connection::refuse(int status, const std::string& text)
{
    ++core->bad_requests;
    refuse(make_rejection(status, text));
}

void front_connection::refuse(const outbound_response& response)
{
    now_in = phase::finished;
    phase_start = last_input;
    buffer.clear();
    request = {};
    refusal_sent.emplace(write(response, true));
}

void front_connection::dispatch()
{
    inbound_request taken;
    {
        const std::lock_guard lock(mutex);
        if (has_ended)
            return;
        taken = std::exchange(request, {});
    }
    if (const auto it = peer.lock())
        taken.peer_address = it->address().host();
    taken.arrival = now();
    ++core->requests;
    add_to(*core, &front_core::outstanding, 1);
    const responder answer(
        std::make_shared<responder::state>(core, shared_from_this()));
    if (core->stopping)
    {
        answer.complete(
            make_refusal(refusal_reason::draining, run_outcome::not_run));
        return;
    }
    try
    {
        core->handler(std::move(taken), answer);
    }
    catch (const std::exception& ec)
    {
        auto logger = component_logger("front");
        LOG4CPLUS_ERROR(logger, "Request handler failed: " << ec.what());
        answer.complete(make_unanswered());
    }
}

bool front_connection::complete(const outbound_response& response)
{
    std::unique_lock lock(mutex);
    if (has_ended || closed || now_in != phase::outstanding)
        return false;
    const bool close = close_after || core->draining || core->stopping;
    auto sent = write(response, close);
    now_in = close ? phase::finished : phase::idle;
    phase_start = now();
    // The promise may call back at once, and the callback takes the lock.
    lock.unlock();
    await_write(std::move(sent));
    return true;
}

front_connection::queued_write
front_connection::write(const outbound_response& response, bool close)
{
    auto text = format_response(response, close, wants_body);
    const auto size = text.size();
    const auto begin = now();
    const auto earliest = begin + core->options.write_timeout;
    // Time that fast callers left unused is not added up.
    write_limit =
        (all_received(begin) ? earliest : std::max(write_limit, earliest)) +
        std::chrono::seconds(size / least_rate);
    queued.push_back(std::exchange(request_id, {}));
    return {
        transport->asyncWrite(fd, Pistache::RawBuffer(std::move(text), size)),
        size, close};
}

void front_connection::await_write(queued_write response)
{
    response.sent.then([self = shared_from_this(), bytes = response.bytes,
                        close = response.close](ssize_t)
                       { self->end_write(bytes, close); },
                       Pistache::Async::IgnoreException);
}

void front_connection::end_write(std::size_t bytes, bool close)
{
    const std::lock_guard lock(mutex);
    if (has_ended || closed)
        return;
    add_response(backlog, fd, std::move(queued.front()), bytes);
    queued.pop_front();
    // The time that the caller gets to close starts here.
    if (now_in == phase::finished)
        phase_start = now();
    // Only the sending side: closing both while the caller still sends would
    // reset the connection before the caller has read the response.
    if (close)
        ::shutdown(fd, SHUT_WR);
}

void front_connection::name_request(const std::string& id)
{
    const std::lock_guard lock(mutex);
    request_id = id.substr(0, max_logged_id);
}

void front_connection::check_timeouts(time_point now)
{
    const std::lock_guard lock(mutex);
    if (has_ended || closed)
        return;
    const auto reason = exceeded_limit(now);
    if (!reason)
        return;
    ++core->timeouts;
    close_locked(*reason);
}

bool front_connection::all_received(time_point now)
{
    if (!queued.empty())
        return false;
    if (backlog.responses.empty())
        return true;
    // The time that the caller has to act starts when it has the response.
    const bool received = remove_received(backlog, fd);
    if (received)
        phase_start = now;
    return received;
}

time_point front_connection::finished_since() const
{
    return std::max(phase_start, last_input);
}

std::optional<close_reason> front_connection::exceeded_limit(time_point now)
{
    const auto& options = core->options;
    if (!all_received(now))
        return limit_if(now > write_limit, close_reason::send_timeout);
    const auto age = now - phase_start;
    switch (now_in)
    {
    case phase::idle:
        return limit_if(age > options.idle_timeout && unread_bytes(fd) == 0,
                        close_reason::idle_timeout);
    case phase::head:
        return limit_if(age > options.head_timeout,
                        close_reason::receive_timeout);
    case phase::body:
        return limit_if(now - last_input > options.body_timeout ||
                            now > body_limit,
                        close_reason::receive_timeout);
    case phase::outstanding:
        break;
    case phase::finished:
        return limit_if(now - finished_since() > options.write_timeout ||
                            now > write_limit + options.write_timeout,
                        close_reason::close_timeout);
    }
    return std::nullopt;
}

bool front_connection::is_settled_locked(time_point now)
{
    if (has_ended || closed)
        return true;
    if (!all_received(now))
        return false;
    if (now_in == phase::finished)
        return now - finished_since() > core->options.close_timeout;
    return now_in == phase::idle && unread_bytes(fd) == 0;
}

bool front_connection::is_settled(time_point now)
{
    const std::lock_guard lock(mutex);
    return is_settled_locked(now);
}

void front_connection::close_if_settled(time_point now)
{
    const std::lock_guard lock(mutex);
    if (!has_ended && !closed && is_settled_locked(now))
        close_locked(close_reason::stop);
}

void front_connection::close(close_reason reason)
{
    const std::lock_guard lock(mutex);
    if (!has_ended && !closed)
        close_locked(reason);
}

void front_connection::close_locked(close_reason reason)
{
    closed = true;
    report_cut(reason);
    // Unread input would reset the connection, and the kernel would drop what
    // the caller has not received.
    if (!backlog.responses.empty())
        discard_unread(fd);
    ::shutdown(fd, SHUT_RDWR);
}

void front_connection::report_cut(close_reason reason)
{
    remove_received(backlog, fd);
    cut_connection cut{
        reason, fd,
        std::chrono::duration_cast<milliseconds>(now() - connection_start),
        core->draining};
    cut.unanswered.assign(queued.begin(), queued.end());
    if (now_in == phase::outstanding)
        cut.unanswered.push_back(request_id);
    std::ranges::transform(backlog.responses,
                           std::back_inserter(cut.unreceived),
                           &written_response::request_id);
    log_cut_off(component_logger("front"), cut);
    const std::lock_guard lock(core->mutex);
    add_cut_off(core->cut, cut);
}

void front_connection::mark_ended()
{
    const std::lock_guard lock(mutex);
    has_ended = true;
    queued.clear();
    request = {};
    buffer = {};
}

bool front_connection::ended() const
{
    const std::lock_guard lock(mutex);
    return has_ended || closed;
}

} // namespace parsleyplank::dataplane
