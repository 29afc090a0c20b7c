#ifndef PARSLEYPLANK_LOAD_SCHEDULE_HPP
#define PARSLEYPLANK_LOAD_SCHEDULE_HPP

// The times at which requests are sent. They depend on the scenario alone, so a
// slow response delays no later request.

#include <parsleyplank/load/scenario.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace parsleyplank::load
{

using std::chrono::microseconds;

struct arrival
{
    // Since the start of the run.
    microseconds at{0};
    // Indices into the scenario's lists.
    std::size_t customer = 0;
    std::size_t region = 0;
    std::size_t route = 0;
    // Number of the request within its customer; a repeat has that of the
    // request it repeats.
    std::uint64_t number = 0;
    bool repeat = false;
    // Subject to the customer's rate: sent with a key, and the limit is known.
    bool limited = false;
    // The customer's rate and burst admit this request, by a token bucket that
    // is full at the start of the run.
    bool within_rate = false;
};

// Returns all arrivals in order of time. The gaps between a customer's requests
// are exponential; repeats are in addition to its rate.
std::vector<arrival> make_schedule(const scenario& s);

} // namespace parsleyplank::load

#endif
