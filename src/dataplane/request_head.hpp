#ifndef PARSLEYPLANK_DATAPLANE_REQUEST_HEAD_HPP
#define PARSLEYPLANK_DATAPLANE_REQUEST_HEAD_HPP

// Parses the request line and headers of a caller's request, strictly: what two
// parties could frame differently is rejected.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/dataplane/header_filter.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyplank::dataplane
{

// A request that can't be accepted; what() is meant for the caller.
class bad_head : public error
{
public:
    bad_head(int http_status, const std::string& text)
        : error(text), status(http_status)
    {
    }

    int status;
};

struct request_head
{
    std::string method;
    std::string path;
    std::string query;
    header_list headers;
    std::uint64_t content_length = 0;
    bool keep_alive = true;
    bool expects_continue = false;
};

// Checks a request line without its line end. Throws bad_head with status 400,
// or 505 for an HTTP version other than 1.0 and 1.1.
void check_request_line(std::string_view line);

// Parses a head up to but without the empty line. Throws bad_head: 400 for a
// malformed line, a folded or repeated framing or key header, a Content-Length
// that is not a number or comes with Transfer-Encoding; 411 for a chunked body;
// 417 for an unknown expectation.
request_head parse_request_head(std::string_view text);

} // namespace parsleyplank::dataplane

#endif
