#ifndef PARSLEYPLANK_PLACEMENT_RETRY_BUDGET_HPP
#define PARSLEYPLANK_PLACEMENT_RETRY_BUDGET_HPP

// Limits retries and hedged requests to a fraction of the requests, so that
// they do not multiply the load of a failing upstream.

namespace parsleyplank::placement
{

struct retry_budget
{
    // Retries that each request adds to the budget.
    double retry_ratio = 0.1;
    // Maximum of available, and its initial value, so that an upstream with few
    // requests can retry at all.
    double max_available = 5;
    // Retries that may be made now.
    double available = 5;
};

// Adds a first attempt to the budget.
void record_request(retry_budget& budget);

// Takes one retry from the budget. Returns false if the budget is exhausted.
// Over any n consecutive requests, at most retry_ratio * n + max_available
// retries are allowed.
bool take_retry(retry_budget& budget);

} // namespace parsleyplank::placement

#endif
