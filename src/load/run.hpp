#ifndef PARSLEYPLANK_LOAD_RUN_HPP
#define PARSLEYPLANK_LOAD_RUN_HPP

// Runs a scenario against a fleet.

#include <parsleyplank/load/caller.hpp>
#include <parsleyplank/load/tally.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleyplank::load
{

struct run_settings
{
    // Instances to ask for the first look-up.
    std::vector<endpoint> entries;
    // First part of idempotency keys; differs between runs on one fleet.
    std::string run_id;
    // After the last scheduled time, requests still open are counted as unknown
    // after this long.
    milliseconds grace{30'000};
    // Called with the idempotency key of each at-most-once request, scheduled
    // repeats included. May be empty.
    std::function<void(const std::string& key, const completion& end)> on_order;
    // Called with one line per fault call. May be empty.
    std::function<void(const std::string& line)> on_fault;
};

// Returns "ADDRESS:PORT" as an endpoint. Throws error that names the text.
endpoint parse_endpoint(const std::string& text);

// Sends the scenario's requests at their times and returns the results when all
// have ended. Throws error if libcurl can't be set up.
run_results run_scenario(const scenario& s, const run_settings& settings);

} // namespace parsleyplank::load

#endif
