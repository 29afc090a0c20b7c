#include "standin/backend/backend_http.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace parsleyplank::test
{

namespace
{

std::string to_lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool receive_more(int fd, std::string& buffer)
{
    std::array<char, 16'384> part{};
    const auto n = ::recv(fd, part.data(), part.size(), 0);
    if (n <= 0)
        return false;
    buffer.append(part.data(), static_cast<std::size_t>(n));
    return true;
}

void parse_head(std::string_view text, backend_request& request)
{
    const auto line = text.substr(0, text.find("\r\n"));
    const auto first = std::min(line.find(' '), line.size());
    const auto last = std::max(line.rfind(' '), first);
    request.method = line.substr(0, first);
    const auto target =
        line.substr(std::min(first + 1, line.size()), last - first - 1);
    const auto mark = std::min(target.find('?'), target.size());
    request.path = target.substr(0, mark);
    request.query = target.substr(std::min(mark + 1, target.size()));
    auto at = line.size() + 2;
    while (at < text.size())
    {
        const auto end = std::min(text.find("\r\n", at), text.size());
        const auto field = text.substr(at, end - at);
        at = end + 2;
        const auto colon = field.find(':');
        if (colon == std::string_view::npos)
            continue;
        auto value = field.substr(colon + 1);
        value.remove_prefix(
            std::min(value.find_first_not_of(' '), value.size()));
        request.headers[to_lower(std::string(field.substr(0, colon)))] = value;
    }
}

const char* status_text(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

} // namespace

std::string backend_request::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
}

bool read_request(int fd, std::string& rest, backend_request& request)
{
    request = {};
    auto end = rest.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!receive_more(fd, rest))
            return false;
        end = rest.find("\r\n\r\n");
    }
    parse_head(std::string_view(rest).substr(0, end), request);
    const auto size =
        end + 4 +
        std::strtoull(request.header("content-length").c_str(), nullptr, 10);
    while (rest.size() < size)
    {
        if (!receive_more(fd, rest))
            return false;
    }
    request.raw = rest.substr(0, size);
    request.body = rest.substr(end + 4, size - end - 4);
    rest.erase(0, size);
    return true;
}

std::string format_response(int status, const std::string& lines,
                            const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + status_text(status) +
           "\r\n" + lines + "Content-Type: application/json\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

bool wait_connected(int fd, int ms)
{
    pollfd entry{fd, POLLRDHUP, 0};
    return ::poll(&entry, 1, ms) == 0;
}

std::map<std::string, std::string> parse_query(std::string_view query)
{
    std::map<std::string, std::string> parts;
    while (!query.empty())
    {
        const auto end = std::min(query.find('&'), query.size());
        const auto part = query.substr(0, end);
        const auto mark = std::min(part.find('='), part.size());
        parts[decode(part.substr(0, mark))] =
            decode(part.substr(std::min(mark + 1, part.size())));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return parts;
}

std::string decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] == '%' && n + 2 < text.size())
        {
            const std::string digits(text.substr(n + 1, 2));
            decoded +=
                static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            n += 2;
        }
        else
            decoded += text[n] == '+' ? ' ' : text[n];
    }
    return decoded;
}

} // namespace parsleyplank::test
