#include "standin/backend/backend_server.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>

namespace parsleyplank::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

int open_listener(const backend_options& options, std::uint16_t& port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not an IPv4 address: " + options.address);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(fd, generic, size) != 0 || ::listen(fd, 1'024) != 0)
    {
        const std::string cause = std::strerror(errno);
        ::close(fd);
        throw std::runtime_error("can't listen on " + options.address + ":" +
                                 std::to_string(options.port) + ": " + cause);
    }
    ::getsockname(fd, generic, &size);
    port = ntohs(address.sin_port);
    return fd;
}

steady_clock::time_point deadline_of(const backend_request& request)
{
    const auto text = request.header("x-deadline-ms");
    const auto ms =
        text.empty() ? 60'000 : std::strtol(text.c_str(), nullptr, 10);
    return steady_clock::now() + milliseconds(ms);
}

int work_time(const backend_switches& now)
{
    const auto since = std::chrono::duration_cast<milliseconds>(
                           steady_clock::now() - now.cold_since)
                           .count();
    const auto left = std::max<std::int64_t>(0, now.cold_for_ms - since);
    return now.latency_ms + static_cast<int>(now.cold_extra_ms * left /
                                             std::max(now.cold_for_ms, 1));
}

std::string execution_key(const backend_request& request)
{
    const auto key = request.header("idempotency-key");
    return key.empty() ? request.header("x-request-id") : key;
}

} // namespace

backend_server::backend_server(const backend_options& its_options)
    : options(its_options), listener(open_listener(its_options, bound_port)),
      acceptor([this] { accept_connections(); })
{
}

backend_server::~backend_server()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
        for (const auto& [fd, number] : open_fds)
            ::shutdown(fd, SHUT_RDWR);
        changed.notify_all();
    }
    ::shutdown(listener, SHUT_RDWR);
    acceptor.join();
    std::ranges::for_each(threads, [](std::thread& it) { it.join(); });
    ::close(listener);
}

void backend_server::accept_connections()
{
    while (true)
    {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex);
        if (stopping)
        {
            if (fd >= 0)
                ::close(fd);
            return;
        }
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int number = opened++;
        open_fds[fd] = number;
        threads.emplace_back([this, fd, number] { serve(fd, number); });
    }
}

void backend_server::serve(int fd, int number)
{
    std::string rest;
    backend_request request;
    while (read_request(fd, rest, request))
    {
        look_for_text(request);
        if (!answer(fd, number, request))
            break;
    }
    const std::lock_guard lock(mutex);
    open_fds.erase(fd);
    ::close(fd);
}

bool backend_server::answer(int fd, int number, const backend_request& request)
{
    const bool is_control = request.path == "/health" ||
                            request.path == "/load" ||
                            request.path.starts_with("/standin/");
    if (!is_control)
        return answer_work(fd, number, request);
    const auto its_reply = control(request);
    auto lines = its_reply.lines;
    if (const auto id = request.header("x-request-id"); !id.empty())
        lines += "X-Request-Id: " + id + "\r\n";
    send_all(fd,
             format_response(its_reply.status, lines, its_reply.body.dump()));
    return true;
}

backend_server::reply backend_server::control(const backend_request& request)
{
    const std::lock_guard lock(mutex);
    if (request.path == "/health")
        return health_reply();
    if (request.path == "/load")
        return {
            200,
            "",
            {{"load", switches.load >= 0
                          ? switches.load
                          : std::min(1.0, 1.0 * in_service / options.slots)},
             {"in_service", in_service},
             {"slots", options.slots}}};
    if (request.path == "/standin/executions")
        return {200,
                "",
                {{"total", total},
                 {"by_key", by_key},
                 {"by_request", by_request},
                 {"cancelled", abandoned},
                 {"connections", opened}}};
    if (request.path == "/standin/watch")
    {
        if (request.method == "POST")
        {
            watched = request.body;
            watched_seen = 0;
        }
        return {200, "", {{"seen", watched_seen}}};
    }
    if (request.path == "/standin/switch")
    {
        try
        {
            set_switches(switches, parse_query(request.query));
            changed.notify_all();
            return {200, "", {{"status", "set"}}};
        }
        catch (const std::invalid_argument& ec)
        {
            return {400, "", {{"error", ec.what()}}};
        }
    }
    return {404, "", {{"error", "no such path"}}};
}

backend_server::reply backend_server::health_reply() const
{
    const bool fails = switches.fail_rate >= 0.5 || switches.shed;
    if (switches.health == "bad" || (switches.health == "auto" && fails))
        return {503, "", {{"status", "bad"}}};
    if (switches.health == "auto" && switches.drain)
        return {503, "", {{"status", "draining"}}};
    return {200, "", {{"status", "ok"}}};
}

connection_fault backend_server::take_fault(int number)
{
    const std::lock_guard lock(mutex);
    ++requests_read;
    changed.notify_all();
    if (number < switches.silent_before)
        return connection_fault::silent;
    if (switches.fault == connection_fault::none || switches.fault_count == 0)
        return connection_fault::none;
    if (switches.fault_count > 0)
        --switches.fault_count;
    return switches.fault;
}

bool backend_server::answer_work(int fd, int number,
                                 const backend_request& request)
{
    const auto deadline = deadline_of(request);
    const auto fault = take_fault(number);
    if (fault == connection_fault::silent)
    {
        wait_connected(fd, -1);
        return false;
    }
    backend_switches now;
    {
        const std::lock_guard lock(mutex);
        now = switches;
    }
    if (now.shed || !take_slot(deadline))
    {
        send_all(fd,
                 format_response(503,
                                 "X-Not-Run: true\r\nX-Request-Id: " +
                                     request.header("x-request-id") + "\r\n",
                                 "{\"error\": \"shed\"}"));
        return true;
    }
    const bool worked = do_work(fd, request, now);
    bool failed = false;
    {
        const std::lock_guard lock(mutex);
        failed = std::bernoulli_distribution(now.fail_rate)(rng);
    }
    const bool go_on =
        worked && send_reply(fd, request, failed ? 500 : 200, fault);
    free_slot();
    return go_on;
}

bool backend_server::take_slot(steady_clock::time_point deadline)
{
    std::unique_lock lock(mutex);
    const bool free = changed.wait_until(
        lock, deadline, [&] { return stopping || in_service < options.slots; });
    if (!free || stopping || steady_clock::now() >= deadline)
        return false;
    ++in_service;
    return true;
}

void backend_server::free_slot()
{
    const std::lock_guard lock(mutex);
    --in_service;
    changed.notify_all();
}

// Returns false if the caller closed before the work was done.
bool backend_server::do_work(int fd, const backend_request& request,
                             const backend_switches& now)
{
    const int ms = work_time(now);
    const bool connected = ms == 0 || wait_connected(fd, ms);
    const std::lock_guard lock(mutex);
    if (!connected)
        ++abandoned;
    else
    {
        ++total;
        ++by_key[execution_key(request)];
        ++by_request[request.header("x-request-id")];
    }
    changed.notify_all();
    return connected;
}

bool backend_server::send_reply(int fd, const backend_request& request,
                                int status, connection_fault fault)
{
    if (fault == connection_fault::close_after_read)
        return false;
    auto id = request.header("x-request-id");
    {
        std::unique_lock lock(mutex);
        if (fault == connection_fault::late)
            changed.wait(lock, [&] { return stopping || switches.release; });
        if (fault == connection_fault::crossed)
            id = last_request_id == id ? "other" : last_request_id;
        last_request_id = request.header("x-request-id");
    }
    const nlohmann::json body{{"server", options.server},
                              {"version", options.version},
                              {"path", request.path},
                              {"query", request.query},
                              {"request_id", id}};
    const auto lines = "X-Request-Id: " + id + "\r\n";
    auto text = format_response(status, lines, body.dump());
    if (fault == connection_fault::truncated)
        text.resize(text.size() - body.dump().size() / 2);
    if (fault == connection_fault::unframed)
        text = "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body.dump();
    send_all(fd, text);
    return fault != connection_fault::truncated &&
           fault != connection_fault::unframed;
}

void backend_server::look_for_text(const backend_request& request)
{
    const std::lock_guard lock(mutex);
    if (watched.empty() || request.path == "/standin/watch")
        return;
    if (request.raw.find(watched) != std::string::npos ||
        decode(request.path + '?' + request.query).find(watched) !=
            std::string::npos)
        ++watched_seen;
}

std::uint16_t backend_server::port() const
{
    return bound_port;
}

void backend_server::set(const std::map<std::string, std::string>& values)
{
    const std::lock_guard lock(mutex);
    set_switches(switches, values);
    changed.notify_all();
}

void backend_server::silence_open_connections()
{
    const std::lock_guard lock(mutex);
    switches.silent_before = opened;
}

int backend_server::executions(const std::string& key) const
{
    const std::lock_guard lock(mutex);
    const auto it = by_key.find(key);
    return it == by_key.end() ? 0 : it->second;
}

int backend_server::total_executions() const
{
    const std::lock_guard lock(mutex);
    return total;
}

int backend_server::cancelled() const
{
    const std::lock_guard lock(mutex);
    return abandoned;
}

int backend_server::connections() const
{
    const std::lock_guard lock(mutex);
    return opened;
}

bool backend_server::wait_for_requests(int n) const
{
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::seconds(20),
                            [&] { return requests_read >= n; });
}

void backend_server::watch(const std::string& text)
{
    const std::lock_guard lock(mutex);
    watched = text;
    watched_seen = 0;
}

int backend_server::seen() const
{
    const std::lock_guard lock(mutex);
    return watched_seen;
}

} // namespace parsleyplank::test
