#ifndef PARSLEYPLANK_STEERING_SERVER_RANKING_HPP
#define PARSLEYPLANK_STEERING_SERVER_RANKING_HPP

// Chooses the backend server of a request by its expected completion time.
// Requests for one object meet one server of a region, by rendezvous order,
// because a server works several times faster on an object that it has handled
// recently. A request leaves those servers, its failure domain or its region
// only if waiting there costs more, and then goes to the next server in that
// order, so that all instances warm up the same one.

#include <parsleyplank/steering/server_load.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace parsleyplank::steering
{

struct ranking_options
{
    // Servers of one group that keep an object warm.
    std::size_t copies = 1;
    // Service time on a cold object relative to a warm one, until learned.
    double cold_object_factor = 3.0;
    // Service time of a server that is itself cold, relative to a warm one.
    double cold_server_factor = 2.0;
    // Weight of one sample in the averages of service times.
    double sample_weight = 0.1;
    // Factors by which one sample above or below moves a quantile. Their
    // logarithms are as 3 to 7, which finds the 30% quantile.
    double quantile_up = 1.03;
    double quantile_down = 0.933;
    // The same for a single server, which has fewer samples.
    double server_quantile_up = 1.15;
    double server_quantile_down = 0.72;
    // Assumed round trips until a connection has been made.
    std::chrono::microseconds region_round_trip{2'000};
    std::chrono::microseconds remote_round_trip{100'000};
    // Cost in expected latency of each kilobyte that crosses a failure domain
    // or a region: links between them are shared and narrow.
    std::chrono::microseconds domain_crossing_per_kb{1'000};
    std::chrono::microseconds region_crossing_per_kb{1'000};
    // Cost of a failure average of 1, as a multiple of the service time.
    double failure_cost = 4.0;
    // Part of a server's slots up to which it takes objects that it does not
    // keep. A cold request holds a slot several times as long as a warm one, so
    // that a region whose spare slots all went to cold requests would not
    // recover from a burst.
    double warming_load = 0.5;
    // Servers that would take an object cold count as alike within this factor
    // of the cheapest; the object's order then decides.
    double similar_cost_factor = 1.5;
};

// Servers among which objects are divided. A region's servers have to warm up
// an object once and keep fewer objects each; within a failure domain no bytes
// cross to another one.
enum class object_group
{
    region,
    domain
};

struct object_affinity
{
    // Names the object; empty if the route has no affinity.
    std::string_view key;
    object_group group = object_group::region;
    // Region that takes the object if it can't stay; empty if none does.
    region_id overflow_region;
};

// Spare room of a region: slots beyond its share of the callers.
struct region_surplus
{
    region_id region;
    double slots = 0;
};

// Returns the region that takes an object: chosen by its key, in proportion to
// the surplus. Empty if no region has any.
region_id choose_overflow_region(std::string_view key,
                                 std::span<const region_surplus> regions);

// Returns the place of an object among all others, from 0 to 1.
double object_position(std::string_view key);

// Returns the number that stands for an object of a route in memories.
std::uint64_t object_hash(const route_id& route, std::string_view key);

// Service times of one route at one service, in milliseconds.
struct service_times
{
    // Time that warm requests take: a low quantile, because some requests at
    // the server that keeps an object still find it cold.
    double warm_ms = 0;
    // Average over warm and cold requests: what those ahead in a queue take.
    double mean_ms = 0;
    // Of a cold request relative to warm_ms; 0 until learned.
    double cold_factor = 0;
    // Average size of request and response together.
    double kilobytes = 4;
};

// How far a server is from this instance.
enum class distance
{
    same_domain,
    same_region,
    other_region
};

struct candidate
{
    server_ptr server;
    server_load* load = nullptr;
    distance proximity = distance::same_domain;
    // Whether the server is in its warm-up time.
    bool cold = false;
    // Whether this instance has lately had the object served there.
    bool served_recently = false;
    // Requests of other callers that a server of this region has usually.
    double average_others = 0;
};

struct ranked_server
{
    // Position among the candidates.
    std::size_t position = 0;
    // Expected time to the response.
    milliseconds expected{0};
    // Part of it that is spent waiting for a slot.
    milliseconds queueing{0};
    // Whether the server is one of those that keep the object warm.
    bool warm = true;
    // Requests ahead in the queue, relative to the slots.
    double queue_factor = 0;
    // What the choice went by: the expected time, and what crossing failure
    // domains and regions and the risk of a failure are worth.
    double cost_ms = 0;
};

// Returns the initial service times of a route.
service_times initial_times(milliseconds target_latency);

// Returns the cheapest of the servers that keep the object or, if that costs
// less, the first server in the object's order with room to warm up for it.
// Nothing if there is neither. Ejected servers count only if all are ejected.
// With free_slots_only, those where the request would wait do not count.
std::optional<ranked_server>
choose_server(std::span<const candidate> candidates,
              const object_affinity& object, const service_times& times,
              const ranking_options& options, const health_options& health,
              bool free_slots_only, time_point now);

// Learns from the time that the chosen server took.
void record_latency(service_times& times, server_load& load,
                    const ranked_server& chosen,
                    std::chrono::microseconds latency,
                    const ranking_options& options,
                    const health_options& health, time_point now);

// Learns the size of a request with its response.
void record_size(service_times& times, std::size_t bytes,
                 const ranking_options& options);

} // namespace parsleyplank::steering

#endif
