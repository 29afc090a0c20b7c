#ifndef PARSLEYPLANK_REVIEW_HTTP_SERVER_HPP
#define PARSLEYPLANK_REVIEW_HTTP_SERVER_HPP

// A small HTTP/1.1 server for stand-ins: one thread per connection, which
// serves one request at a time.

#include "record.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

class http_server
{
public:
    // Returns the response, or nothing to close the connection without one. The
    // descriptor is that of the connection.
    using handler = std::function<std::optional<response>(const request&, int)>;

    explicit http_server(handler serve);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const
    {
        return listen_port;
    }

    // Address and port as text.
    std::string endpoint() const
    {
        return "127.0.0.1:" + std::to_string(listen_port);
    }

    // Closes the listening socket and all connections, as a crash does.
    void stop();

private:
    void accept_connections();
    void serve_connection(tcp::socket& socket);

    handler serve;
    asio::io_context io;
    tcp::acceptor acceptor;
    std::uint16_t listen_port;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<std::thread> threads;
    std::thread accept_thread;
};

// Returns a response with this status and body.
response make_response(unsigned status, std::string body = {});

// Sends one request on a connection of its own and returns the response;
// nothing if there is none.
std::optional<response> call(std::uint16_t port, const std::string& target);

// Returns the value of a header field, or an empty text.
std::string header(const http::fields& fields, const std::string& name);

} // namespace review

#endif
