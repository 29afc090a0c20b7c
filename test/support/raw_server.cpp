#include "support/raw_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>
#include <utility>

namespace parsleyplank::test
{

namespace
{

// Returns the length of the first complete request, if there is one.
std::optional<std::size_t> request_length(const std::string& received)
{
    const std::string end = "\r\n\r\n";
    const std::string field = "Content-Length: ";
    const auto head = received.find(end);
    if (head == std::string::npos)
        return std::nullopt;
    const auto at = received.find(field);
    const std::size_t body =
        at < head ? std::stoul(received.substr(at + field.size())) : 0;
    const auto length = head + end.size() + body;
    return received.size() >= length ? std::optional(length) : std::nullopt;
}

} // namespace

std::string http_text(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nConnection: keep-alive\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int listen_on_loopback(std::uint16_t& port)
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(where);
    auto* const address = reinterpret_cast<sockaddr*>(&where);
    constexpr int backlog = 16;
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    if (bind(listener, address, n) != 0 || listen(listener, backlog) != 0 ||
        getsockname(listener, address, &n) != 0)
        throw std::runtime_error("can't listen on 127.0.0.1");
    port = ntohs(where.sin_port);
    return listener;
}

raw_server::raw_server(responder respond)
    : respond(std::move(respond)), listener(listen_on_loopback(bound_port))
{
    thread = std::thread([this] { run(); });
}

raw_server::~raw_server()
{
    stopping = true;
    thread.join();
    std::ranges::for_each(connections,
                          [](const connection& open) { close(open.socket); });
    close(listener);
}

std::uint16_t raw_server::port() const
{
    return bound_port;
}

void raw_server::run()
{
    constexpr int poll_ms = 10;
    while (!stopping)
    {
        std::vector<pollfd> ready{{listener, POLLIN, 0}};
        std::ranges::for_each(connections,
                              [&](const connection& open) {
                                  ready.push_back({open.socket, POLLIN, 0});
                              });
        if (poll(ready.data(), ready.size(), poll_ms) <= 0)
            continue;
        std::size_t n = 0;
        std::erase_if(connections,
                      [&](connection& open)
                      {
                          if (ready[++n].revents == 0 || serve(open))
                              return false;
                          close(open.socket);
                          return true;
                      });
        if (ready.front().revents != 0)
            connections.push_back({accept(listener, nullptr, nullptr), ""});
    }
}

// Returns false if the connection is to be closed.
bool raw_server::serve(connection& from)
{
    std::array<char, 4096> buf{};
    const auto n = recv(from.socket, buf.data(), buf.size(), 0);
    if (n <= 0)
        return false;
    from.received.append(buf.data(), static_cast<std::size_t>(n));
    while (const auto length = request_length(from.received))
    {
        const auto response = respond(from.received.substr(0, *length));
        from.received.erase(0, *length);
        send(from.socket, response.bytes.data(), response.bytes.size(),
             MSG_NOSIGNAL);
        if (!response.later.empty())
        {
            std::this_thread::sleep_for(response.pause);
            send(from.socket, response.later.data(), response.later.size(),
                 MSG_NOSIGNAL);
        }
        if (response.close)
            return false;
    }
    return true;
}

} // namespace parsleyplank::test
