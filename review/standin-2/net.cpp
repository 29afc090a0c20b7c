#include "net.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>
#include <utility>

namespace review2
{

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bind_to(int fd, std::uint16_t port)
{
    const auto address = loopback(port);
    return ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

bool is_free(std::uint16_t port)
{
    const connection tcp(::socket(AF_INET, SOCK_STREAM, 0));
    const connection udp(::socket(AF_INET, SOCK_DGRAM, 0));
    return bind_to(tcp.fd(), port) && bind_to(udp.fd(), port);
}

std::string to_lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? ""
                                      : text.substr(first, last + 1 - first);
}

// Reads the fields after a start line. Returns false if the head is cut short.
bool read_fields(connection& from, message& into)
{
    while (true)
    {
        const auto line = from.take_line();
        if (!line)
            return false;
        if (line->empty())
            return true;
        const auto colon = line->find(':');
        if (colon != std::string::npos)
            into.fields.emplace(to_lower(line->substr(0, colon)),
                                trim(line->substr(colon + 1)));
    }
}

bool read_body(connection& from, message& into)
{
    const auto length = into.field("content-length");
    if (length.empty())
        return true;
    auto body = from.take_bytes(std::stoul(length));
    if (!body)
        return false;
    into.body = *std::move(body);
    return true;
}

} // namespace

connection::connection(int fd) : descriptor(fd)
{
}

connection::~connection()
{
    if (descriptor >= 0)
        ::close(descriptor);
}

connection::connection(connection&& other) noexcept
    : received(std::move(other.received)),
      descriptor(std::exchange(other.descriptor, -1))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    std::swap(descriptor, other.descriptor);
    std::swap(received, other.received);
    return *this;
}

int connection::fd() const
{
    return descriptor;
}

bool connection::send_all(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const auto n =
            ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

void connection::set_receive_timeout(milliseconds limit) const
{
    timeval value{};
    value.tv_sec = limit.count() / 1'000;
    value.tv_usec = limit.count() % 1'000 * 1'000;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool connection::receive()
{
    std::array<char, 65'536> buf{};
    const auto n = ::recv(descriptor, buf.data(), buf.size(), 0);
    if (n <= 0)
        return false;
    received.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> connection::take_line()
{
    auto end = received.find("\r\n");
    while (end == std::string::npos)
    {
        if (!receive())
            return std::nullopt;
        end = received.find("\r\n");
    }
    auto line = received.substr(0, end);
    received.erase(0, end + 2);
    return line;
}

std::optional<std::string> connection::take_bytes(std::size_t n)
{
    while (received.size() < n)
        if (!receive())
            return std::nullopt;
    auto bytes = received.substr(0, n);
    received.erase(0, n);
    return bytes;
}

connection connect_to(std::uint16_t port)
{
    connection made(::socket(AF_INET, SOCK_STREAM, 0));
    const auto address = loopback(port);
    if (::connect(made.fd(), reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
        return connection();
    return made;
}

connection listen_on_free_port(std::uint16_t& port)
{
    connection made(::socket(AF_INET, SOCK_STREAM, 0));
    if (!bind_to(made.fd(), 0) || ::listen(made.fd(), SOMAXCONN) != 0)
        throw std::runtime_error("no port to listen on");
    port = port_of(made.fd());
    return made;
}

server_loop::server_loop(std::function<void(connection&)> serve)
    : handler(std::move(serve)), listener(listen_on_free_port(listen_port)),
      acceptor([this] { accept_connections(); })
{
}

server_loop::~server_loop()
{
    ::shutdown(listener.fd(), SHUT_RDWR);
    acceptor.join();
    for (auto& it : workers)
        ::shutdown(it.caller.fd(), SHUT_RDWR);
    for (auto& it : workers)
        it.thread.join();
}

std::uint16_t server_loop::port() const
{
    return listen_port;
}

void server_loop::accept_connections()
{
    while (true)
    {
        connection caller(::accept(listener.fd(), nullptr, nullptr));
        if (caller.fd() < 0)
            return;
        auto& it = workers.emplace_back();
        it.caller = std::move(caller);
        it.thread = std::thread(
            [this, &it]
            {
                handler(it.caller);
                ::shutdown(it.caller.fd(), SHUT_RDWR);
            });
    }
}

std::uint16_t find_free_ports()
{
    constexpr int attempts = 100;
    for (int n = 0; n < attempts; ++n)
    {
        std::uint16_t port = 0;
        {
            const auto probe = listen_on_free_port(port);
        }
        if (port < 65'535 && is_free(port) &&
            is_free(static_cast<std::uint16_t>(port + 1)))
            return port;
    }
    throw std::runtime_error("no free ports");
}

std::string message::field(const std::string& name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
}

std::optional<message> read_request(connection& from)
{
    message it;
    const auto line = from.take_line();
    if (!line)
        return std::nullopt;
    it.start_line = *line;
    if (!read_fields(from, it) || !read_body(from, it))
        return std::nullopt;
    return it;
}

std::optional<message> read_response(connection& from, std::string_view method)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    while (from.received.size() < version.size())
        if (!from.receive())
            return std::nullopt;
    if (!from.received.starts_with(version))
        return std::nullopt;
    message it;
    it.start_line = from.take_line().value_or("");
    if (!read_fields(from, it) || (method != "HEAD" && !read_body(from, it)))
        return std::nullopt;
    return it;
}

} // namespace review2
