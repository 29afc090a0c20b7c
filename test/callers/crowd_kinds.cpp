#include "crowd_kinds.hpp"

#include <map>

namespace callers
{

namespace
{

// Every so many callers, one completes its request.
constexpr std::size_t completing_part = 8;
// Requests that one caller sends ahead.
constexpr int requests_ahead = 40;
constexpr int small_requests_ahead = 4'000;
constexpr std::size_t small_piece = 700;
constexpr milliseconds slow_interval{50};

std::string head(const request_place& place, const std::string& method,
                 const std::string& more)
{
    return method + " " + place.path +
           " HTTP/1.1\r\nHost: 127.0.0.1\r\nParsleyplank-Request-Id: "
           "crowd\r\nParsleyplank-Deadline-Ms: 20000\r\n" +
           more + "\r\n";
}

std::string length_line(std::size_t n)
{
    return "Content-Length: " + std::to_string(n) + "\r\n";
}

std::string small_request(const request_place& place)
{
    return head(place, place.small_method,
                place.small_body.empty()
                    ? ""
                    : length_line(place.small_body.size())) +
           place.small_body;
}

// Lines of the shortest fields that a head of legal size holds.
std::string many_fields()
{
    constexpr std::size_t other_lines = 512;
    std::string lines;
    while (lines.size() < max_header_bytes - other_lines)
        lines += "a:\r\n";
    return lines;
}

// Returns chunks that hold a body of this size.
std::string chunks(std::size_t bytes, std::size_t each)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string size;
    for (auto n = each; n > 0; n /= 16)
        size.insert(size.begin(), digits[n % 16]);
    const auto chunk = size + "\r\n" + std::string(each, 'b') + "\r\n";
    std::string all;
    for (std::size_t n = 0; n + each <= bytes; n += each)
        all += chunk;
    return all;
}

std::string repeat(const std::string& text, int n)
{
    std::string all;
    for (int i = 0; i < n; ++i)
        all += text;
    return all;
}

struct kind
{
    // Returns what is sent by a caller that completes its request, or by one
    // that does not.
    std::function<std::string(const request_place&, bool completes)> bytes;
    caller_plan plan;
};

std::string whole_body(const request_place& place, bool completes)
{
    return head(place, "POST", length_line(max_body_bytes)) +
           std::string(max_body_bytes - (completes ? 0 : 1), 'b');
}

std::string chunked_body(const request_place& place, bool completes)
{
    return head(place, "POST", "Transfer-Encoding: chunked\r\n") +
           chunks(max_body_bytes - 1'000, 1'000) +
           (completes ? "0\r\n\r\n" : "");
}

// Stops in the extension of a chunk, which is read ahead whole.
std::string chunk_extension(const request_place& place, bool completes)
{
    constexpr std::size_t extension_bytes = 80'000;
    return head(place, "POST", "Transfer-Encoding: chunked\r\n") +
           "4;e=" + std::string(extension_bytes, 'e') +
           (completes ? "\r\nbody\r\n0\r\n\r\n" : "");
}

std::string oversized_body(const request_place& place, bool completes)
{
    constexpr std::size_t factor = 4;
    const auto bytes = factor * max_body_bytes;
    return completes ? head(place, "POST", length_line(bytes)) +
                           std::string(bytes, 'b')
                     : head(place, "POST", "Transfer-Encoding: chunked\r\n") +
                           chunks(bytes, 100'000);
}

std::string field_request(const request_place& place, bool completes)
{
    return head(place, "POST", many_fields() + length_line(100)) +
           std::string(completes ? 100 : 99, 'b');
}

std::string field_requests(const request_place& place, bool /*completes*/)
{
    return repeat(head(place, place.small_method,
                       many_fields() + length_line(place.small_body.size())) +
                      place.small_body,
                  requests_ahead);
}

std::string small_requests(const request_place& place, bool /*completes*/)
{
    return repeat(small_request(place), small_requests_ahead);
}

// Stops within the head of a request, after one that is complete.
std::string half_head(const request_place& place, bool completes)
{
    const auto whole = head(place, "GET", many_fields());
    return small_request(place) +
           whole.substr(0, whole.size() - (completes ? 0 : 4));
}

std::map<std::string, kind> make_kinds()
{
    const auto plan =
        [](std::size_t piece, milliseconds interval, std::size_t read_piece)
    {
        caller_plan it;
        it.piece = piece;
        it.interval = interval;
        it.read_piece = read_piece;
        return it;
    };
    const caller_plan at_once;
    const milliseconds none{0};
    return {{"whole_bodies", {whole_body, at_once}},
            {"pieces", {whole_body, plan(small_piece, none, 0)}},
            {"chunked", {chunked_body, at_once}},
            {"chunk_extensions", {chunk_extension, at_once}},
            {"oversized", {oversized_body, at_once}},
            {"many_fields", {field_request, at_once}},
            {"many_fields_ahead", {field_requests, at_once}},
            {"unread_responses", {small_requests, at_once}},
            {"slow_senders", {whole_body, plan(20'000, slow_interval, 4'096)}},
            {"slow_readers", {small_requests, plan(20'000, slow_interval, 64)}},
            {"half_way", {half_head, at_once}}};
}

} // namespace

std::vector<caller_plan> make_crowd(const std::string& name,
                                    const request_place& place,
                                    std::size_t count)
{
    const auto it = make_kinds().at(name);
    const auto bytes = [&](bool completes)
    {
        return std::make_shared<const std::string>(it.bytes(place, completes));
    };
    const auto complete = bytes(true);
    const auto incomplete = bytes(false);
    std::vector<caller_plan> crowd(count, it.plan);
    for (std::size_t n = 0; n < count; ++n)
    {
        crowd[n].port = place.port;
        crowd[n].bytes = n % completing_part == 0 ? complete : incomplete;
    }
    return crowd;
}

} // namespace callers
