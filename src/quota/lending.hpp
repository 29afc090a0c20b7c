#ifndef PARSLEYPLANK_QUOTA_LENDING_HPP
#define PARSLEYPLANK_QUOTA_LENDING_HPP

// How rate should lie between instances: in proportion to their demand. Each
// instance computes the same targets from the demand that all tell, so that
// lenders and borrowers act on one plan without agreeing on it. A wrong or old
// view costs efficiency only.

#include <span>
#include <vector>

namespace parsleyplank::quota
{

struct lending_party
{
    // Rate of the home share.
    double home = 0;
    // Arrivals per second.
    double demand = 0;
};

// Returns the rate that each party should be able to use. The targets sum to
// the sum of the homes.
std::vector<double> target_rates(std::span<const lending_party> parties);

// Returns the rate that the lender should have lent to the borrower: its
// surplus over its target goes to the parties below theirs in proportion to
// what they lack.
double planned_loan(std::span<const lending_party> parties,
                    std::span<const double> targets, std::size_t lender,
                    std::size_t borrower);

} // namespace parsleyplank::quota

#endif
