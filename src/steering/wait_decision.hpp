#ifndef PARSLEYPLANK_STEERING_WAIT_DECISION_HPP
#define PARSLEYPLANK_STEERING_WAIT_DECISION_HPP

// Decides whether a request that finds no free slot waits for one or is
// refused. The expected wait is corrected by how long requests have waited,
// because the load of servers is known from old reports and averages. See
// docs/design/admission.md.

#include <parsleyplank/steering/server_ranking.hpp>

namespace parsleyplank::steering
{

struct wait_options
{
    // Step by which one sample moves the correction. The first samples move it
    // further, by the initial step divided by their number.
    double step = 0.02;
    double initial_step = 0.5;
    // Wait from which a sample moves it by a full step. The spread of service
    // times hides shorter waits.
    milliseconds full_weight_wait{100};
    // A request waits beyond its objective only if it would still be in time
    // for its caller if it took this many times as long as expected.
    double deadline_margin = 1.5;
};

// Measured wait for a slot relative to the expected one, as the quantile below
// which three of four requests are: a request that waits should be likely to
// meet its objective, and each one that waits in vain delays others.
struct wait_correction
{
    double factor = 1;
    double samples = 0;
};

// Time left of the latency objective and of the caller's time limit.
struct time_limits
{
    milliseconds to_objective{0};
    milliseconds to_deadline{0};
    milliseconds objective{0};
    // Whether the request is of the most urgent rank, which may wait beyond the
    // objective.
    bool urgent = false;
};

// Updates the correction with the measured latency of a request that was
// expected to wait.
void record_wait(wait_correction& correction, const ranked_server& chosen,
                 std::chrono::microseconds latency,
                 const wait_options& options);

// Returns the corrected wait, and the expected time until the response with it.
milliseconds expected_wait(const wait_correction& correction,
                           const ranked_server& server);
milliseconds expected_time(const wait_correction& correction,
                           const ranked_server& server);

// Returns whether the request may wait at the server: if it is likely to meet
// its objective, or if it is urgent, likely to be in time for its caller, and a
// new request behind it would still meet the objective.
bool may_wait(const wait_correction& correction, const ranked_server& server,
              unsigned slots, const service_times& times,
              const time_limits& limits, const wait_options& options);

} // namespace parsleyplank::steering

#endif
