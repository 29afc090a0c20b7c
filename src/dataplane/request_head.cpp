#include <parsleyplank/dataplane/request_head.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace parsleyplank::dataplane
{

namespace
{

// Two values of these would let this server and a backend server, or two lines
// of this program, disagree about the request.
constexpr std::array<std::string_view, 6> unique_names{
    "content-length", "content-type",    "expect",
    "host",           "idempotency-key", "x-api-key"};

bool is_token_char(unsigned char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return std::isalnum(c) != 0 ||
           others.find(static_cast<char>(c)) != std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_char);
}

// Tab and all printable bytes; no control character, so no bare CR either.
bool is_field_char(unsigned char c)
{
    return c == '\t' || (c >= 0x20 && c != 0x7F);
}

bool is_target_char(unsigned char c)
{
    return c > 0x20 && c < 0x7F;
}

std::string to_lower(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string_view take_line(std::string_view& text)
{
    const auto end = std::min(text.find("\r\n"), text.size());
    const auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 2, text.size()));
    return line;
}

header_field parse_field(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
        throw bad_head(400, "malformed header line");
    const auto value = trim(line.substr(colon + 1));
    if (!std::ranges::all_of(value, is_field_char))
        throw bad_head(400, "control character in a header value");
    return {to_lower(line.substr(0, colon)), std::string(value)};
}

void check_unique(const header_list& headers)
{
    for (const auto& name : unique_names)
    {
        if (std::ranges::count(headers, name, &header_field::name) > 1)
            throw bad_head(400, "repeated header " + std::string(name));
    }
}

std::uint64_t parse_content_length(const std::string& text)
{
    std::uint64_t n = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size())
        throw bad_head(400, "Content-Length is not a number");
    return n;
}

// Returns whether a comma-separated list holds the lower-case word.
bool lists_word(std::string_view list, std::string_view word)
{
    while (!list.empty())
    {
        const auto end = std::min(list.find(','), list.size());
        if (to_lower(trim(list.substr(0, end))) == word)
            return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

bool connection_says(const header_list& headers, std::string_view word)
{
    return std::ranges::any_of(
        headers, [&](const header_field& it)
        { return it.name == "connection" && lists_word(it.value, word); });
}

void read_framing(request_head& head, bool http_1_0)
{
    const auto* length = find_header(head.headers, "content-length");
    if (find_header(head.headers, "transfer-encoding") != nullptr)
        throw length != nullptr
            ? bad_head(400, "Content-Length with Transfer-Encoding")
            : bad_head(411, "a body needs Content-Length");
    if (length != nullptr)
        head.content_length = parse_content_length(*length);
    head.keep_alive = http_1_0 ? connection_says(head.headers, "keep-alive")
                               : !connection_says(head.headers, "close");
    if (const auto* expect = find_header(head.headers, "expect"))
    {
        if (to_lower(*expect) != "100-continue")
            throw bad_head(417, "unknown expectation");
        head.expects_continue = !http_1_0;
    }
}

} // namespace

void check_request_line(std::string_view line)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last ||
        !is_token(line.substr(0, first)))
        throw bad_head(400, "malformed request line");
    const auto target = line.substr(first + 1, last - first - 1);
    if (target.front() != '/' || !std::ranges::all_of(target, is_target_char) ||
        target.find('#') != std::string_view::npos)
        throw bad_head(400, "malformed request target");
    const auto version = line.substr(last + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        throw bad_head(version.starts_with("HTTP/") ? 505 : 400,
                       "unsupported HTTP version");
}

request_head parse_request_head(std::string_view text)
{
    const auto line = take_line(text);
    check_request_line(line);
    request_head head;
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    head.method = line.substr(0, first);
    const auto target = line.substr(first + 1, last - first - 1);
    const auto mark = std::min(target.find('?'), target.size());
    head.path = target.substr(0, mark);
    head.query = target.substr(std::min(mark + 1, target.size()));
    while (!text.empty())
        head.headers.push_back(parse_field(take_line(text)));
    check_unique(head.headers);
    read_framing(head, line.ends_with("1.0"));
    return head;
}

} // namespace parsleyplank::dataplane
