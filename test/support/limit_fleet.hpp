#ifndef PARSLEYPLANK_TEST_SUPPORT_LIMIT_FLEET_HPP
#define PARSLEYPLANK_TEST_SUPPORT_LIMIT_FLEET_HPP

// A simulated fleet whose instances send requests to backend servers of one
// service, some of which name a limit in their responses. Runs under a manual
// clock with a seed; only the decisions of the traffic thread are real.

#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/server_limits.hpp>
#include <parsleyplank/edge/server_placement.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleyplank::test
{

struct limit_fleet_options
{
    int instances = 9;
    int regions = 3;
    int servers = 12;
    // Requests per second of one instance.
    double rate_per_instance = 12;
    milliseconds latency{250};
    milliseconds digest_interval{500};
    milliseconds contact_timeout{2'200};
    // Part of the digests that are lost.
    double digest_loss = 0.02;
    std::uint64_t seed = 1;
};

class limit_fleet
{
public:
    // What the server with this number names in a response now.
    using notice_source =
        std::function<steering::server_notice(int server, time_point now)>;

    // A request that reached a server.
    struct arrival
    {
        time_point at;
        int instance = 0;
    };

    limit_fleet(const limit_fleet_options& chosen, notice_source source);

    // Runs the fleet for a time.
    void run(milliseconds duration);

    // The instance is killed: it sends nothing and loses its state.
    void kill(int instance);

    // Starts a killed instance again.
    void start(int instance);

    bool is_running(int instance) const;

    // Freezes the instance or lets it run again.
    void freeze(int instance, bool frozen);

    // Cuts the instance off from its peers, not from the servers.
    void cut(int instance, bool cut_off);

    // The instance drains: it serves requests and tells its peers that it is
    // leaving.
    void drain(int instance);

    // The process of the server is replaced by one of the same id.
    void restart_server(int server);

    // Returns the most requests that reached the server in a window of four
    // seconds, from instances that had a response with a limit at least half a
    // second before, since the given time.
    std::ptrdiff_t most_from_told(int server, time_point since) const;

    // Returns the number of requests that reached the server since the time.
    int total_since(int server, time_point since) const;

    time_point now{std::chrono::hours(1)};
    // Requests per second of each instance.
    std::vector<double> demand;

private:
    struct response
    {
        time_point at;
        int instance = 0;
        int server = 0;
        time_point sent;
        std::uint64_t number = 0;
        steering::server_notice notice;
        steering::reported_load load;
    };

    struct instance_state
    {
        edge::traffic_state traffic;
        edge::fleet_view fleet;
        std::uint64_t started_ms = 1;
        std::uint64_t digests = 0;
        time_point next_digest;
        bool running = true;
        bool frozen = false;
        bool cut_off = false;
        bool draining = false;
    };

    struct digest_in_flight
    {
        time_point at;
        int from = 0;
        int to = 0;
        std::shared_ptr<const edge::member_digest> digest;
    };

    edge::member_record record_of(int instance) const;
    bool is_active(int instance) const;
    void send_digests(int instance);
    void deliver_digests();
    void publish(int instance);
    void send(int instance);
    void receive(const response& it);

    limit_fleet_options options;
    notice_source notices;
    std::mt19937_64 rng;
    steering::traffic_route route;
    std::vector<steering::server_ptr> servers;
    std::vector<steering::fleet_member> members;
    std::vector<instance_state> instances;
    std::vector<digest_in_flight> digests;
    std::vector<response> responses;
    // Requests that are running or waiting, by server.
    std::vector<int> running;
    std::vector<std::vector<arrival>> arrivals;
    // First response with a limit, by server and instance.
    std::vector<std::vector<time_point>> told;
};

} // namespace parsleyplank::test

#endif
