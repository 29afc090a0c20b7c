#include <parsleyplank/dataplane/header_filter.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace parsleyplank::dataplane
{

namespace
{

// Request fields that backend servers may see. Cookie, Authorization and all
// hop-by-hop fields are left out on purpose.
constexpr std::array<std::string_view, 18> request_names{
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-md5",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-range",
    "if-unmodified-since",
    "range",
    "user-agent",
};

// Trace context fields pass, so that operators can follow a request.
constexpr std::array<std::string_view, 2> trace_names{"traceparent",
                                                      "tracestate"};

constexpr std::array<std::string_view, 17> response_names{
    "accept-ranges",
    "age",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-location",
    "content-range",
    "content-type",
    "date",
    "etag",
    "expires",
    "last-modified",
    "location",
    "retry-after",
    "vary",
};

// Query parameters that could carry a key, without case and punctuation.
constexpr std::array<std::string_view, 14> key_parameters{
    "accesskey",     "accesstoken", "apitoken", "auth",      "authkey",
    "authorization", "authtoken",   "bearer",   "clientkey", "key",
    "secret",        "secretkey",   "token",    "xkey",
};

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        const bool escape = text[n] == '%' && n + 2 < text.size() &&
                            hex_digit(text[n + 1]) >= 0 &&
                            hex_digit(text[n + 2]) >= 0;
        if (escape)
        {
            decoded.push_back(static_cast<char>(16 * hex_digit(text[n + 1]) +
                                                hex_digit(text[n + 2])));
            n += 2;
        }
        else
            decoded.push_back(text[n]);
    }
    return decoded;
}

// Returns whether the name, decoded, reduced to lower-case letters and digits,
// is that of a key.
bool named_like_key(std::string_view name)
{
    // Twice, because some servers decode twice.
    const auto decoded = percent_decode(percent_decode(name));
    std::string plain;
    std::ranges::for_each(decoded,
                          [&](unsigned char c)
                          {
                              if (std::isalnum(c) != 0)
                                  plain.push_back(
                                      static_cast<char>(std::tolower(c)));
                          });
    return plain.find("apikey") != std::string::npos ||
           std::ranges::find(key_parameters, plain) != key_parameters.end();
}

template <std::size_t Size>
bool listed(const std::array<std::string_view, Size>& names,
            std::string_view name)
{
    return std::ranges::find(names, name) != names.end();
}

bool keeps_parameter(std::string_view parameter, std::string_view api_key)
{
    return !named_like_key(parameter.substr(0, parameter.find('='))) &&
           !holds_key(parameter, api_key);
}

} // namespace

const std::string* find_header(std::span<const header_field> fields,
                               std::string_view name)
{
    const auto it = std::ranges::find(fields, name, &header_field::name);
    return it == fields.end() ? nullptr : &it->value;
}

header_list filter_request_headers(std::span<const header_field> fields,
                                   std::string_view api_key)
{
    header_list kept;
    std::ranges::copy_if(fields, std::back_inserter(kept),
                         [&](const header_field& it)
                         {
                             return (listed(request_names, it.name) ||
                                     listed(trace_names, it.name)) &&
                                    !holds_key(it.value, api_key);
                         });
    return kept;
}

header_list filter_response_headers(std::span<const header_field> fields)
{
    header_list kept;
    for (const auto& field : fields)
    {
        if (!listed(response_names, field.name))
            continue;
        const auto it =
            std::ranges::find(kept, field.name, &header_field::name);
        if (it == kept.end())
            kept.push_back(field);
        else
            it->value += ", " + field.value;
    }
    return kept;
}

std::optional<std::string> filter_target(std::string_view path,
                                         std::string_view query,
                                         std::string_view api_key)
{
    if (holds_key(path, api_key))
        return std::nullopt;
    std::string target(path);
    char separator = '?';
    while (!query.empty())
    {
        // Some servers take ';' as a separator too, so each part between either
        // one is judged.
        const auto end = std::min(query.find_first_of("&;"), query.size());
        const auto parameter = query.substr(0, end);
        if (!parameter.empty() && keeps_parameter(parameter, api_key))
        {
            target += separator;
            target += parameter;
        }
        if (end == query.size())
            break;
        if (target.size() > path.size())
            separator = query[end];
        query.remove_prefix(end + 1);
    }
    // A key that holds a separator may be spread over several parts.
    if (holds_key(std::string_view(target).substr(path.size()), api_key))
        return std::string(path);
    return target;
}

bool holds_key(std::string_view text, std::string_view api_key)
{
    if (api_key.empty())
        return false;
    if (text.find(api_key) != std::string_view::npos)
        return true;
    if (text.find('%') == std::string_view::npos)
        return false;
    const auto once = percent_decode(text);
    return once.find(api_key) != std::string::npos ||
           percent_decode(once).find(api_key) != std::string::npos;
}

} // namespace parsleyplank::dataplane
