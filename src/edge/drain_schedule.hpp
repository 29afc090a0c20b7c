#ifndef PARSLEYPLANK_EDGE_DRAIN_SCHEDULE_HPP
#define PARSLEYPLANK_EDGE_DRAIN_SCHEDULE_HPP

// Times of a planned stop. The platform kills a process when its grace time
// has passed since the stop signal, so all of them count from the signal.

#include <parsleyplank/core/clock.hpp>

namespace parsleyplank::edge
{

struct drain_options
{
    // Fractions of the grace time after which no further connection is
    // accepted, and after which the process exits even if connections are still
    // open.
    double accept_fraction = 0.4;
    double exit_fraction = 0.93;
    // Fraction of the grace time after which a request is passed on only if its
    // deadline is before the exit.
    double late_fraction = 0.5;
};

struct drain_schedule
{
    // Time of the stop signal.
    time_point signalled;
    // Time until which connections are accepted.
    time_point accept_until;
    // Requests that are received later are passed on only if their deadline is
    // before stop_at.
    time_point late_from;
    // Time at which the process exits.
    time_point stop_at;
};

drain_schedule plan_drain(time_point signalled, milliseconds grace,
                          const drain_options& options);

// Returns the latest time at which a response may be written, so that its
// caller has received it when the process exits.
time_point last_response_at(time_point stop_at);

// Returns the latest deadline that a server may be given, so that it can report
// that the deadline has passed before the process exits.
time_point last_server_deadline(time_point stop_at);

} // namespace parsleyplank::edge

#endif
