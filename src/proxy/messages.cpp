#include <parsleyplank/proxy/messages.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace parsleyplank::proxy
{

namespace
{

beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

// Returns the elements of the Connection header.
std::vector<std::string> connection_options(const http::fields& fields)
{
    std::vector<std::string> found;
    const auto range = fields.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it)
        for (const auto& token : http::token_list(it->value()))
            found.emplace_back(token.data(), token.size());
    return found;
}

} // namespace

void respond(exchange& ex, response_message response)
{
    if (ex.response || ex.cancelled)
        return;
    ex.response = std::move(response);
    if (ex.on_response)
        ex.on_response();
}

void cancel(exchange& ex, close_reason reason)
{
    if (ex.cancelled || ex.response)
        return;
    ex.cancelled = true;
    ex.closed_by = reason;
    if (const auto notify = std::exchange(ex.on_cancel, nullptr))
        notify();
}

response_message make_response(unsigned status, std::string_view text)
{
    constexpr unsigned http_1_1 = 11;
    response_message response(static_cast<http::status>(status), http_1_1);
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(text);
    return response;
}

void finish_response(response_message& response, http::verb request_method,
                     bool keep_alive)
{
    response.keep_alive(keep_alive);
    const bool never_has_body = response.result_int() / 100 == 1 ||
                                response.result() == http::status::no_content ||
                                response.result() == http::status::not_modified;
    if (!never_has_body && request_method != http::verb::head)
    {
        response.prepare_payload();
        return;
    }
    if (never_has_body)
        response.erase(http::field::content_length);
    else if (!response.body().empty())
        response.content_length(response.body().size());
    response.erase(http::field::transfer_encoding);
    response.body().clear();
}

std::string_view header_value(const http::fields& fields, std::string_view name)
{
    const auto it = fields.find(to_beast(name));
    if (it == fields.end())
        return {};
    return {it->value().data(), it->value().size()};
}

bool is_connection_header(const http::fields& fields, std::string_view name)
{
    return std::ranges::any_of(connection_options(fields),
                               [&](const std::string& it)
                               { return beast::iequals(it, to_beast(name)); });
}

void remove_connection_headers(http::fields& fields)
{
    const auto named = connection_options(fields);
    for (const auto& name : named)
        fields.erase(name);
    constexpr std::array fixed{http::field::connection,
                               http::field::keep_alive,
                               http::field::proxy_connection,
                               http::field::transfer_encoding,
                               http::field::te,
                               http::field::trailer,
                               http::field::upgrade,
                               http::field::content_length,
                               http::field::expect,
                               http::field::proxy_authenticate,
                               http::field::proxy_authorization};
    for (const auto field : fixed)
        fields.erase(field);
}

} // namespace parsleyplank::proxy
