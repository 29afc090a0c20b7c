#ifndef PARSLEYPLANK_ENTRY_CALLER_HANDLER_HPP
#define PARSLEYPLANK_ENTRY_CALLER_HANDLER_HPP

// What a traffic thread decides by itself, from the snapshot: look-ups, and the
// route and customer of a request.

#include <parsleyplank/entry/request_flow.hpp>
#include <parsleyplank/entry/snapshot.hpp>

#include <optional>
#include <string_view>

namespace parsleyplank::entry
{

struct route_result
{
    // Set if the request is refused; it has not run.
    std::optional<refusal_reason> refusal;
    routed_request request;
};

// Finds the route and the customer of a request. A null snapshot means that no
// configuration is held yet.
route_result route_request(const traffic_snapshot* snapshot,
                           dataplane::inbound_request in,
                           const dataplane::responder& out,
                           const request_id& id);

// Returns the response to a look-up with this query.
dataplane::outbound_response
answer_caller_lookup(const traffic_snapshot* snapshot, std::string_view query);

} // namespace parsleyplank::entry

#endif
