#ifndef PARSLEYPLANK_PROXY_MESSAGES_HPP
#define PARSLEYPLANK_PROXY_MESSAGES_HPP

// HTTP message types and the exchange object that passes one request and its
// response between a caller's connection and the request handler. Not
// thread-safe: everything here is used by the traffic thread only.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/close_reason.hpp>
#include <parsleyplank/proxy/memory_budget.hpp>

// Asio 1.74 uses std::exchange without including its header.
// clang-format off
#include <utility>
#include <boost/asio.hpp>
// clang-format on
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyplank::proxy
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;
// A request whose body is held elsewhere.
using request_view = http::request<http::span_body<const char>>;

// One request of a caller and its response. Created when the request has been
// read completely.
struct exchange
{
    request_message request;
    // Id that the caller gave the request, for logs; empty if there is none.
    // Set by the handler.
    std::string request_id;
    // Time at which the request had been read completely.
    time_point received;
    // Time at which the connection had been accepted.
    time_point connection_start;
    // Set at most once, by respond().
    std::optional<response_message> response;
    // Memory of the request and of the response without reserved bodies, in
    // bytes.
    std::size_t memory_bytes = 0;
    // Memory of the two bodies; null if there is none.
    memory_reservation_ptr request_memory;
    memory_reservation_ptr response_memory;
    // The connection is closed; a response can no longer be delivered.
    bool cancelled = false;
    // Why it is closed, if it is.
    close_reason closed_by = close_reason::caller_left;
    // Called at most once, when the connection is closed before the response is
    // set.
    std::function<void()> on_cancel;
    // Called at most once, when the response is set.
    std::function<void()> on_response;
};

using exchange_ptr = std::shared_ptr<exchange>;
// Answers an exchange with respond(), immediately or later.
using request_handler = std::function<void(const exchange_ptr&)>;

// Sets the response of the exchange. Does nothing if a response is already set
// or the exchange is cancelled.
void respond(exchange& ex, response_message response);

// Marks the exchange as cancelled because its connection is closed, and calls
// on_cancel. Does nothing if a response is set or the exchange is already
// cancelled.
void cancel(exchange& ex, close_reason reason);

// Returns a plain-text response that this process generates itself.
response_message make_response(unsigned status, std::string_view text);

// Sets what the header of a response says of its length and of the connection.
// Removes the body if none may follow the header: after a HEAD request, whose
// response keeps the length of the body or the one that its header gives, and
// with the statuses 1xx, 204 and 304.
void finish_response(response_message& response, http::verb request_method,
                     bool keep_alive);

// Returns the value of the first header field with this name, or an empty view
// if there is none. The view refers to memory of `fields`.
std::string_view header_value(const http::fields& fields,
                              std::string_view name);

// Returns whether the Connection header lists this header, which therefore
// concerns only the connection.
bool is_connection_header(const http::fields& fields, std::string_view name);

// Removes the hop-by-hop headers, including those that the Connection header
// lists.
void remove_connection_headers(http::fields& fields);

} // namespace parsleyplank::proxy

#endif
