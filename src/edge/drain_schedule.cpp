#include <parsleyplank/edge/drain_schedule.hpp>

namespace parsleyplank::edge
{

namespace
{

// Time for a response to reach a caller in another region, and for the
// acknowledgement to come back.
constexpr milliseconds delivery_time{150};
// Time for a server in another region to report that its deadline has passed:
// the deadline starts when the request arrives there, which takes one and a
// half round trips on a new connection, and the report takes half of one.
constexpr milliseconds report_time{300};

milliseconds fraction_of(milliseconds whole, double part)
{
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

} // namespace

drain_schedule plan_drain(time_point signalled, milliseconds grace,
                          const drain_options& options)
{
    const auto after = [&](double fraction)
    {
        return signalled + fraction_of(grace, fraction);
    };
    return {signalled, after(options.accept_fraction),
            after(options.late_fraction), after(options.exit_fraction)};
}

time_point last_response_at(time_point stop_at)
{
    return stop_at - delivery_time;
}

time_point last_server_deadline(time_point stop_at)
{
    return last_response_at(stop_at) - report_time;
}

} // namespace parsleyplank::edge
