#ifndef PARSLEYPLANK_TEST_CALLERS_CROWD_HPP
#define PARSLEYPLANK_TEST_CALLERS_CROWD_HPP

// A crowd of callers that do not behave. Each sends fixed bytes on a connection
// of its own and keeps it open.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace callers
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// What one caller sends, and how.
struct caller_plan
{
    std::uint16_t port = 0;
    std::shared_ptr<const std::string> bytes;
    // Size of the pieces in which they are sent, and the time between two.
    std::size_t piece = 65'536;
    milliseconds interval{0};
    // Number of bytes that are read at a time, with the same time between; 0 if
    // nothing is read.
    std::size_t read_piece = 0;
    // How often the caller returns after its connection was closed.
    int returns = 1;
};

// Connects all callers and lets them send and read until `done` returns true,
// which is asked every few milliseconds; then closes all connections.
void run_crowd(const std::vector<caller_plan>& plans,
               const std::function<bool()>& done);

} // namespace callers

#endif
