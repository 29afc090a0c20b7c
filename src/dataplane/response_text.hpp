#ifndef PARSLEYPLANK_DATAPLANE_RESPONSE_TEXT_HPP
#define PARSLEYPLANK_DATAPLANE_RESPONSE_TEXT_HPP

// Writes responses as bytes. Pistache's ResponseWriter is not used: it does not
// send headers added by addRaw, and the promise that it returns is resolved
// without a lock, so that no other thread may wait for it.

#include <parsleyplank/dataplane/http_front.hpp>

#include <string>

namespace parsleyplank::dataplane
{

// Returns the response with the headers Content-Length and Connection. The body
// is left out of responses that have none (to HEAD; status 1xx, 204 and 304).
// Leaves out a header whose name or value holds a control character, since that
// could split the response, and the two headers that it sets itself.
std::string format_response(const outbound_response& response, bool close,
                            bool wants_body);

} // namespace parsleyplank::dataplane

#endif
