#ifndef PARSLEYPLANK_TEST_CALLERS_CROWD_KINDS_HPP
#define PARSLEYPLANK_TEST_CALLERS_CROWD_KINDS_HPP

// The kinds of callers that do not behave, and the limits that they know.

#include "crowd.hpp"

namespace callers
{

// Limits of the configuration: what is legal in size.
constexpr std::size_t max_header_bytes = 16'384;
constexpr std::size_t max_body_bytes = 2'000'000;

// Where requests are sent.
struct request_place
{
    std::uint16_t port = 0;
    std::string path;
    // A request without a body that is correct there.
    std::string small_method = "GET";
    std::string small_body;
};

// Returns this many callers of a kind. Throws std::out_of_range if it is
// unknown.
std::vector<caller_plan> make_crowd(const std::string& kind,
                                    const request_place& place,
                                    std::size_t count);

} // namespace callers

#endif
