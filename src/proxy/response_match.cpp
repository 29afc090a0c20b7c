#include <parsleyplank/proxy/response_match.hpp>

#include <algorithm>

namespace parsleyplank::proxy
{

namespace
{

constexpr unsigned status_misdirected = 421;
constexpr unsigned first_server_error = 500;

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

// A seal that the Connection header lists is not passed on to the caller.
bool has_seal(const http::response_header<>& header, const std::string& name)
{
    return !header_value(header, name).empty() &&
           !is_connection_header(header, name);
}

} // namespace

bool is_refusal(const http::response_header<>& header,
                const response_marks& marks)
{
    return header.result_int() == status_misdirected ||
           !header_value(header, marks.not_executed).empty();
}

response_match match_response(const http::response_header<>& header,
                              const response_marks& marks, std::string_view id,
                              bool first_on_connection)
{
    const auto echoed = header_value(header, marks.request_id);
    const bool named = echoed == id;
    if (!named && !echoed.empty())
        return response_match::other_request;
    const bool seals_used = !marks.seal.empty();
    const bool sealed = seals_used && has_seal(header, marks.seal);
    if (named)
        return is_success(header.result_int()) && seals_used && !sealed
                   ? response_match::no_seal
                   : response_match::answer;
    if (!first_on_connection)
        return response_match::no_id;
    const auto status = header.result_int();
    const bool failed = status >= first_server_error ||
                        (is_refusal(header, marks) && !is_success(status));
    return !seals_used || sealed || failed ? response_match::answer
                                           : response_match::no_id;
}

} // namespace parsleyplank::proxy
