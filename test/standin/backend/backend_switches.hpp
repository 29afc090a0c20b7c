#ifndef PARSLEYPLANK_TEST_STANDIN_BACKEND_SWITCHES_HPP
#define PARSLEYPLANK_TEST_STANDIN_BACKEND_SWITCHES_HPP

// What the stand-in backend server does wrong, set at run time.

#include <chrono>
#include <map>
#include <string>

namespace parsleyplank::test
{

// What happens to the connection of a work request.
enum class connection_fault
{
    none,
    silent,          // reads the request and never answers; it is not executed
    truncated,       // executes, sends half the body and closes
    unframed,        // executes, sends a body without length and closes
    late,            // executes, answers after `release` is set
    crossed,         // executes, answers with another request's id
    close_after_read // executes, closes without a response
};

struct backend_switches
{
    // Part of the work requests that get 500 after they have run.
    double fail_rate = 0;
    int latency_ms = 0;
    // Extra latency after a cold start, falling to 0 over cold_for_ms.
    int cold_extra_ms = 0;
    int cold_for_ms = 30'000;
    std::chrono::steady_clock::time_point cold_since{};
    // /health says draining; work is still served.
    bool drain = false;
    // Work gets 503 with X-Not-Run: true and does not run.
    bool shed = false;
    // "auto" tells the truth, "ok" and "bad" are said in any case.
    std::string health = "auto";
    // Load that /load tells; below 0 tells the truth.
    double load = -1;
    connection_fault fault = connection_fault::none;
    // Requests that the fault still hits; below 0 means all.
    int fault_count = -1;
    // Connections opened before this one stay silent.
    int silent_before = 0;
    // Late responses are sent.
    bool release = false;
};

// Sets switches by name, e.g. {"fail_rate", "0.5"}, {"fault", "late"}. The name
// cold_start with any value starts the cold time now. Throws
// std::invalid_argument, which names the switch, for an unknown name or value.
void set_switches(backend_switches& switches,
                  const std::map<std::string, std::string>& values);

} // namespace parsleyplank::test

#endif
