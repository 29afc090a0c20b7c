#ifndef PARSLEYPLANK_PROXY_MESSAGES_HPP
#define PARSLEYPLANK_PROXY_MESSAGES_HPP

// HTTP messages and the exchange of one request and its response between a
// caller's connection and the code that answers it. All of it belongs to the
// traffic thread.

#include <parsleyplank/core/clock.hpp>

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

// One request of a caller, from the moment that it has been read whole.
struct exchange
{
    request_message request;
    time_point received;
    // Set once by respond().
    std::optional<response_message> response;
    // Size of the request body as it was read.
    std::size_t body_bytes = 0;
    // The caller has gone; a response would not be delivered.
    bool cancelled = false;
    // Called once when the caller goes.
    std::function<void()> on_cancel;
    // Called once when the response is set.
    std::function<void()> on_response;
};

using exchange_ptr = std::shared_ptr<exchange>;
using request_handler = std::function<void(const exchange_ptr&)>;

// Answers the exchange. A second answer and one after a cancellation are
// ignored.
void respond(exchange& ex, response_message response);

// Tells whoever answers the exchange that the caller has gone.
void cancel(exchange& ex);

// Returns a response of this process with a short text.
response_message make_response(unsigned status, std::string_view text);

// Returns the value of a header, empty if it is absent.
std::string_view header_value(const http::fields& fields,
                              std::string_view name);

// Removes the headers that concern one connection only, among them those that
// the Connection header names.
void remove_connection_headers(http::fields& fields);

} // namespace parsleyplank::proxy

#endif
