#include <parsleyplank/dataplane/response_text.hpp>

#include <pistache/http_defs.h>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace parsleyplank::dataplane
{

namespace
{

bool is_control(unsigned char c)
{
    return (c < 0x20 && c != '\t') || c == 0x7F;
}

bool equals_name(std::string_view name, std::string_view lower)
{
    return std::ranges::equal(name, lower, {},
                              [](unsigned char c)
                              { return static_cast<char>(std::tolower(c)); });
}

bool may_send(const header_field& field)
{
    return !field.name.empty() &&
           std::ranges::none_of(field.name, is_control) &&
           std::ranges::none_of(field.value, is_control) &&
           !equals_name(field.name, "content-length") &&
           !equals_name(field.name, "transfer-encoding") &&
           !equals_name(field.name, "connection");
}

} // namespace

std::string format_response(const outbound_response& response, bool close,
                            bool wants_body)
{
    const int status = response.status;
    const bool has_body =
        wants_body && status >= 200 && status != 204 && status != 304;
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' +
                       codeString(static_cast<Pistache::Http::Code>(status)) +
                       "\r\n";
    for (const auto& field : response.headers)
    {
        if (may_send(field))
            text.append(field.name)
                .append(": ")
                .append(field.value)
                .append("\r\n");
    }
    text.append("Connection: ").append(close ? "close" : "keep-alive");
    if (has_body)
        text.append("\r\nContent-Length: ")
            .append(std::to_string(response.body.size()));
    text.append("\r\n\r\n");
    if (has_body)
        text.append(response.body);
    return text;
}

} // namespace parsleyplank::dataplane
