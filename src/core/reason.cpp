#include <parsleyplank/core/reason.hpp>

namespace parsleyplank
{

std::string_view to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::missing_key:
        return "missing_key";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::wrong_customer:
        return "wrong_customer";
    case refusal_reason::stale_state:
        return "stale_state";
    case refusal_reason::customer_rate:
        return "customer_rate";
    case refusal_reason::missing_idempotency_key:
        return "missing_idempotency_key";
    case refusal_reason::key_reused:
        return "key_reused";
    case refusal_reason::duplicate_in_flight:
        return "duplicate_in_flight";
    case refusal_reason::claim_timeout:
        return "claim_timeout";
    case refusal_reason::claim_outcome_unknown:
        return "claim_outcome_unknown";
    case refusal_reason::no_capacity:
        return "no_capacity";
    case refusal_reason::admission_level:
        return "admission_level";
    case refusal_reason::link_bandwidth:
        return "link_bandwidth";
    case refusal_reason::shift_cap:
        return "shift_cap";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::body_memory:
        return "body_memory";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::backend_failed:
        return "backend_failed";
    case refusal_reason::backend_shed:
        return "backend_shed";
    case refusal_reason::backend_incomplete:
        return "backend_incomplete";
    }
    return "unknown_reason";
}

std::string_view to_string(retry_reason reason)
{
    switch (reason)
    {
    case retry_reason::connect_failed:
        return "connect_failed";
    case retry_reason::backend_shed:
        return "backend_shed";
    case retry_reason::connection_lost:
        return "connection_lost";
    case retry_reason::incomplete_response:
        return "incomplete_answer";
    case retry_reason::unresponsive_connection:
        return "silent_connection";
    case retry_reason::claim_conflict:
        return "claim_conflict";
    }
    return "unknown_reason";
}

std::string_view to_string(run_outcome outcome)
{
    switch (outcome)
    {
    case run_outcome::result:
        return "result";
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

int http_status(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::bad_request:
    case refusal_reason::missing_idempotency_key:
        return 400;
    case refusal_reason::missing_key:
    case refusal_reason::unknown_key:
        return 401;
    case refusal_reason::wrong_customer:
        return 403;
    case refusal_reason::no_route:
        return 404;
    case refusal_reason::duplicate_in_flight:
        return 409;
    case refusal_reason::key_reused:
        return 422;
    case refusal_reason::customer_rate:
        return 429;
    case refusal_reason::backend_failed:
    case refusal_reason::backend_incomplete:
        return 502;
    case refusal_reason::deadline:
    case refusal_reason::claim_outcome_unknown:
        return 504;
    case refusal_reason::stale_state:
    case refusal_reason::claim_timeout:
    case refusal_reason::no_capacity:
    case refusal_reason::admission_level:
    case refusal_reason::link_bandwidth:
    case refusal_reason::shift_cap:
    case refusal_reason::draining:
    case refusal_reason::body_memory:
    case refusal_reason::backend_shed:
        return 503;
    }
    return 500;
}

} // namespace parsleyplank
