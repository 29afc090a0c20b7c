#ifndef PARSLEYPLANK_PROXY_RESPONSE_MATCH_HPP
#define PARSLEYPLANK_PROXY_RESPONSE_MATCH_HPP

// Decides by its header whether a response of a backend server answers a given
// request. A faulty server may send bytes that look like a response and are
// none, or a second response to an earlier request.

#include <parsleyplank/proxy/messages.hpp>

#include <string>
#include <string_view>

namespace parsleyplank::proxy
{

// Names of the headers by which a response is recognised. A name is empty if
// the servers of the platform do not send that header.
struct response_marks
{
    // Repeats the id of the request.
    std::string request_id;
    // Proves that the response comes from the server itself. Its value is
    // opaque and not empty. Every success has it.
    std::string seal;
    // States that the request was not executed.
    std::string not_executed;
};

enum class response_match
{
    // The response to the request.
    answer,
    // A response that names another request.
    other_request,
    // A response that names no request and may belong to another one, or to
    // none.
    no_id,
    // A success that names the request, but lacks the seal.
    no_seal
};

// Returns whether the server states that it has not executed the request.
bool is_refusal(const http::response_header<>& header,
                const response_marks& marks);

// Returns how a response with this final status and header relates to the
// request with the id, which is empty if the caller gave none.
// `first_on_connection` tells that the connection has carried no other request
// and no other response: a refusal, a failure of the server or a sealed
// response without an id then belongs to this request.
response_match match_response(const http::response_header<>& header,
                              const response_marks& marks, std::string_view id,
                              bool first_on_connection);

} // namespace parsleyplank::proxy

#endif
