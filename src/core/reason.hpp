#ifndef PARSLEYPLANK_CORE_REASON_HPP
#define PARSLEYPLANK_CORE_REASON_HPP

// Reasons why a request is refused or retried, and what is known about whether
// it ran. Each reason has a counter and appears in logs and responses under the
// name that to_string returns.

#include <array>
#include <string_view>

namespace parsleyplank
{

// What the caller may assume about the execution of its request.
enum class run_outcome
{
    result,  // the response comes from the backend server
    not_run, // no backend server ran or will run this request
    unknown  // it may have run
};

// Why a request gets an error response instead of the backend server's
// response.
enum class refusal_reason
{
    bad_request,
    no_route,
    missing_key,
    unknown_key,
    wrong_customer,
    stale_state,
    customer_rate,
    missing_idempotency_key,
    key_reused,
    duplicate_in_flight,
    claim_timeout,
    claim_outcome_unknown,
    no_capacity,
    admission_level,
    link_bandwidth,
    shift_cap,
    draining,
    body_memory,
    deadline,
    backend_failed,
    backend_shed,
    backend_incomplete
};

// Why a request is tried again.
enum class retry_reason
{
    connect_failed,
    backend_shed,
    connection_lost,
    incomplete_response,
    unresponsive_connection,
    claim_conflict
};

inline constexpr std::array all_refusal_reasons{
    refusal_reason::bad_request,    refusal_reason::no_route,
    refusal_reason::missing_key,    refusal_reason::unknown_key,
    refusal_reason::wrong_customer, refusal_reason::stale_state,
    refusal_reason::customer_rate,  refusal_reason::missing_idempotency_key,
    refusal_reason::key_reused,     refusal_reason::duplicate_in_flight,
    refusal_reason::claim_timeout,  refusal_reason::claim_outcome_unknown,
    refusal_reason::no_capacity,    refusal_reason::admission_level,
    refusal_reason::link_bandwidth, refusal_reason::shift_cap,
    refusal_reason::draining,       refusal_reason::body_memory,
    refusal_reason::deadline,       refusal_reason::backend_failed,
    refusal_reason::backend_shed,   refusal_reason::backend_incomplete,
};

inline constexpr std::array all_retry_reasons{
    retry_reason::connect_failed,          retry_reason::backend_shed,
    retry_reason::connection_lost,         retry_reason::incomplete_response,
    retry_reason::unresponsive_connection, retry_reason::claim_conflict,
};

// Returns the name used in headers, metrics and logs, e.g. "stale_state".
std::string_view to_string(refusal_reason reason);
std::string_view to_string(retry_reason reason);

// Returns "result", "not-run" or "unknown".
std::string_view to_string(run_outcome outcome);

// Returns the HTTP status of a response that refuses for this reason.
int http_status(refusal_reason reason);

} // namespace parsleyplank

#endif
