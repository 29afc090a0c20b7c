#ifndef PARSLEYPLANK_EDGE_RESPONSE_HEADERS_HPP
#define PARSLEYPLANK_EDGE_RESPONSE_HEADERS_HPP

// Reads what a backend server says of itself in the headers of its responses.

#include <parsleyplank/edge/adapter.hpp>
#include <parsleyplank/proxy/response_match.hpp>
#include <parsleyplank/steering/server_load.hpp>
#include <parsleyplank/steering/server_notice.hpp>

#include <optional>
#include <string>

namespace parsleyplank::edge
{

// Returns the headers by which a response is recognised.
proxy::response_marks marks_of(const header_names& names);

// Returns the load that the response reports, or nullopt if there is none or it
// can't be read.
std::optional<steering::reported_load>
read_load(const header_names& names, const proxy::response_message& response);

struct read_notice_result
{
    steering::server_notice notice;
    // Description of a value that can't be read; empty if there is none.
    std::string problem;
};

// Returns what the response asks of its callers. Of several limits the lowest
// holds. Values that can't be read are ignored.
read_notice_result read_notice(const header_names& names,
                               const proxy::response_message& response);

} // namespace parsleyplank::edge

#endif
