#ifndef PARSLEYPLANK_QUOTA_LENDING_HPP
#define PARSLEYPLANK_QUOTA_LENDING_HPP

// Distributes a customer's rate over the instances in proportion to their
// demand. Each instance computes the targets from the demand that all report,
// so that lenders and borrowers follow the same plan without coordination.
// Wrong or stale reports only cost efficiency.

#include <span>
#include <vector>

namespace parsleyplank::quota
{

// Rate and demand of one instance for one customer.
struct lending_party
{
    // Rate of the home share, in tokens per second.
    double home = 0;
    // Arrivals per second.
    double demand = 0;
};

// Returns the rate that each party should be able to use. The targets sum to
// the sum of the home rates. Assumes at least one party.
std::vector<double> target_rates(std::span<const lending_party> parties);

// Returns the rate that the lender should lend to the borrower in total. The
// lender's surplus over its target is divided among the parties below their
// targets in proportion to what they lack.
double planned_loan(std::span<const lending_party> parties,
                    std::span<const double> targets, std::size_t lender,
                    std::size_t borrower);

} // namespace parsleyplank::quota

#endif
