// The server of the review's stand-ins, which releases finished connections:
// crowds open more of them than a process has descriptors.

#include "http_server.hpp"

#include <sys/socket.h>

#include <utility>

namespace review
{

namespace
{

constexpr std::uint64_t max_body_bytes = 67'108'864;

} // namespace

http_server::http_server(handler how)
    : serve(std::move(how)),
      acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
      listen_port(acceptor.local_endpoint().port()),
      accept_thread([this] { accept_connections(); })
{
}

http_server::~http_server()
{
    stop();
    accept_thread.join();
    for (auto& it : threads)
        it.join();
}

void http_server::stop()
{
    if (stopping.exchange(true))
        return;
    // Wakes the blocked accept; close alone does not.
    ::shutdown(acceptor.native_handle(), SHUT_RDWR);
    const std::lock_guard lock(mutex);
    for (const auto& it : sockets)
        ::shutdown(it->native_handle(), SHUT_RDWR);
}

void http_server::accept_connections()
{
    while (!stopping)
    {
        auto socket = std::make_shared<tcp::socket>(io);
        boost::system::error_code ec;
        acceptor.accept(*socket, ec);
        if (ec)
            continue;
        socket->set_option(tcp::no_delay(true), ec);
        const std::lock_guard lock(mutex);
        sockets.push_back(socket);
        threads.emplace_back([this, socket] { serve_connection(*socket); });
    }
    boost::system::error_code ec;
    acceptor.close(ec);
}

void http_server::serve_connection(tcp::socket& socket)
{
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    while (!ec && !stopping)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        http::read(socket, buffer, parser, ec);
        if (ec)
            break;
        auto answer = serve(parser.get(), socket.native_handle());
        if (!answer || stopping)
            break;
        answer->keep_alive(true);
        answer->prepare_payload();
        http::write(socket, *answer, ec);
    }
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    // Releases the descriptor with the last reference, that of the thread.
    const std::lock_guard lock(mutex);
    std::erase_if(sockets, [&](const auto& it) { return it.get() == &socket; });
}

response make_response(unsigned status, std::string body)
{
    constexpr unsigned http_1_1 = 11;
    response it(static_cast<http::status>(status), http_1_1);
    it.body() = std::move(body);
    return it;
}

std::optional<response> call(std::uint16_t port, const std::string& target)
{
    constexpr unsigned http_1_1 = 11;
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
    if (ec)
        return std::nullopt;
    request query(http::verb::get, target, http_1_1);
    query.set(http::field::host, "127.0.0.1");
    http::write(socket, query, ec);
    beast::flat_buffer buffer;
    response answer;
    if (!ec)
        http::read(socket, buffer, answer, ec);
    return ec ? std::nullopt : std::optional(std::move(answer));
}

std::string header(const http::fields& fields, const std::string& name)
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : std::string(it->value());
}

} // namespace review
