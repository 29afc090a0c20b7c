#ifndef PARSLEYPLANK_STEERING_ADMISSION_HPP
#define PARSLEYPLANK_STEERING_ADMISSION_HPP

// Decides which requests of a service are admitted while it has less room than
// is asked. Requests are ordered by rank; a level says up to which rank they
// are admitted. Instances derive it from the counts of their region and average
// their levels, so that all refuse the same ranks. See
// docs/design/admission.md.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/steering/demand_meter.hpp>
#include <parsleyplank/steering/traffic_config.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::steering
{

// Rank of a request: the customer's priority, then the route's. The lowest is
// the most urgent.
struct request_rank
{
    std::uint8_t customer = 0;
    std::uint8_t route = 0;

    auto operator<=>(const request_rank&) const = default;
};

// Requests of ranks before the boundary are admitted, and part of those of the
// boundary. By default all are.
struct admission_level
{
    request_rank boundary{UINT8_MAX, UINT8_MAX};
    // From 0 to 1.
    double part = 1;
};

struct admission_options
{
    // Part of a refused rank that is admitted, relative to the admitted part of
    // all requests. A quarter is the least that a rank is owed; the rest allows
    // for admitted requests that fail.
    double floor = 1.0 / 3;
    // Parts of the admitted requests without room above which the level falls
    // and below which it rises.
    double fall_threshold = 0.1;
    double rise_threshold = 0.02;
    // Changes of the admitted requests per step.
    double max_fall = 0.3;
    double min_rise = 0.05;
    double max_rise = 0.3;
    // Requests per slot from which a level may fall, and below which it rises
    // by more than the least change. With fewer requests waiting than there are
    // slots, those that find no room are at busy servers while others have
    // room.
    double full_use = 2;
    double target_use = 1;
    // Age, as a part of the usual time limit, of a caller that has waited as
    // long as a refusal can tell.
    double full_age = 1.0 / 3;
    // Shortest time between two steps.
    milliseconds min_step{500};
    // Half-life of the measured demand.
    milliseconds demand_half_life{1'000};
    // Time after which a request that found no room is no sign of overload.
    milliseconds overload_time{5'000};
    // Time after which other requests of the boundary rank are refused.
    milliseconds rotation{4'000};
};

// Requests of a service per second, as one instance counts them.
struct admission_counts
{
    double arrived = 0;
    double admitted = 0;
    // Admitted requests that found no room in time.
    double unmet = 0;
    // Requests per slot, running or waiting, of the service in the region.
    double use = 0;
};

// What an instance reports of a service to the peers of its region.
struct peer_admission
{
    admission_level level;
    admission_counts counts;
};

// Admission to one service at one instance.
struct service_admission
{
    // Ranks that requests of the service can have, in ascending order.
    std::vector<request_rank> ranks;
    // Demand by rank.
    std::vector<demand_meter> arrived;
    // Counts since the last step.
    admission_counts counted;
    // Rates in the last step.
    admission_counts rates;
    // Position of the level in the order of the ranks, as this instance
    // proposes it and as it is in force: the number of ranks that are admitted.
    double proposed = 0;
    double in_force = 0;
    time_point stepped{};
    time_point last_request{};
    time_point last_unmet{};
};

// Change of a level, for the log.
struct level_change
{
    admission_level level;
    admission_counts region;
};

// Usual time limit of the callers of a route, learned as the median of the
// limits that they name; 0 until learned.
struct usual_limit
{
    double ms = 0;
};

// Records the time that a request has left as it arrives.
void record_limit(usual_limit& limit, milliseconds left);

// Returns how long the caller has waited, as a part of the usual limit, from 0
// to 1: the difference between the limit and the time left.
double age_of(const usual_limit& limit, milliseconds left);

// Returns the rank. Priorities above 255 count as 255.
request_rank make_rank(priority_rank customer, priority_rank route);

// Returns the priorities of customer and route, e.g. "1.2".
std::string to_string(const request_rank& rank);

// Returns the ranks that requests of the service can have, in ascending order.
std::vector<request_rank> find_ranks(const traffic_config& config,
                                     const service_id& service);

// Returns the number of ranks that the level admits; the last may be a part.
// Ranks that are not in the list lie between those that are.
double level_position(std::span<const request_rank> ranks,
                      const admission_level& level);

// Returns the level at the position.
admission_level level_at(std::span<const request_rank> ranks, double position);

// Returns the part of the requests of the rank with this index that is admitted
// at the position, given the admitted part of all requests.
double admitted_part(double position, std::size_t index, double part_of_all,
                     const admission_options& options);

// Returns the position at which `wanted` of the requests per second are
// admitted, given the demand of each rank.
double find_position(std::span<const double> demand, double wanted,
                     const admission_options& options);

// Returns the place of a request among those of its rank, from 0, which is
// admitted first, to 1. Depends on what all instances see alike: the subject
// (customer, route and object), the time, and the age as a part of the usual
// time limit, from 0 to 1.
double place_in_rank(std::string_view subject, double age, std::int64_t unix_ms,
                     const admission_options& options);

// Replaces the ranks; the level keeps its meaning.
void set_ranks(service_admission& service, std::vector<request_rank> ranks);

// Counts a request and returns whether it is admitted.
bool admit_request(service_admission& service, const request_rank& rank,
                   double place, const admission_options& options,
                   time_point now);

// Returns whether a level is in force that refuses requests.
bool has_level(const service_admission& service);

// Counts an admitted request that found no room in time.
void count_unmet(service_admission& service, time_point now);

// Returns whether the level may refuse requests or the service has recently
// lacked room, so that peers need to know.
bool is_overloaded(const service_admission& service,
                   std::span<const peer_admission> peers,
                   const admission_options& options, time_point now);

// Ends the step if it has lasted long enough: derives the level from the counts
// of this instance and of the peers. `use` is the number of requests, running
// or waiting, per slot of the service in this region; `step` is the time that a
// change needs to be heard of, twice. Returns the new level if it differs.
std::optional<level_change>
step_admission(service_admission& service,
               std::span<const peer_admission> peers, double use,
               milliseconds step, const admission_options& options,
               time_point now);

} // namespace parsleyplank::steering

#endif
