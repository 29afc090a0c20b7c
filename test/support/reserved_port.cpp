#include <arpa/inet.h>
#include <netinet/in.h>
#include <support/reserved_port.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <limits>
#include <optional>
#include <stdexcept>
#include <string>

namespace parsleyplank::test
{

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    result.sin_port = htons(port);
    return result;
}

// Returns a socket that is bound to the port, 0 for any free one, or -1.
int bind_socket(int type, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    const int on = 1;
    const auto where = loopback(port);
    if ((type != SOCK_STREAM ||
         setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0) &&
        bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0)
        return fd;
    close(fd);
    return -1;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in where{};
    socklen_t n = sizeof(where);
    getsockname(fd, reinterpret_cast<sockaddr*>(&where), &n);
    return ntohs(where.sin_port);
}

bool is_free_for_datagrams(std::uint16_t port)
{
    const int fd = bind_socket(SOCK_DGRAM, port);
    if (fd < 0)
        return false;
    close(fd);
    return true;
}

// Reserves two successive ports; returns nothing if the second one is in use.
std::optional<reserved_port_pair> try_port_pair()
{
    try
    {
        reserved_port first;
        if (first.number() == std::numeric_limits<std::uint16_t>::max())
            return {};
        reserved_port second(static_cast<std::uint16_t>(first.number() + 1));
        if (!is_free_for_datagrams(first.number()) ||
            !is_free_for_datagrams(second.number()))
            return {};
        return reserved_port_pair{std::move(first), std::move(second)};
    }
    catch (const std::runtime_error&)
    {
        return {};
    }
}

} // namespace

reserved_port::reserved_port() : reserved_port(0)
{
}

reserved_port::reserved_port(std::uint16_t number)
    : socket(bind_socket(SOCK_STREAM, number))
{
    if (socket < 0)
        throw std::runtime_error("can't reserve 127.0.0.1:" +
                                 std::to_string(number));
    bound_number = port_of(socket);
}

reserved_port::~reserved_port()
{
    if (socket >= 0)
        close(socket);
}

reserved_port_pair reserve_port_pair()
{
    constexpr int max_attempts = 1'000;
    for (int i = 0; i < max_attempts; ++i)
        if (auto result = try_port_pair())
            return std::move(*result);
    throw std::runtime_error("can't reserve two successive ports of 127.0.0.1");
}

} // namespace parsleyplank::test
