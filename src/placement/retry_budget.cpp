#include <parsleyplank/placement/retry_budget.hpp>

#include <algorithm>

namespace parsleyplank::placement
{

void record_request(retry_budget& budget)
{
    budget.available =
        std::min(budget.available + budget.retry_ratio, budget.max_available);
}

bool take_retry(retry_budget& budget)
{
    if (budget.available < 1)
        return false;
    budget.available -= 1;
    return true;
}

} // namespace parsleyplank::placement
