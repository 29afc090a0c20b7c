#include "support/endless_server.hpp"

#include "support/raw_server.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace parsleyplank::test
{

namespace
{

constexpr int poll_ms = 10;

// Waits until the socket is ready for the event; false after poll_ms.
bool wait_for(int socket, short event)
{
    pollfd it{socket, event, 0};
    return poll(&it, 1, poll_ms) > 0;
}

std::string request_id_of(const std::string& request)
{
    const std::string name = "Parsleyplank-Request-Id: ";
    const auto at = request.find(name);
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size();
    return request.substr(from, request.find("\r\n", from) - from);
}

} // namespace

endless_server::endless_server(endless_response sent)
    : response(std::move(sent)), listener(listen_on_loopback(bound_port))
{
    acceptor = std::thread([this] { accept_connections(); });
}

endless_server::~endless_server()
{
    stopping = true;
    acceptor.join();
    for (auto& it : connections)
        it.join();
    close(listener);
}

std::uint16_t endless_server::port() const
{
    return bound_port;
}

int endless_server::requests() const
{
    return received;
}

int endless_server::closed_by_caller() const
{
    return closed;
}

void endless_server::accept_connections()
{
    while (!stopping)
    {
        if (!wait_for(listener, POLLIN))
            continue;
        const int socket = accept(listener, nullptr, nullptr);
        connections.emplace_back([this, socket] { serve(socket); });
    }
}

void endless_server::serve(int socket)
{
    std::string request;
    std::array<char, 4096> buf{};
    while (!stopping && request.find("\r\n\r\n") == std::string::npos)
    {
        if (!wait_for(socket, POLLIN))
            continue;
        const auto n = recv(socket, buf.data(), buf.size(), 0);
        if (n <= 0)
            break;
        request.append(buf.data(), static_cast<std::size_t>(n));
    }
    ++received;
    const std::string placeholder = "REQUEST-ID";
    auto bytes = response.first;
    if (const auto at = bytes.find(placeholder); at != std::string::npos)
        bytes.replace(at, placeholder.size(), request_id_of(request));
    while (!stopping)
    {
        if (!wait_for(socket, POLLOUT))
            continue;
        const auto n = send(socket, bytes.data(), bytes.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0)
        {
            ++closed;
            break;
        }
        bytes.erase(0, static_cast<std::size_t>(n));
        if (bytes.empty())
            bytes = response.repeated;
    }
    close(socket);
}

} // namespace parsleyplank::test
