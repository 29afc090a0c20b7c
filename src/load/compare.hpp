#ifndef PARSLEYPLANK_LOAD_COMPARE_HPP
#define PARSLEYPLANK_LOAD_COMPARE_HPP

// Compares the results of two load runs.

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace parsleyplank::load
{

// "p99_ms", "refused_within_rate", "admission_shortfall" and "unknown"; lower
// is better in each.
const std::vector<std::string>& known_measures();

struct comparison
{
    // One line per difference between the totals and the customers.
    std::vector<std::string> lines;
    // Chosen measures whose total got worse by more than the tolerance.
    std::vector<std::string> worse;
};

// The tolerance is in percent of the first value. Throws error for an unknown
// measure and codec_error, which names the value, for JSON that is no result of
// a run.
comparison compare(const nlohmann::json& before, const nlohmann::json& after,
                   const std::vector<std::string>& measures,
                   double tolerance_percent);

} // namespace parsleyplank::load

#endif
