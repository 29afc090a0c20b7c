#ifndef PARSLEYPLANK_STEERING_SERVER_LOAD_HPP
#define PARSLEYPLANK_STEERING_SERVER_LOAD_HPP

// Load and health of one backend server, as this instance derives them from its
// own requests: requests in flight, the load that responses report, relative
// speed, failures, and whether the server is unresponsive while requests wait.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/quota/token_bucket.hpp>
#include <parsleyplank/steering/server_capacity.hpp>

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
    // Duration of the first ejection; doubles with each consecutive one.
    milliseconds first_ejection{1'000};
    milliseconds max_ejection{8'000};
    // Time in which the failure average halves without results.
    milliseconds failure_half_life{3'000};
    // A server is unresponsive when a request has waited longer than this
    // factor times its expected latency, and nothing has been received since it
    // was sent.
    double unresponsive_factor = 3.0;
    milliseconds min_unresponsive_time{400};
    // Half-life of the weight of a report of the load of other callers.
    milliseconds report_half_life{700};
    // Half-life of a region's average load without reports. The decay lets an
    // avoided region be tried again.
    milliseconds region_load_half_life{1'500};
    // Half-life of the measured slowness. The decay lets a slow server be tried
    // again.
    milliseconds slowness_half_life{3'000};
    // Time for which a server is assumed to retain an object that it has
    // served, until this is learned.
    milliseconds object_retention{6'000};
};

// Load that a response reports.
struct reported_load
{
    double running = 0;
    double waiting = 0;
    double slots = 0;
    // Time that work takes on the server's machine, relative to the usual time;
    // nullopt if not reported.
    std::optional<double> pace;
};

// A request in flight, used to detect unresponsive servers.
struct in_flight_request
{
    time_point sent;
    // Latency that was expected when the request was sent.
    milliseconds expected;
};

// Average number of requests of other callers per slot, over the servers of a
// service in a region, as reports show them. The weight of reports decays with
// their age.
struct region_load
{
    double sum = 0;
    double weight = 0;
    time_point at{};
};

struct server_load
{
    std::map<std::uint64_t, in_flight_request> in_flight;
    // Requests of other callers according to the last report.
    double others = 0;
    time_point reported_at{};
    // Service time relative to the other servers of the service, as of the last
    // sample.
    double slowness = 1;
    time_point slowness_at{};
    double failure_level = 0;
    time_point failure_at{};
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    time_point last_received{};
    // Round-trip time measured on connecting; nullopt before the first
    // connection.
    std::optional<std::chrono::microseconds> round_trip;
    // After an ejection or a lost connection the server may have been restarted
    // without notice, so it is treated as cold until this time.
    time_point cold_until{};
    server_capacity capacity;
    // Last time each object was served there, by the hash of its key.
    std::unordered_map<std::uint64_t, time_point> objects;
    // This instance's part of the rate that the server takes while it is cold.
    quota::token_bucket cold_budget;
};

// Result of one request with regard to the health of the server.
enum class request_result
{
    good,
    // Failed, or refused although the report shows free slots.
    bad,
    // Refused because the server is full, or cancelled by the caller.
    neutral
};

// Returns the failure average, decayed to the current time.
double failure_level(const server_load& load, const health_options& options,
                     time_point now);

// Records the result of a request. Returns whether it ejects the server.
bool record_result(server_load& load, request_result result,
                   const health_options& options, time_point now);

// Records a load report, which includes the requests of this instance.
void record_report(server_load& load, const reported_load& report,
                   time_point now);

// Adds a server's load by other callers to the average of its region.
void record_region_load(region_load& region, double others_per_slot,
                        const health_options& options, time_point now);

// Returns the average requests per slot, decayed to the current time.
double region_load_per_slot(const region_load& region,
                            const health_options& options, time_point now);

// Returns the estimated number of requests at the server: those of this
// instance, and those of other callers by its last report. As the report ages,
// the average of the region replaces it, because in a large fleet an instance
// seldom sends to the same server.
double load_of(const server_load& load, double average_others,
               const health_options& options, time_point now);

// Returns the slowness, decayed to the current time.
double slowness_of(const server_load& load, const health_options& options,
                   time_point now);

// Records that the server has served an object. `retention` is the time for
// which it is assumed to retain it.
void record_object(server_load& load, std::uint64_t object,
                   milliseconds retention, time_point now);

// Returns the time since the server last served the object for this instance;
// nullopt if it is not known to have done so.
std::optional<milliseconds> time_since_served(const server_load& load,
                                              std::uint64_t object,
                                              time_point now);

// Returns whether the server has served the object within the retention time.
bool served_recently(const server_load& load, std::uint64_t object,
                     milliseconds retention, time_point now);

// Returns the time without any data from the server after which a request of
// this expected latency has waited too long.
milliseconds unresponsive_time(const health_options& options,
                               milliseconds expected);

// Returns whether a request has waited too long without any data from the
// server.
bool is_unresponsive(const server_load& load, const health_options& options,
                     time_point now);

// Returns whether the server is ejected because of failures, or unresponsive.
bool is_ejected(const server_load& load, const health_options& options,
                time_point now);

} // namespace parsleyplank::steering

#endif
