#include <parsleyplank/core/log.hpp>
#include <parsleyplank/dataplane/front_connection.hpp>
#include <parsleyplank/dataplane/responder_state.hpp>
#include <parsleyplank/dataplane/response_text.hpp>

#include <sys/socket.h>

#include <algorithm>
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
      fd(its_peer->fd()), phase_start(now()), last_input(phase_start)
{
}

void front_connection::take_input(std::string_view data)
{
    bool complete_request = false;
    std::optional<write_promise> refusal;
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
        await_write(std::move(*refusal), true);
    if (complete_request)
        dispatch();
}

// Reads up to the end of one request. Returns whether it is complete.
bool front_connection::read_request(std::string_view data)
{
    bool complete_request = false;
    while (!data.empty() && now_in != phase::finished && !has_ended)
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
    if (has_ended || now_in != phase::outstanding)
        return false;
    const bool close = close_after || core->draining || core->stopping;
    auto sent = write(response, close);
    now_in = close ? phase::finished : phase::idle;
    phase_start = now();
    // The promise may call back at once, and the callback takes the lock.
    lock.unlock();
    await_write(std::move(sent), close);
    return true;
}

front_connection::write_promise
front_connection::write(const outbound_response& response, bool close)
{
    auto text = format_response(response, close, wants_body);
    const auto size = text.size();
    ++queued_writes;
    write_limit = now() + core->options.write_timeout +
                  std::chrono::seconds(size / least_rate);
    add_to(*core, &front_core::pending_writes, 1);
    return transport->asyncWrite(fd,
                                 Pistache::RawBuffer(std::move(text), size));
}

void front_connection::await_write(write_promise sent, bool close)
{
    sent.then([self = shared_from_this(), close](ssize_t)
              { self->end_write(close); },
              Pistache::Async::IgnoreException);
}

void front_connection::end_write(bool close)
{
    {
        const std::lock_guard lock(mutex);
        if (has_ended)
            return;
        --queued_writes;
        // The time that the caller gets to close starts here.
        if (now_in == phase::finished)
            phase_start = now();
        // Only the sending side: closing both while the caller still sends
        // would reset the connection before the caller has read the response.
        if (close)
            ::shutdown(fd, SHUT_WR);
    }
    add_to(*core, &front_core::pending_writes, -1);
}

void front_connection::check_timeouts(time_point now)
{
    {
        const std::lock_guard lock(mutex);
        if (has_ended || !has_timed_out(now))
            return;
        ::shutdown(fd, SHUT_RDWR);
    }
    ++core->timeouts;
}

bool front_connection::has_timed_out(time_point now) const
{
    const auto& options = core->options;
    if (queued_writes > 0)
        return now > write_limit;
    switch (now_in)
    {
    case phase::idle:
        return now - phase_start > options.idle_timeout;
    case phase::head:
        return now - phase_start > options.head_timeout;
    case phase::body:
        return now - last_input > options.body_timeout || now > body_limit;
    case phase::outstanding:
        return false;
    case phase::finished:
        return now - phase_start > options.write_timeout;
    }
    return false;
}

void front_connection::shut_down()
{
    const std::lock_guard lock(mutex);
    if (!has_ended)
        ::shutdown(fd, SHUT_RDWR);
}

void front_connection::mark_ended()
{
    std::size_t unsent = 0;
    {
        const std::lock_guard lock(mutex);
        if (has_ended)
            return;
        has_ended = true;
        unsent = std::exchange(queued_writes, 0);
        request = {};
        buffer = {};
    }
    if (unsent > 0)
        add_to(*core, &front_core::pending_writes, -static_cast<int>(unsent));
}

bool front_connection::ended() const
{
    const std::lock_guard lock(mutex);
    return has_ended;
}

} // namespace parsleyplank::dataplane
