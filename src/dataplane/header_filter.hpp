#ifndef PARSLEYPLANK_DATAPLANE_HEADER_FILTER_HPP
#define PARSLEYPLANK_DATAPLANE_HEADER_FILTER_HPP

// Decides which headers and query parameters pass between callers and backend
// servers. Only names on an allow-list pass, so hop-by-hop headers, cookies and
// API keys under any header name stay at the entry instance.

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::dataplane
{

struct header_field
{
    // Lower-case name.
    std::string name;
    std::string value;

    bool operator==(const header_field&) const = default;
};

using header_list = std::vector<header_field>;

// Returns the value of the first field of this lower-case name, or nullptr.
const std::string* find_header(std::span<const header_field> fields,
                               std::string_view name);

// Returns the fields of a caller's request that a backend server may see. Drops
// every field whose value holds the API key; an empty key drops none.
header_list filter_request_headers(std::span<const header_field> fields,
                                   std::string_view api_key);

// Returns the fields of a backend server's response that the caller may see.
// Fields of one name are joined by ", ".
header_list filter_response_headers(std::span<const header_field> fields);

// Returns the request target (path and query) without the query parameters
// that are named like a key or hold the API key, plain or percent-encoded.
// Returns nullopt if the path holds the API key.
std::optional<std::string> filter_target(std::string_view path,
                                         std::string_view query,
                                         std::string_view api_key);

// Returns whether the text holds the API key, plain or percent-encoded.
bool holds_key(std::string_view text, std::string_view api_key);

} // namespace parsleyplank::dataplane

#endif
