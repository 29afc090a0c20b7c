#ifndef PARSLEYPLANK_PLACEMENT_RETRY_BUDGET_HPP
#define PARSLEYPLANK_PLACEMENT_RETRY_BUDGET_HPP

// Bounds retries and hedges to a part of the requests, so that retries do not
// multiply the load of a failing upstream.

namespace parsleyplank::placement
{

struct retry_budget
{
    // Retries allowed per request.
    double retry_ratio = 0.1;
    // Retries that may be saved up; also the start value, so that an upstream
    // with few requests can retry at all.
    double max_available = 5;
    double available = 5;
};

// Records a first attempt.
void record_request(retry_budget& budget);

// Takes one retry. Returns false if the budget is used up. Over any run of n
// requests at most retry_ratio * n + max_available retries are allowed.
bool take_retry(retry_budget& budget);

} // namespace parsleyplank::placement

#endif
