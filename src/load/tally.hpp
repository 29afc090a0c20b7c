#ifndef PARSLEYPLANK_LOAD_TALLY_HPP
#define PARSLEYPLANK_LOAD_TALLY_HPP

// Results of a load run: counts and latencies per customer and route.

#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/load/histogram.hpp>
#include <parsleyplank/load/schedule.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <string>
#include <vector>

namespace parsleyplank::load
{

// The final outcome of one scheduled request.
struct completion
{
    run_outcome outcome = run_outcome::unknown;
    std::string reason;
    bool replayed = false;
    // Since the scheduled time.
    microseconds latency{0};
    // Attempts that were sent and got no complete response.
    std::uint64_t cut_off_attempts = 0;
    // Attempts beyond the first, at other instances or with the same key.
    std::uint64_t further_attempts = 0;
};

struct tally
{
    std::uint64_t sent = 0;
    std::uint64_t results = 0;
    std::uint64_t unknown = 0;
    // Results that were stored ones.
    std::uint64_t replayed = 0;
    std::uint64_t scheduled_repeats = 0;
    // Subject to the customer's rate, the results among these, and those that
    // the reference bucket admits.
    std::uint64_t limited = 0;
    std::uint64_t limited_results = 0;
    std::uint64_t within_rate = 0;
    // "Not run" for customer_rate although within the rate.
    std::uint64_t refused_within_rate = 0;
    std::uint64_t cut_off_attempts = 0;
    std::uint64_t further_attempts = 0;
    std::map<std::string, std::uint64_t> not_run;
    std::map<std::string, std::uint64_t> unknown_by_reason;
    // Latency of results.
    histogram latency;
};

void add(tally& to, const arrival& request, const completion& end);
void merge(tally& to, const tally& other);

// Returns how many requests fewer than the reference bucket the fleet admitted,
// 0 if it admitted as many or more. Of a customer that exceeds its rate the
// fleet admits other requests than the reference, so that refused_within_rate
// alone overstates what the customer lost.
std::uint64_t admission_shortfall(const tally& t);

struct run_results
{
    std::string scenario;
    std::uint64_t seed = 0;
    double duration_s = 0;
    // Of this machine over the last minute, at the start and at the end.
    std::array<double, 2> machine_load{0, 0};
    std::vector<std::string> customers;
    std::vector<std::string> routes;
    // [customer][route]
    std::vector<std::vector<tally>> counts;
    std::uint64_t faults_failed = 0;
    // Largest delay of a start after its scheduled time; large values say that
    // this program was the bottleneck.
    microseconds largest_start_delay{0};
};

// Returns empty results with the scenario's names.
run_results make_results(const scenario& s);

// Returns the customer with the fewest results in proportion to its requests
// within the rate (to all requests, if its rate is not known); of equal ones,
// that with the highest p99 latency. Empty if nothing was sent.
std::string worst_served(const run_results& results);

nlohmann::json to_json(const run_results& results);

// Returns a table with a line per customer and route.
std::string to_table(const run_results& results);

} // namespace parsleyplank::load

#endif
