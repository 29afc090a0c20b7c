#ifndef PARSLEYPLANK_STEERING_SERVER_LOAD_HPP
#define PARSLEYPLANK_STEERING_SERVER_LOAD_HPP

// What this instance knows of the load and the health of one backend server
// from its own requests: requests in flight, the load that responses report,
// relative speed, failures, and silence while requests wait.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace parsleyplank::steering
{

struct health_options
{
    // Weight of one result in the failure average.
    double failure_weight = 0.25;
    // Failure average above which a server is ejected.
    double ejection_level = 0.55;
    // Time of the first ejection; doubles with each further one in a row.
    milliseconds first_ejection{1'000};
    milliseconds max_ejection{8'000};
    // Time in which the failure average halves without results.
    milliseconds failure_half_life{3'000};
    // A server is silent once a request waits longer than its expected latency
    // times this factor, and nothing has been received since it was sent.
    double unresponsive_factor = 3.0;
    milliseconds min_unresponsive_time{400};
    // Time in which the weight of a report of the load of other callers halves.
    milliseconds report_half_life{700};
    // Time without reports in which the average of a region halves, so that a
    // region that was avoided is tried again.
    milliseconds region_load_half_life{1'500};
    // Time in which what is known of a slow server halves, so that it is tried
    // again.
    milliseconds slowness_half_life{3'000};
    // How long a server is taken to keep an object that it has served.
    milliseconds object_retention{6'000};
};

// Load as a response reports it.
struct reported_load
{
    double running = 0;
    double waiting = 0;
    double slots = 0;
};

// A request in flight, for the detection of silence.
struct in_flight_request
{
    time_point sent;
    // Latency that was expected when it was sent.
    milliseconds expected;
};

// Average over the servers of a service in a region of the requests of other
// callers per slot, as reports show them. Reports count less as they age.
struct region_load
{
    double sum = 0;
    double weight = 0;
    time_point at{};
};

struct server_load
{
    std::map<std::uint64_t, in_flight_request> in_flight;
    // Requests of other callers that the last report showed.
    double others = 0;
    time_point reported_at{};
    // Service time relative to the other servers of the service, as of the
    // last sample.
    double slowness = 1;
    time_point slowness_at{};
    double failure_level = 0;
    time_point failure_at{};
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    time_point last_received{};
    // Measured when connecting; unset before the first connection.
    std::optional<std::chrono::microseconds> round_trip;
    // After an ejection or a lost connection the server may have been restarted
    // without notice, and is treated as cold until this time.
    time_point cold_until{};
    // When objects, by the hash of their key, were last served there.
    std::unordered_map<std::uint64_t, time_point> objects;
    // This instance's part of the rate that a cold server bears.
    quota::token_bucket cold_budget;
};

// How one request ended, as far as it tells something about the server.
enum class request_result
{
    good,
    // Failed, or refused although the report shows free slots.
    bad,
    // Refused because it is full, or given up by the caller.
    neutral
};

// Returns the failure average as of now.
double failure_level(const server_load& load, const health_options& options,
                     time_point now);

// Records the end of a request. Returns whether it ejects the server.
bool record_result(server_load& load, request_result result,
                   const health_options& options, time_point now);

// Records a report, which covers own requests too.
void record_report(server_load& load, const reported_load& report,
                   time_point now);

// Adds a server's load by other callers to the average of its region.
void record_region_load(region_load& region, double others_per_slot,
                        const health_options& options, time_point now);

// Returns the average as of now. It falls without reports.
double region_load_per_slot(const region_load& region,
                            const health_options& options, time_point now);

// Returns the requests at the server: own ones, and those of others by its last
// report. As the report ages, what is typical of the server's region replaces
// it: in a large fleet an instance seldom meets the same server.
double load_of(const server_load& load, double average_others,
               const health_options& options, time_point now);

// Returns the slowness as of now.
double slowness_of(const server_load& load, const health_options& options,
                   time_point now);

// Remembers that the server has served an object.
void record_object(server_load& load, std::uint64_t object,
                   const health_options& options, time_point now);

// Returns whether it has done so lately.
bool served_recently(const server_load& load, std::uint64_t object,
                     const health_options& options, time_point now);

// Returns whether a request has waited too long without any sign of life.
bool is_unresponsive(const server_load& load, const health_options& options,
                     time_point now);

// Returns whether the server is out of use because of failures or silence.
bool is_ejected(const server_load& load, const health_options& options,
                time_point now);

} // namespace parsleyplank::steering

#endif
