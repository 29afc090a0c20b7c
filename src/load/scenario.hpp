#ifndef PARSLEYPLANK_LOAD_SCENARIO_HPP
#define PARSLEYPLANK_LOAD_SCENARIO_HPP

// The scenario of a load run: customers with their rates and client regions,
// the mix of requests, and faults to switch on.

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::load
{

using std::chrono::milliseconds;

// A group of clients that look up with one address.
struct client_region
{
    std::string id;
    std::string address;
};

// From a time on, the share of a customer's requests from each region.
struct skew_phase
{
    double from_s = 0;
    // One weight per region of the scenario, in its order.
    std::vector<double> weights;
};

struct customer_load
{
    std::string id;
    std::string api_key;
    double rate_per_s = 0;
    // The customer's limits in the fleet's configuration; a rate of 0 means
    // that no request counts as within the rate.
    double rate_limit_per_s = 0;
    double burst = 0;
    // In order of time; phases start over after period_s if that is not 0.
    std::vector<skew_phase> phases;
    double period_s = 0;
};

enum class execution
{
    idempotent,  // may be repeated
    once,        // never repeated when its outcome is unknown
    at_most_once // repeated with the same idempotency key only
};

struct route_load
{
    std::string id;
    std::string method;
    std::string path;
    double weight = 1;
    std::size_t body_bytes = 0;
    execution kind = execution::idempotent;
    // Idempotent requests use kept connections. libcurl then sends a request
    // again by itself if its connection breaks, which hides that it was cut
    // off; without kept connections each such attempt is counted.
    bool keep_connections = true;
    // Sent without an API key; not subject to the customer's rate.
    bool open = false;
    // Part of the at-most-once requests that are sent again with the same key
    // repeat_after after their first time.
    double repeat_probability = 0;
    milliseconds repeat_after{500};
    // Limit of one attempt.
    milliseconds timeout{10'000};
};

// An HTTP call to a stand-in's switch.
struct fault_call
{
    double at_s = 0;
    std::string url;
    std::string method;
    std::string body;
};

struct scenario
{
    std::string name;
    double duration_s = 0;
    std::uint64_t seed = 1;
    std::vector<client_region> regions;
    std::vector<customer_load> customers;
    std::vector<route_load> routes;
    std::vector<fault_call> faults;
};

// Returns the scenario in the text. Key files are relative to the folder.
// Throws config_error that lists each problem with file and line; no API key
// appears in it.
scenario parse_scenario(const std::string& file, std::string_view text,
                        const std::filesystem::path& folder);

// Reads the file; otherwise like parse_scenario.
scenario read_scenario(const std::filesystem::path& file);

} // namespace parsleyplank::load

#endif
