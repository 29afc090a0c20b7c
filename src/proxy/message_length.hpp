#ifndef PARSLEYPLANK_PROXY_MESSAGE_LENGTH_HPP
#define PARSLEYPLANK_PROXY_MESSAGE_LENGTH_HPP

// Decides from its header alone how long the body of a message is (RFC 9112,
// sections 6.1 to 6.3). What leaves a doubt is an error: two programs that
// decide differently would take a part of one message for another one.

#include <parsleyplank/proxy/messages.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace parsleyplank::proxy
{

enum class framing_fault
{
    // Content-Length is no decimal number, or has two values.
    bad_length,
    // Both Content-Length and Transfer-Encoding.
    length_and_coding,
    // Transfer-Encoding in a message of HTTP/1.0.
    coding_in_http_1_0,
    // The transfer codings don't end with "chunked", or have it twice.
    not_chunked,
    // Another coding than "chunked" is applied to the body.
    unknown_coding,
    // A field that is continued on a second line.
    folded_field
};

inline constexpr std::array all_framing_faults{
    framing_fault::bad_length,         framing_fault::length_and_coding,
    framing_fault::coding_in_http_1_0, framing_fault::not_chunked,
    framing_fault::unknown_coding,     framing_fault::folded_field};

// Returns the name used in logs, metrics and responses, e.g. "bad_length".
std::string_view to_string(framing_fault fault);

// Returns the status of a response to such a request: 501 for an unknown
// coding, else 400.
unsigned status_of(framing_fault fault);

struct no_body
{
};

struct fixed_length
{
    std::uint64_t bytes = 0;
};

struct chunked_body
{
};

// The end of the connection ends the body.
struct body_until_end
{
};

using message_length = std::variant<no_body, fixed_length, chunked_body,
                                    body_until_end, framing_fault>;

message_length request_length(const http::request_header<>& header);

// Returns the length of the response to a request with this method.
message_length response_length(const http::response_header<>& header,
                               http::verb request_method);

// Returns why the length can't be decided, or nullopt if it can.
std::optional<framing_fault> fault_of(const message_length& length);

// Finds fields that are continued on a second line in the bytes of a header,
// which may come in parts.
class fold_detector
{
public:
    // Returns whether this part, or an earlier one, continues a field.
    bool add(std::string_view part);

private:
    char last = '\0';
    bool found = false;
};

} // namespace parsleyplank::proxy

#endif
