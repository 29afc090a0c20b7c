#include <parsleyplank/edge/revision_lag.hpp>

namespace parsleyplank::edge
{

milliseconds observe_lag(revision_lag& lag, revision applied, revision newest,
                         time_point now)
{
    if (applied >= newest || applied == revision(0))
    {
        lag.since.reset();
        return milliseconds(0);
    }
    if (!lag.since || applied >= lag.awaited)
    {
        lag.since = now;
        lag.awaited = newest;
    }
    return std::chrono::duration_cast<milliseconds>(now - *lag.since);
}

} // namespace parsleyplank::edge
