#ifndef PARSLEYPLANK_ENTRY_REQUEST_ANSWER_HPP
#define PARSLEYPLANK_ENTRY_REQUEST_ANSWER_HPP

// The ends of a request: each answers the caller, counts, records the decision
// and forgets the request. References to it are invalid afterwards.

#include <parsleyplank/entry/request_flow.hpp>

#include <string>

namespace parsleyplank::entry
{

// Adds a step to the decision of a request.
void note(node_context& context, active_request& r, std::string step,
          std::string text);

// Refuses a request with what is known about its outcome.
void refuse(request_flow& flow, node_context& context, std::uint64_t number,
            refusal_reason reason, run_outcome outcome);

// Refuses a request that no server runs now. Its claim is released, unless an
// earlier try may have run.
void refuse_unsent(request_flow& flow, node_context& context,
                   std::uint64_t number, refusal_reason reason);

// Passes the response of a backend server on and records it with the claim.
void pass_response(request_flow& flow, node_context& context,
                   std::uint64_t number, const dataplane::call_result& result);

// Returns the stored response of an earlier request with the same key.
void replay(request_flow& flow, node_context& context, std::uint64_t number,
            const claims::stored_response& kept);

} // namespace parsleyplank::entry

#endif
