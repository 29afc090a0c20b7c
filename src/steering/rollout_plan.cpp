#include <parsleyplank/rollout/version_comparison.hpp>
#include <parsleyplank/steering/rollout_plan.hpp>

#include <algorithm>

namespace parsleyplank::steering
{

namespace
{

version_tally sum(const version_tally& a, const version_tally& b)
{
    return {a.good + b.good, a.bad + b.bad, a.slow + b.slow};
}

std::uint64_t difference(std::uint64_t later, std::uint64_t earlier)
{
    return later - std::min(later, earlier);
}

version_tally difference(const version_tally& later,
                         const version_tally& earlier)
{
    return {difference(later.good, earlier.good),
            difference(later.bad, earlier.bad),
            difference(later.slow, earlier.slow)};
}

// Returns a description if the target's sample has significantly more faulty
// responses.
std::optional<std::string> compare(const char* what,
                                   const rollout::sample& target,
                                   const rollout::sample& others,
                                   const rollout_options& options)
{
    const auto part =
        static_cast<double>(target.faulty) /
        static_cast<double>(std::max<std::uint64_t>(1, target.total));
    if (target.faulty < options.min_faulty || part < options.min_faulty_part ||
        rollout::fisher_tail(target, others) >= options.significance)
        return std::nullopt;
    return std::to_string(target.faulty) + " of " +
           std::to_string(target.total) + " " + what + " on the new version, " +
           std::to_string(others.faulty) + " of " +
           std::to_string(others.total) + " on the others";
}

} // namespace

rollout_tally operator+(const rollout_tally& a, const rollout_tally& b)
{
    return {sum(a.target, b.target), sum(a.others, b.others)};
}

rollout_tally operator-(const rollout_tally& later,
                        const rollout_tally& earlier)
{
    return {difference(later.target, earlier.target),
            difference(later.others, earlier.others)};
}

std::optional<std::string> find_regression(const rollout_tally& fleet,
                                           const rollout_options& options)
{
    const auto& target = fleet.target;
    const auto& others = fleet.others;
    auto fault = compare("failed", {target.bad, target.bad + target.good},
                         {others.bad, others.bad + others.good}, options);
    if (!fault)
        fault = compare("slow", {target.slow, target.good},
                        {others.slow, others.good}, options);
    return fault;
}

share_ppm planned_share(double elapsed_part, const rollout_tally& fleet,
                        const rollout_options& options)
{
    if (elapsed_part < options.trial_part ||
        fleet.target.good < options.min_good)
        return options.first_share;
    if (elapsed_part < options.trial_part + options.step_part)
        return options.second_share;
    if (elapsed_part < options.trial_part + 2 * options.step_part)
        return options.third_share;
    return share_ppm{ppm_total};
}

bool rollout_complete(milliseconds time_at_full_share, milliseconds settling)
{
    return time_at_full_share >= settling;
}

std::string_view to_string(rollout_phase phase)
{
    switch (phase)
    {
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        return "rolled_back";
    case rollout_phase::running:
        break;
    }
    return "running";
}

} // namespace parsleyplank::steering
