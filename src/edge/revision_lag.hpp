#ifndef PARSLEYPLANK_EDGE_REVISION_LAG_HPP
#define PARSLEYPLANK_EDGE_REVISION_LAG_HPP

// Measures for how long an instance has not applied a revision of the store
// that it knows to exist, which shows that its watch misses changes.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <optional>

namespace parsleyplank::edge
{

struct revision_lag
{
    // Revision that is awaited, and since when; unset if none is.
    revision awaited;
    std::optional<time_point> since;
};

// Returns for how long the awaited revision is missing; 0 if none is. While
// changes keep coming, the newest revision is never reached, so the lag is that
// of the newest one that was known when the wait began. An instance that has
// applied nothing yet, revision 0, does not lag.
milliseconds observe_lag(revision_lag& lag, revision applied, revision newest,
                         time_point now);

} // namespace parsleyplank::edge

#endif
