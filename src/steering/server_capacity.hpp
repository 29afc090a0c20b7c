#ifndef PARSLEYPLANK_STEERING_SERVER_CAPACITY_HPP
#define PARSLEYPLANK_STEERING_SERVER_CAPACITY_HPP

// Learned capacity of a backend server: the number of concurrent requests up to
// which its responses are as quick as those of the unloaded server, its speed
// at low load, the pace that it reports for its machine, and for how long it
// keeps an object warm. All of it derives from responses to this instance.

#include <parsleyplank/core/clock.hpp>

#include <cstdint>
#include <optional>

namespace parsleyplank::steering
{

struct capacity_options
{
    // Half-life of the weight of a reported pace, which changes several times
    // per second.
    milliseconds pace_half_life{300};
    // Weight of one report in the typical pace of a server.
    double typical_pace_weight = 0.05;
    // Weight of one response in the trust in the reported pace.
    double trust_weight = 0.2;
    // A response counts as slow if it takes longer than this multiple of the
    // time of the unloaded server.
    double slow_ratio = 1.6;
    // Part of slow responses near a limit above which it falls. Long requests
    // and short disturbances stay below it.
    double max_slow_part = 0.33;
    // Weight of one response in the average part of slow responses.
    double slow_part_weight = 0.05;
    // Changes of a limit per response near it, in requests or as part of the
    // limit, whichever is more.
    double increase = 0.25;
    double decrease = 0.5;
    double relative_increase = 0.025;
    double relative_decrease = 0.05;
    // Half-life of a limit below the slots without responses near it. The decay
    // lets an avoided server be tried again.
    milliseconds limit_half_life{10'000};
    // Number of responses from which the server's own limit has more weight
    // than that of its service.
    double own_samples = 3;
    // Factors by which one response at low load adjusts a server's speed.
    double speed_up = 1.1;
    double speed_down = 0.9;
    milliseconds speed_half_life{30'000};
    // Bounds of the time for which a server is taken to keep an object.
    milliseconds min_retention{1'000};
    milliseconds max_retention{120'000};
    // Factors by which a warm or cold response adjusts that time.
    double retention_up = 1.1;
    double retention_down = 0.85;
};

// Part of the slots that can be used without slower responses.
struct learned_limit
{
    // From above 0 to 1, which is all slots.
    double part = 1;
    // Number of responses that the part derives from, and the part of them that
    // was slow; both decay like it.
    double samples = 0;
    double slow_part = 0;
    time_point at{};
};

// Time that work takes on the machine of a server, relative to the usual time.
struct server_pace
{
    // Last reported pace; 1 is as usual. 0 if none has been reported.
    double reported = 0;
    time_point reported_at{};
    // Average of the reported paces.
    double typical = 1;
    // From 0 to 1; falls while response times contradict the reports.
    double trust = 1;
};

struct server_capacity
{
    learned_limit limit;
    server_pace pace;
    // Response time at low load, relative to the other servers of the service.
    double speed_factor = 1;
    time_point speed_at{};
    // Start of the process that this was learned of, in Unix milliseconds; 0 if
    // unknown.
    std::int64_t started_ms = 0;
};

// What all servers of a service have in common.
struct service_capacity
{
    learned_limit limit;
    // Time for which servers keep an object, in milliseconds; 0 until learned.
    double retention_ms = 0;
};

// Load of a server and time of a response of it.
struct capacity_sample
{
    // Requests that the server was running, including those of other callers.
    double running = 0;
    // Requests that were waiting for a slot there.
    double waiting = 0;
    double slots = 1;
    // Time of the response relative to an unloaded server of usual speed.
    double time_ratio = 1;
};

// Forgets what was learned of an earlier process of the server.
void check_process(server_capacity& capacity, std::int64_t started_ms);

// Records the pace that a response reports. `pace` is relative to the usual
// one and above 0.
void record_pace(server_pace& pace, double reported,
                 const capacity_options& options, time_point now);

// Returns the expected pace relative to the typical one of the server: 1 if
// nothing is reported or the report is old or not trusted.
double relative_pace(const server_pace& pace, const capacity_options& options,
                     time_point now);

// Returns the part of `pace` that a response of `time_ratio` shows, between 1
// and `pace`: the report is of the end of the request, and the pace may have
// changed since its start.
double shown_pace(double pace, double time_ratio);

// Adjusts the trust in the reported pace. `time_ratio` is the time of the
// response relative to the server's own time at its typical pace.
void check_pace(server_pace& pace, double time_ratio,
                const capacity_options& options);

// Updates the unloaded time of a route, in milliseconds, with the time of a
// warm request. Returns the new value. A value of 0 is not yet known.
double update_unloaded_ms(double unloaded_ms, double time_ms, bool low_load);

// Returns whether the server was loaded so little that the response shows its
// speed and not its load.
bool is_low_load(const server_capacity& capacity, const capacity_sample& sample,
                 const capacity_options& options, time_point now);

// Updates speed and limits with the response to a request for a warm object. A
// response after which requests wait for slots is ignored, because its time is
// mostly that of a queue of unknown length. Returns the server's limit in
// requests if this has changed it by at least one, else nullopt.
std::optional<double> record_sample(server_capacity& capacity,
                                    service_capacity& service,
                                    const capacity_sample& sample,
                                    const capacity_options& options,
                                    time_point now);

// Returns the number of concurrent requests that the server takes well: a whole
// number from 1 to its slots.
double limit_of(const server_capacity& capacity,
                const service_capacity& service, double slots,
                const capacity_options& options, time_point now);

// Updates the time for which the servers of a service keep an object: `gap` is
// the time since the object was last served there, and `warm` whether the
// response was as quick as a warm one. Starts at `initial`.
void record_retention(service_capacity& service, milliseconds gap, bool warm,
                      milliseconds initial, const capacity_options& options);

// Returns that time, or `initial` if it has not been learned.
milliseconds retention_of(const service_capacity& service,
                          milliseconds initial);

} // namespace parsleyplank::steering

#endif
