#ifndef PARSLEYPLANK_ENTRY_REQUEST_DISPATCH_HPP
#define PARSLEYPLANK_ENTRY_REQUEST_DISPATCH_HPP

// The part of a request's way from an admitted request to the end of its last
// try: placement, the queue of an upstream without a free slot, the last
// checks, the call of the backend server, and retries.

#include <parsleyplank/entry/request_flow.hpp>

namespace parsleyplank::entry
{

// Tells whether state that is not fresh forbids the request.
bool forbidden_by_staleness(const request_flow& flow, node_context& context,
                            const active_request& r);

// Places a request that may run and sends it, queues it or refuses it.
void place_request_now(request_flow& flow, node_context& context,
                       std::uint64_t number);

// Refuses queued requests whose time is over and gives free slots to others in
// fair order.
void serve_queues(request_flow& flow, node_context& context);

} // namespace parsleyplank::entry

#endif
