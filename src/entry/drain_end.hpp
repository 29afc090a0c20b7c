#ifndef PARSLEYPLANK_ENTRY_DRAIN_END_HPP
#define PARSLEYPLANK_ENTRY_DRAIN_END_HPP

// End of the graceful shutdown of an entry instance, which refuses requests
// that arrive in its last phase.

#include <parsleyplank/core/clock.hpp>

#include <span>

namespace parsleyplank::entry
{

// Returns whether the last phase has ended: no request is open, or its time is
// over and so are the deadlines of all open requests, by which they have been
// answered.
bool closing_has_ended(time_point phase_ends,
                       std::span<const time_point> open_deadlines,
                       time_point now);

} // namespace parsleyplank::entry

#endif
