#ifndef PARSLEYPLANK_TEST_STANDIN_BACKEND_HTTP_HPP
#define PARSLEYPLANK_TEST_STANDIN_BACKEND_HTTP_HPP

// Plain blocking HTTP/1.1 for the stand-in backend server, which has to send
// damaged responses that an HTTP library would not.

#include <map>
#include <string>
#include <string_view>

namespace parsleyplank::test
{

struct backend_request
{
    std::string method;
    std::string path;
    std::string query;
    // By lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;
    // Head and body as received.
    std::string raw;

    // Returns the value or an empty string.
    std::string header(const std::string& name) const;
};

// Reads one request; rest holds bytes of the following one. Returns false when
// the connection has ended.
bool read_request(int fd, std::string& rest, backend_request& request);

// Returns a response with Content-Length and the given extra header lines, each
// ended by CRLF.
std::string format_response(int status, const std::string& lines,
                            const std::string& body);

// Sends all bytes; ignores a caller that has gone.
void send_all(int fd, std::string_view bytes);

// Waits for the time or until the caller closes. Returns false if it closed.
bool wait_connected(int fd, int ms);

// Returns the parts of a query string, decoded.
std::map<std::string, std::string> parse_query(std::string_view query);

// Decodes percent escapes and '+'.
std::string decode(std::string_view text);

} // namespace parsleyplank::test

#endif
