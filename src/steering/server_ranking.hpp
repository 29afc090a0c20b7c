#ifndef PARSLEYPLANK_STEERING_SERVER_RANKING_HPP
#define PARSLEYPLANK_STEERING_SERVER_RANKING_HPP

// Chooses the backend server of a request by its expected completion time.
// Requests for one object go to the same server of a region, by rendezvous
// hashing, because a server works several times faster on an object that it has
// handled recently. A request is sent outside those servers, its failure domain
// or its region only if waiting there costs more, and then to the next server
// in the rendezvous order, so that all instances warm up the same one.

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
    // Number of servers in a group that retain an object warm.
    std::size_t copies = 1;
    // Initial value of the service time on a cold object relative to a warm
    // one, until it is learned.
    double cold_object_factor = 3.0;
    // Service time of a server that is itself cold, relative to a warm server.
    double cold_server_factor = 2.0;
    // A response is slow if it takes longer than this multiple of the expected
    // time.
    double slow_factor = 3.0;
    // Weight of one sample in the averages of service times.
    double sample_weight = 0.1;
    // Factors by which a sample above or below the quantile adjusts it. Their
    // logarithms are in the ratio 3 to 7, which converges to the 30% quantile.
    double quantile_up = 1.03;
    double quantile_down = 0.933;
    // The same for a single server, which has fewer samples.
    double server_quantile_up = 1.15;
    double server_quantile_down = 0.72;
    // Assumed round-trip times until a connection has been made.
    std::chrono::microseconds region_round_trip{2'000};
    std::chrono::microseconds remote_round_trip{100'000};
    // Cost, as added latency, of each kilobyte that crosses a failure domain or
    // a region, because the links between them are shared and have little
    // bandwidth.
    std::chrono::microseconds domain_crossing_per_kb{1'000};
    std::chrono::microseconds region_crossing_per_kb{1'000};
    // Cost of a failure average of 1, as a multiple of the service time.
    double failure_cost = 4.0;
    // Part of a server's slots up to which it accepts objects that it does not
    // retain. A cold request holds a slot several times as long as a warm one,
    // so a region that filled all spare slots with cold requests would not
    // recover from a burst.
    double warming_load = 0.5;
    // Servers that are cold for the object have similar cost within this factor
    // of the cheapest; among them the object's rendezvous order decides.
    double similar_cost_factor = 1.5;
};

// Group of servers among which objects are divided. In the group of a region
// each object is warmed up once and each server retains fewer objects; in the
// group of a failure domain no bytes cross to another domain.
enum class object_group
{
    region,
    domain
};

struct object_affinity
{
    // Key of the object; empty if the route has no affinity.
    std::string_view key;
    object_group group = object_group::region;
    // Region that serves the object if it can't stay in this one; empty if
    // there is none.
    region_id overflow_region;
};

// Surplus of a region: its slots beyond its share of the callers. Negative if
// it lacks slots.
struct region_surplus
{
    region_id region;
    double slots = 0;
};

// Returns the overflow region of an object, chosen by its key in proportion to
// the surplus. Empty if no region has a surplus.
region_id choose_overflow_region(std::string_view key,
                                 std::span<const region_surplus> regions);

// Returns the position of an object in an order of all objects, above 0 and at
// most 1; equal on all instances.
double object_position(std::string_view key);

// Returns the hash that identifies an object of a route in
// server_load::objects.
std::uint64_t object_hash(const route_id& route, std::string_view key);

// Service times of one route on one service, in milliseconds.
struct service_times
{
    // Service time of warm requests, as a low quantile, because some requests
    // to the server that retains an object still find it cold.
    double warm_ms = 0;
    // Average over warm and cold requests, used for the requests ahead in a
    // queue.
    double mean_ms = 0;
    // Service time of a cold request relative to warm_ms; 0 until learned.
    double cold_factor = 0;
    // Average size of a request and its response together.
    double kilobytes = 4;
    // Service time of warm requests on servers with little load; 0 until
    // learned.
    double unloaded_ms = 0;
};

// Network distance of a server from this instance.
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
    // Whether this instance has recently had the object served there.
    bool served_recently = false;
    // Average number of requests of other callers at a server of its region.
    double average_others = 0;
    // Requests that the server takes well at a time; 0 for all its slots.
    double limit = 0;
    // Expected pace of the server's machine, relative to its typical one.
    double pace = 1;
};

struct ranked_server
{
    // Index into the candidates.
    std::size_t position = 0;
    // Expected time until the response.
    milliseconds expected{0};
    // Part of the expected time that is spent waiting for a slot.
    milliseconds queueing{0};
    // Whether the server retains the object warm.
    bool warm = true;
    // Requests ahead in the queue, relative to the slots.
    double queue_factor = 0;
    // Cost that servers are compared by: the expected time plus the costs of
    // crossing failure domains and regions and of the risk of failure.
    double cost_ms = 0;
    // Requests at a time and pace that the expected time is based on.
    double limit = 0;
    double pace = 1;
};

// Returns the initial service times of a route.
service_times initial_times(milliseconds target_latency);

// Returns the cheapest of the servers that retain the object or, if that costs
// less, the first server in the object's rendezvous order that may warm up for
// it. Returns nullopt if there is neither. Ejected servers are considered only
// if all are ejected. With free_slots_only, servers where the request would
// have to wait are excluded.
std::optional<ranked_server>
choose_server(std::span<const candidate> candidates,
              const object_affinity& object, const service_times& times,
              const ranking_options& options, const health_options& health,
              bool free_slots_only, time_point now);

// Returns whether a response was slower than load and cold caches explain. An
// object is taken for warm only if `known_warm`: a new server, such as those of
// a new version, is not yet warm for the objects that are assigned to it.
bool is_slow_response(const service_times& times, const ranked_server& server,
                      bool known_warm, std::chrono::microseconds latency,
                      const ranking_options& options);

// Updates the service times and the server's slowness with a measured latency
// of the chosen server.
void record_latency(service_times& times, server_load& load,
                    const ranked_server& chosen,
                    std::chrono::microseconds latency,
                    const ranking_options& options,
                    const health_options& health, time_point now);

// Returns whether a latency is that of a request to a server that keeps its
// object warm.
bool is_warm_latency(const service_times& times, const server_load& load,
                     const ranked_server& chosen,
                     std::chrono::microseconds latency,
                     const ranking_options& options,
                     const health_options& health, time_point now);

// Returns the latency without the round trip, in milliseconds, at least 1.
double work_ms(const server_load& load, std::chrono::microseconds latency);

// Updates the average size with that of a request and its response.
void record_size(service_times& times, std::size_t bytes,
                 const ranking_options& options);

} // namespace parsleyplank::steering

#endif
