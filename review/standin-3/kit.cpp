#include "kit.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review
{

namespace
{

std::string to_lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return text;
}

sockaddr_in to_sockaddr(const address& where)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(where.port);
    if (inet_pton(AF_INET, where.ip.c_str(), &it.sin_addr) != 1)
        throw std::runtime_error("not an IPv4 address: " + where.ip);
    return it;
}

// Returns a listening socket, or -1 if the address is in use.
int open_listener(const address& where)
{
    constexpr int backlog = 1'024;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = to_sockaddr(where);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        ::listen(fd, backlog) == 0)
        return fd;
    ::close(fd);
    return -1;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

// Reads lines up to an empty one. The first one goes to `start`.
bool read_head(connection& from, std::string& start, header_fields& fields,
               milliseconds timeout)
{
    auto end = from.rest.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!from.read_more(timeout))
            return false;
        end = from.rest.find("\r\n\r\n");
    }
    std::istringstream lines(from.rest.substr(0, end + 2));
    from.rest.erase(0, end + 4);
    std::string line;
    std::getline(lines, start);
    start.erase(start.find_last_not_of("\r\n") + 1);
    while (std::getline(lines, line))
    {
        line.erase(line.find_last_not_of("\r\n") + 1);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        fields.emplace(to_lower(line.substr(0, colon)), value);
    }
    return true;
}

bool read_exactly(connection& from, std::size_t n, std::string& body,
                  milliseconds timeout)
{
    while (from.rest.size() < n)
        if (!from.read_more(timeout))
            return false;
    body += from.rest.substr(0, n);
    from.rest.erase(0, n);
    return true;
}

bool read_chunks(connection& from, std::string& body, milliseconds timeout)
{
    constexpr int hexadecimal = 16;
    while (true)
    {
        auto end = from.rest.find("\r\n");
        while (end == std::string::npos)
        {
            if (!from.read_more(timeout))
                return false;
            end = from.rest.find("\r\n");
        }
        const auto size =
            std::strtoull(from.rest.c_str(), nullptr, hexadecimal);
        from.rest.erase(0, end + 2);
        std::string ignored;
        if (size > 0 && !read_exactly(from, size, body, timeout))
            return false;
        if (!read_exactly(from, 2, ignored, timeout))
            return false;
        if (size == 0)
            return true;
    }
}

bool read_body(connection& from, const header_fields& fields, std::string& body,
               milliseconds timeout)
{
    if (to_lower(find_field(fields, "transfer-encoding")) == "chunked")
        return read_chunks(from, body, timeout);
    const auto length = find_field(fields, "content-length");
    return read_exactly(from, std::strtoull(length.c_str(), nullptr, 10), body,
                        timeout);
}

const std::string base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8U |
                (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += n + k > bytes.size()
                        ? '='
                        : base64_digits[group >> (18U - 6U * k) & 63U];
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : text)
    {
        const auto digit = base64_digits.find(c);
        if (digit == std::string::npos)
            break;
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        bytes += static_cast<char>(group >> bits & 255U);
    }
    return bytes;
}

std::string decode_percent(const std::string& text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%' || n + 2 >= text.size())
        {
            decoded += text[n];
            continue;
        }
        decoded += static_cast<char>(
            std::strtol(text.substr(n + 1, 2).c_str(), nullptr, hexadecimal));
        n += 2;
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> parts;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return parts;
    std::istringstream rest(target.substr(mark + 1));
    std::string part;
    while (std::getline(rest, part, '&'))
    {
        const auto equals = std::min(part.find('='), part.size());
        parts[part.substr(0, equals)] =
            decode_percent(part.substr(std::min(equals + 1, part.size())));
    }
    return parts;
}

std::string format_json(int status, const json& body)
{
    return format_response(status, "Content-Type: application/json\r\n",
                           body.dump());
}

milliseconds parse_ms(const std::string& text)
{
    const auto n = std::strtod(text.c_str(), nullptr);
    const bool in_s = text.ends_with("s") && !text.ends_with("ms");
    constexpr double ms_per_s = 1'000;
    return milliseconds(static_cast<std::int64_t>(in_s ? n * ms_per_s : n));
}

} // namespace

std::string to_string(const address& where)
{
    return where.ip + ":" + std::to_string(where.port);
}

std::uint16_t find_free_ports(const std::string& ip, int count)
{
    // Below the ports that connections take by themselves.
    constexpr int first_port = 10'000;
    constexpr int last_port = 30'000;
    constexpr int tries = 200;
    std::random_device draw;
    std::uniform_int_distribution<int> ports(first_port, last_port);
    for (int n = 0; n < tries; ++n)
    {
        const auto first = ports(draw);
        std::vector<int> held;
        held.reserve(static_cast<std::size_t>(count));
        for (int k = 0; k < count; ++k)
            held.push_back(
                open_listener({ip, static_cast<std::uint16_t>(first + k)}));
        const bool free = std::ranges::count(held, -1) == 0;
        std::ranges::for_each(held,
                              [](int fd)
                              {
                                  if (fd >= 0)
                                      ::close(fd);
                              });
        if (free)
            return static_cast<std::uint16_t>(first);
    }
    throw std::runtime_error("no free ports at " + ip);
}

connection::connection(int descriptor) : fd(descriptor)
{
}

connection::connection(const address& to)
    : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto at = to_sockaddr(to);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0)
        return;
    ::close(fd);
    fd = -1;
}

connection::~connection()
{
    if (fd >= 0)
        ::close(fd);
}

bool connection::is_open() const
{
    return fd >= 0;
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool connection::read_more(milliseconds timeout)
{
    pollfd it{fd, POLLIN, 0};
    if (fd < 0 || ::poll(&it, 1, static_cast<int>(timeout.count())) != 1)
        return false;
    std::array<char, 16'384> part{};
    const auto n = ::recv(fd, part.data(), part.size(), 0);
    if (n <= 0)
        return false;
    rest.append(part.data(), static_cast<std::size_t>(n));
    return true;
}

void connection::shut_down() const
{
    ::shutdown(fd, SHUT_RDWR);
}

void connection::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(std::exchange(fd, -1));
}

std::string find_field(const header_fields& fields, const std::string& name)
{
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
}

std::optional<request> read_request(connection& from, milliseconds timeout)
{
    request it;
    std::string start;
    if (!read_head(from, start, it.fields, timeout) ||
        !read_body(from, it.fields, it.body, timeout))
        return std::nullopt;
    std::istringstream words(start);
    words >> it.method >> it.target;
    return it;
}

std::optional<response>
read_response(connection& from, const std::string& method, milliseconds timeout)
{
    response it;
    std::string start;
    if (!read_head(from, start, it.fields, timeout))
        return std::nullopt;
    std::istringstream words(start);
    std::string version;
    words >> version >> it.status;
    if (!version.starts_with("HTTP/1.") || it.status == 0)
        return std::nullopt;
    if (method != "HEAD" && !read_body(from, it.fields, it.body, timeout))
        return std::nullopt;
    return it;
}

std::string format_response(int status, const std::string& lines,
                            const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

listener::listener(const std::string& ip, handler serve_connection)
    : serve(std::move(serve_connection)),
      fd(open_listener({ip, 0})), bound{ip, port_of(fd)},
      acceptor([this] { accept_connections(); })
{
}

listener::~listener()
{
    stopping = true;
    ::shutdown(fd, SHUT_RDWR);
    acceptor.join();
    ::close(fd);
    std::ranges::for_each(fillers, [](int it) { ::close(it); });
    {
        const std::lock_guard lock(mutex);
        for (const auto& it : open)
            if (const auto peer = it.lock())
                peer->shut_down();
    }
    std::ranges::for_each(threads, [](std::thread& it) { it.join(); });
}

const address& listener::where() const
{
    return bound;
}

void listener::fall_silent()
{
    // Linux drops the opening packets once the queue is full.
    constexpr int enough = 8;
    silent = true;
    ::listen(fd, 0);
    const auto at = to_sockaddr(bound);
    for (int n = 0; n < enough; ++n)
    {
        fillers.push_back(
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        // Those that find the queue full do not complete.
        static_cast<void>(::connect(
            fillers.back(), reinterpret_cast<const sockaddr*>(&at), sizeof at));
    }
}

void listener::accept_connections()
{
    constexpr milliseconds interval{10};
    while (!stopping)
    {
        if (silent)
        {
            std::this_thread::sleep_for(interval);
            continue;
        }
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto peer = std::make_shared<connection>(accepted);
        const std::lock_guard lock(mutex);
        open.push_back(peer);
        threads.emplace_back([this, peer] { serve(*peer); });
    }
}

platform_store::platform_store()
    : front(std::make_unique<listener>("127.0.0.1", [this](connection& peer)
                                       { serve(peer); })),
      lease_thread([this] { run_leases(); })
{
}

platform_store::~platform_store()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
        changed.notify_all();
    }
    lease_thread.join();
    front.reset();
}

const address& platform_store::where() const
{
    return front->where();
}

void platform_store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex);
    ++revision;
    write(key, value.dump(), 0);
}

void platform_store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex);
    ++revision;
    erase(key);
}

std::optional<std::string> platform_store::value_of(const std::string& key)
{
    const std::lock_guard lock(mutex);
    const auto it = items.find(key);
    return it == items.end() ? std::nullopt : std::optional(it->second.value);
}

void platform_store::serve(connection& peer)
{
    constexpr milliseconds idle{120'000};
    while (const auto call = read_request(peer, idle))
    {
        try
        {
            if (!peer.send(answer(*call)))
                return;
        }
        catch (const json::exception& ec)
        {
            peer.send(format_json(400, {{"problem", ec.what()}}));
        }
    }
}

std::string platform_store::answer(const request& call)
{
    const auto path = call.target.substr(0, call.target.find('?'));
    auto query = parse_query(call.target);
    if (path == "/kv-key")
        return answer_get(query["key"]);
    if (path == "/kv-range")
        return answer_range(query["pathPrefix"]);
    if (path == "/kv-watch")
        return answer_watch(
            query["pathPrefix"],
            std::strtoull(query["after"].c_str(), nullptr, 10),
            milliseconds(std::strtol(query["waitMs"].c_str(), nullptr, 10)));
    const auto body = call.body.empty() ? json() : json::parse(call.body);
    if (path == "/kv-txn")
        return answer_txn(body);
    return answer_lease(path, body);
}

json platform_store::describe(const std::string& key, const item& it)
{
    return {{"key", key},
            {"value", to_base64(it.value)},
            {"revision", it.changed},
            {"created", it.created},
            {"lease", it.lease}};
}

std::string platform_store::answer_get(const std::string& key)
{
    const std::lock_guard lock(mutex);
    const auto it = items.find(key);
    if (it == items.end())
        return format_json(404, {{"storeRevision", revision}});
    auto body = describe(key, it->second);
    body["storeRevision"] = revision;
    return format_json(200, body);
}

std::string platform_store::answer_range(const std::string& prefix)
{
    const std::lock_guard lock(mutex);
    auto found = json::array();
    for (const auto& [key, it] : items)
        if (key.starts_with(prefix))
            found.push_back(describe(key, it));
    return format_json(
        200,
        {{"items", found}, {"hasMore", false}, {"storeRevision", revision}});
}

std::string platform_store::answer_watch(const std::string& prefix,
                                         std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock(mutex);
    const auto due = steady::now() + wait;
    auto found = json::array();
    const auto collect = [&]
    {
        for (const auto& it : events)
        {
            if (it.at <= after || !it.key.starts_with(prefix))
                continue;
            if (it.written)
                found.push_back(describe(it.key, *it.written));
            else
                found.push_back(
                    {{"key", it.key}, {"revision", it.at}, {"removed", true}});
        }
        return !found.empty() || stopping;
    };
    changed.wait_until(lock, due, collect);
    return format_json(200, {{"events", found}, {"storeRevision", revision}});
}

std::string platform_store::answer_txn(const json& body)
{
    const std::lock_guard lock(mutex);
    end_due_leases();
    bool holds = true;
    auto current = json::array();
    for (const auto& it : body.at("expect"))
    {
        const auto key = it.at("key").get<std::string>();
        const auto known = items.find(key);
        const auto at = known == items.end() ? 0 : known->second.changed;
        holds = holds && at == it.at("revision").get<std::uint64_t>();
        if (known != items.end())
            current.push_back(describe(key, known->second));
    }
    if (!holds)
        return format_json(412, {{"items", current}});
    for (const auto& it : body.at("setKeys"))
    {
        const auto lease = it.at("lease").get<std::uint64_t>();
        if (lease != 0 && !leases.contains(lease))
            return format_json(404, json::object());
    }
    ++revision;
    for (const auto& it : body.at("setKeys"))
        write(it.at("key").get<std::string>(),
              from_base64(it.at("value").get<std::string>()),
              it.at("lease").get<std::uint64_t>());
    for (const auto& it : body.at("remove"))
        erase(it.get<std::string>());
    return format_json(200, {{"revision", revision}});
}

std::string platform_store::answer_lease(const std::string& path,
                                         const json& body)
{
    const std::lock_guard lock(mutex);
    end_due_leases();
    if (path == "/kv-lease")
    {
        const auto text = body.at("ttl_time").get<std::string>();
        const auto ttl = parse_ms(text);
        leases[++last_lease] = {ttl, steady::now() + ttl};
        return format_json(200, {{"lease", last_lease}, {"ttl_time", text}});
    }
    const auto slash = path.rfind('/');
    const auto number =
        std::strtoull(path.substr(slash + 1).c_str(), nullptr, 10);
    const auto it = leases.find(number);
    if (it == leases.end())
        return format_json(404, json::object());
    if (path.starts_with("/kv-keep/"))
        it->second.ends = steady::now() + it->second.ttl;
    else
        it->second.ends = {};
    end_due_leases();
    return format_json(200, json::object());
}

void platform_store::write(const std::string& key, std::string value,
                           std::uint64_t lease)
{
    auto& it = items[key];
    it.value = std::move(value);
    it.lease = lease;
    it.changed = revision;
    if (it.created == 0)
        it.created = revision;
    events.push_back({key, revision, it});
    changed.notify_all();
}

void platform_store::erase(const std::string& key)
{
    if (items.erase(key) == 0)
        return;
    events.push_back({key, revision, std::nullopt});
    changed.notify_all();
}

void platform_store::end_due_leases()
{
    const auto at = steady::now();
    std::vector<std::uint64_t> ended;
    for (const auto& [number, it] : leases)
        if (it.ends <= at)
            ended.push_back(number);
    for (const auto number : ended)
    {
        leases.erase(number);
        std::vector<std::string> keys;
        for (const auto& [key, it] : items)
            if (it.lease == number)
                keys.push_back(key);
        if (!keys.empty())
            ++revision;
        std::ranges::for_each(keys,
                              [this](const std::string& it) { erase(it); });
    }
}

void platform_store::run_leases()
{
    constexpr milliseconds interval{20};
    std::unique_lock lock(mutex);
    while (!stopping)
    {
        end_due_leases();
        changed.wait_for(lock, interval);
    }
}

json to_json(const server_entry& entry)
{
    return {
        {"address", to_string(entry.where)},
        {"born", entry.born},
        {"info",
         {{"service", entry.service},
          {"version", entry.version},
          {"zone", entry.zone},
          {"capacity", entry.capacity}}},
        {"status",
         {{"state", entry.state},
          {"sequence", entry.sequence},
          {"warmupLeft", std::to_string(entry.warmup_left.count()) + "ms"}}}};
}

server::server(platform_store& store, server_entry described,
               server_handler handler)
    : registry(store), self(std::move(described)), respond(std::move(handler)),
      front(std::make_unique<listener>("127.0.0.1", [this](connection& peer)
                                       { serve(peer); }))
{
    self.where = front->where();
    self.born = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    registry.put("servers/" + self.id, to_json(self));
}

server::~server()
{
    front.reset();
}

void server::crash()
{
    front.reset();
}

void server::fall_silent()
{
    silent = true;
    front->fall_silent();
}

const server_entry& server::entry() const
{
    return self;
}

void server::serve(connection& peer)
{
    constexpr milliseconds idle{60'000};
    while (const auto call = read_request(peer, idle))
    {
        if (silent)
            continue;
        const auto expected =
            find_field(call->fields, "parsleyplank-expected-instance");
        if (!expected.empty() && expected != self.id)
        {
            peer.send(format_response(421,
                                      "Parsleyplank-Instance-Id: " + self.id +
                                          "\r\nParsleyplank-Request-Id: " +
                                          find_field(call->fields,
                                                     "parsleyplank-request-"
                                                     "id") +
                                          "\r\n",
                                      ""));
            continue;
        }
        const auto bytes = respond(*call, peer);
        if (!silent && (!bytes || !peer.send(*bytes)))
            return;
    }
}

std::string seal_lines(const request& to)
{
    const auto id = find_field(to.fields, "parsleyplank-request-id");
    return "Parsleyplank-Request-Id: " + id +
           "\r\nParsleyplank-Response-Seal: seal-" + id + "\r\n";
}

edge_process::edge_process(const edge_settings& chosen, const address& store,
                           const std::string& dir)
    : settings_file(dir + "/" + chosen.id + ".toml"),
      log_file(dir + "/" + chosen.id + ".log"), pid_file(dir + "/pids")
{
    constexpr int ports = 6;
    const auto first = find_free_ports(chosen.ip, ports);
    const auto at = [&](int n)
    {
        return address{chosen.ip, static_cast<std::uint16_t>(first + n)};
    };
    callers = at(0);
    readiness = at(1);
    directory = at(2);
    std::ofstream out(settings_file);
    out << "[instance]\nid = \"" << chosen.id << "\"\nregion = \""
        << chosen.region << "\"\nfailure_domain = \"" << chosen.zone
        << "\"\naddress = \"" << chosen.ip
        << "\"\nmemory_mb = " << chosen.memory_mb
        << "\nmax_descriptors = 4100\nlink_mbps = 1000.0\n[listen]\n"
        << "callers = \"" << to_string(callers) << "\"\nreadiness = \""
        << to_string(readiness) << "\"\ndirectory = \"" << to_string(directory)
        << "\"\nadmin = \"" << to_string(at(3))
        << "\"\npeer_port = " << first + 4 << "\n[store]\naddress = \""
        << to_string(store) << "\"\n[failure_domains]\n";
    for (const auto& [zone, region] : chosen.zones)
        out << '"' << zone << "\" = \"" << region << "\"\n";
    out << "[bounds]\ncontact = \"4000ms\"\ndrain = \"2500ms\"\n"
        << "grace = \"6s\"\ndirectory_ttl = \"5s\"\nretry_ratio = 0.2\n"
        << "retry_slack = 60\nshift_cap = 0.15\nrevoke = \"5000ms\"\n"
        << "strict_keys = false\n";
}

edge_process::~edge_process()
{
    kill_now();
}

void edge_process::start()
{
    const char* program = std::getenv("EDGE");
    if (program == nullptr)
        throw std::runtime_error("EDGE is not set");
    const int log = ::open(log_file.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    child = ::fork();
    if (child == 0)
    {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program, program, settings_file.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(log);
    std::ofstream(pid_file, std::ios::app) << child << '\n';
}

void edge_process::signal(int number) const
{
    if (child > 0)
        ::kill(child, number);
}

void edge_process::kill_now()
{
    if (child <= 0)
        return;
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    child = -1;
}

std::optional<int> edge_process::ended()
{
    int status = 0;
    if (child <= 0 || ::waitpid(child, &status, WNOHANG) != child)
        return std::nullopt;
    child = -1;
    return status;
}

pid_t edge_process::pid() const
{
    return child;
}

std::size_t edge_process::resident_bytes() const
{
    std::ifstream in("/proc/" + std::to_string(child) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool edge_process::wait_ready(milliseconds timeout) const
{
    constexpr milliseconds interval{100};
    const auto due = steady::now() + timeout;
    while (steady::now() < due)
    {
        connection peer(readiness);
        if (peer.is_open() &&
            peer.send("GET /readyz HTTP/1.1\r\nHost: edge\r\n\r\n"))
        {
            const auto got = read_response(peer, "GET", milliseconds(1'000));
            if (got && got->status == 200)
                return true;
        }
        std::this_thread::sleep_for(interval);
    }
    return false;
}

record::record(const std::string& file) : out(file)
{
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex);
    const auto at =
        std::chrono::duration_cast<milliseconds>(steady::now() - began);
    out << at.count() << " ms " << text << std::endl;
}

std::vector<std::thread> start_threads(int count,
                                       const std::function<void(int)>& task)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        threads.emplace_back([task, n] { task(n); });
    return threads;
}

void join(std::vector<std::thread>& threads)
{
    std::ranges::for_each(threads, [](std::thread& it) { it.join(); });
}

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

json make_configuration(const std::string& version,
                        const std::vector<route>& routes)
{
    auto rows = json::array();
    std::map<std::string, bool> services;
    for (const auto& it : routes)
    {
        rows.push_back({it.name, it.host, it.prefix, it.type, it.timeout,
                        "400ms", 1, nullptr, 2, false, false, json::array(),
                        it.service});
        services[it.service] = true;
    }
    auto service_rows = json::array();
    for (const auto& [name, used] : services)
        service_rows.push_back(
            {name, "/healthz", 360, "h1", false, "3s", 13.0});
    return {
        {"version", version},
        {"routes",
         {{"columns",
           {"name", "host", "pathPrefix", "routeType", "timeout",
            "targetLatency", "priority", "trafficSplit", "maxAttempts",
            "public", "sessionAffinity", "allowedRegions", "service"}},
          {"rows", rows}}},
        {"services",
         {{"columns",
           {"name", "healthPath", "maxConnections", "protocol", "tls", "warmup",
            "warmupPerS"}},
          {"rows", service_rows}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 67108864},
          {"headerTimeout", "3000ms"},
          {"idleTimeout", "15000ms"}}},
        {"tenants",
         {{"columns",
           {"name", "apiKeys", "priority", "ratePerS", "burst",
            "allowedRegions"}},
          {"rows", json::array({json::array({"tenant-1", json::array({"key-1"}),
                                             1, 0, 0, json::array()})})}}}};
}

std::string caller_lines(const std::string& host, const std::string& id,
                         int deadline_ms)
{
    return "Host: " + host + "\r\nParsleyplank-Request-Id: " + id +
           "\r\nParsleyplank-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nApi-Key: key-1\r\n";
}

} // namespace review
