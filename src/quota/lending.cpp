#include <parsleyplank/quota/lending.hpp>

#include <algorithm>

namespace parsleyplank::quota
{

namespace
{

// Fraction of the total rate that is distributed evenly regardless of demand,
// so that an idle instance can serve its first request.
constexpr double even_fraction = 0.01;

} // namespace

std::vector<double> target_rates(std::span<const lending_party> parties)
{
    double home = 0;
    double demand = 0;
    for (const auto& it : parties)
    {
        home += it.home;
        demand += it.demand;
    }
    const double even = 1.0 / static_cast<double>(parties.size());
    std::vector<double> targets;
    targets.reserve(parties.size());
    for (const auto& it : parties)
    {
        const double wanted = demand > 0 ? it.demand / demand : even;
        targets.push_back(
            home * (wanted * (1 - even_fraction) + even * even_fraction));
    }
    return targets;
}

double planned_loan(std::span<const lending_party> parties,
                    std::span<const double> targets, std::size_t lender,
                    std::size_t borrower)
{
    const double surplus = parties[lender].home - targets[lender];
    const double lack = targets[borrower] - parties[borrower].home;
    if (surplus <= 0 || lack <= 0)
        return 0;
    double all = 0;
    for (std::size_t i = 0; i < parties.size(); ++i)
        all += std::max(0.0, targets[i] - parties[i].home);
    return surplus * lack / all;
}

} // namespace parsleyplank::quota
