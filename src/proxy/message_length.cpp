#include <parsleyplank/proxy/message_length.hpp>

#include <algorithm>
#include <charconv>
#include <string>
#include <vector>

namespace parsleyplank::proxy
{

namespace
{

constexpr std::string_view blanks = " \t";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Returns the values of all fields with this name.
std::vector<std::string_view> values_of(const http::fields& fields,
                                        http::field name)
{
    std::vector<std::string_view> found;
    const auto [first, last] = fields.equal_range(name);
    std::transform(
        first, last, std::back_inserter(found),
        [](const auto& it)
        { return std::string_view(it.value().data(), it.value().size()); });
    return found;
}

// Returns the elements of a list that is spread over several fields. An element
// is empty where a comma stands alone.
std::vector<std::string_view>
list_elements(const std::vector<std::string_view>& values)
{
    std::vector<std::string_view> found;
    for (auto rest : values)
        for (bool more = true; more;)
        {
            const auto comma = rest.find(',');
            more = comma != std::string_view::npos;
            found.push_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(more ? comma + 1 : rest.size());
        }
    return found;
}

bool is_chunked(std::string_view coding)
{
    return beast::iequals({coding.data(), coding.size()}, "chunked");
}

message_length coded_length(const std::vector<std::string_view>& codings)
{
    if (!is_chunked(codings.back()) ||
        std::ranges::count_if(codings, is_chunked) > 1)
        return framing_fault::not_chunked;
    if (codings.size() > 1)
        return framing_fault::unknown_coding;
    return chunked_body{};
}

message_length given_length(const std::vector<std::string_view>& values)
{
    const auto text = trim(values.front());
    const bool differ = std::ranges::any_of(values, [&](std::string_view it)
                                            { return trim(it) != text; });
    std::uint64_t bytes = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, bytes);
    if (differ || text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return framing_fault::bad_length;
    return fixed_length{bytes};
}

// Returns the length that the header states, or `otherwise`.
message_length stated_length(const http::fields& fields, unsigned version,
                             message_length otherwise)
{
    constexpr unsigned http_1_1 = 11;
    const auto codings =
        list_elements(values_of(fields, http::field::transfer_encoding));
    const auto lengths = values_of(fields, http::field::content_length);
    if (codings.empty())
        return lengths.empty() ? otherwise : given_length(lengths);
    if (version < http_1_1)
        return framing_fault::coding_in_http_1_0;
    if (!lengths.empty())
        return framing_fault::length_and_coding;
    return coded_length(codings);
}

} // namespace

std::string_view to_string(framing_fault fault)
{
    switch (fault)
    {
    case framing_fault::bad_length:
        return "bad_length";
    case framing_fault::length_and_coding:
        return "length_and_coding";
    case framing_fault::coding_in_http_1_0:
        return "coding_in_http_1_0";
    case framing_fault::not_chunked:
        return "not_chunked";
    case framing_fault::unknown_coding:
        return "unknown_coding";
    case framing_fault::folded_field:
        break;
    }
    return "folded_field";
}

unsigned status_of(framing_fault fault)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned not_implemented = 501;
    return fault == framing_fault::unknown_coding ? not_implemented
                                                  : bad_request;
}

message_length request_length(const http::request_header<>& header)
{
    return stated_length(header, header.version(), no_body{});
}

message_length response_length(const http::response_header<>& header,
                               http::verb request_method)
{
    const auto status = header.result_int();
    if (request_method == http::verb::head || status / 100 == 1 ||
        header.result() == http::status::no_content ||
        header.result() == http::status::not_modified)
        return no_body{};
    return stated_length(header, header.version(), body_until_end{});
}

std::optional<framing_fault> fault_of(const message_length& length)
{
    const auto* const fault = std::get_if<framing_fault>(&length);
    return fault == nullptr ? std::nullopt : std::optional(*fault);
}

bool fold_detector::add(std::string_view part)
{
    for (const char c : part)
    {
        found =
            found || (last == '\n' && blanks.find(c) != std::string_view::npos);
        last = c;
    }
    return found;
}

} // namespace parsleyplank::proxy
