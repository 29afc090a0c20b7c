#ifndef PARSLEYPLANK_TEST_SUPPORT_TOKEN_FLEET_HPP
#define PARSLEYPLANK_TEST_SUPPORT_TOKEN_FLEET_HPP

// A simulated fleet that admits the requests of one customer with a limit. The
// decisions of the instances are real: their views of the fleet, the roster of
// those that issue tokens, and the pools. The store, the network and the clock
// are simulated, with a seed.

#include <parsleyplank/edge/fleet_view.hpp>
#include <parsleyplank/edge/rate_roster.hpp>
#include <parsleyplank/edge/token_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleyplank::test
{

struct token_fleet_options
{
    int instances = 10;
    int regions = 3;
    // Limit of the customer.
    double rate = 300;
    double burst = 300;
    // Part of the datagrams that are lost.
    double loss = 0.01;
    std::uint64_t seed = 1;
};

class token_fleet
{
public:
    // Requests per second at the instance.
    using demand_source = std::function<double(int instance)>;

    // Starts all instances within 0.3 s.
    explicit token_fleet(const token_fleet_options& chosen);
    ~token_fleet();

    token_fleet(const token_fleet&) = delete;
    token_fleet& operator=(const token_fleet&) = delete;

    // Requests from now on.
    void set_demand(demand_source source);

    // Runs the fleet for a time.
    void run(milliseconds duration);

    // Instances reach each other only within a group, and the store only from
    // group 0. All begin in group 0.
    void set_group(int instance, int group);
    // Datagrams of the instance reach nobody, but it gets those of others.
    void mute(int instance, bool muted);
    void freeze(int instance, bool frozen);
    // The process ends at once; its registration stays until its lease ends.
    void kill(int instance);
    void start(int instance);
    // The process removes its records and ends after a second.
    void drain(int instance);

    int size() const;

    // Most requests that were admitted in a window of 5 s.
    std::size_t most_in_window() const;
    // What RULES allows in this window: 10% and 20 requests beyond the rate and
    // the burst.
    double most_allowed() const;

    // Requests at the instances of a group, since the last reset.
    double served_part(int group) const;
    void reset_counts();

    // What all instances that issue tokens issue together, per second.
    double issued_rate() const;

private:
    struct instance;
    struct store_state;

    void step();
    void deliver(int from, int to, std::function<void(instance&)> action);
    void control_tick(instance& it);
    void renew_registration(instance& it);
    void update_roster(instance& it);
    void publish(instance& it);
    void apply_store_events(instance& it);
    void move_tokens(instance& it);
    void send_requests(instance& it);
    void request(instance& it, int attempts_left);
    void request_elsewhere(instance& it);
    void end_request(instance& it, bool admitted);
    void expire_leases();
    bool reaches_store(const instance& it) const;
    int number_of(const steering::server_endpoint& to) const;

    token_fleet_options options;
    demand_source demand;
    std::mt19937_64 rng;
    time_point at{std::chrono::hours(1)};
    steering::traffic_customer customer;
    std::unique_ptr<store_state> store;
    std::vector<std::unique_ptr<instance>> instances;
    std::multimap<time_point, std::function<void()>> events;
    std::vector<time_point> admitted;
};

} // namespace parsleyplank::test

#endif
