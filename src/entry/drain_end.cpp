#include <parsleyplank/entry/drain_end.hpp>

#include <algorithm>

namespace parsleyplank::entry
{

namespace
{

// Time for the answer to a request whose deadline has passed.
constexpr milliseconds answer_time{1'000};

} // namespace

bool closing_has_ended(time_point phase_ends,
                       std::span<const time_point> open_deadlines,
                       time_point now)
{
    return open_deadlines.empty() ||
           now >= std::max(phase_ends,
                           std::ranges::max(open_deadlines) + answer_time);
}

} // namespace parsleyplank::entry
