// Guards what an instance learns of the capacity of servers, under the loads
// that make it matter: servers of different speed, servers that slow down
// before they are full, long requests, few slots, and a fleet in which each
// instance sees few responses of a server.

#include <parsleyplank/steering/server_capacity.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

// A server whose responses take the given multiple of the unloaded time, by the
// number of running requests.
using response_curve = std::function<double(double running)>;

response_curve knee_at(double requests, double factor, double speed = 1)
{
    return [=](double running)
    {
        return speed * (running > requests ? factor : 1);
    };
}

class steering_server_capacity : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_server_capacity);
    CPPUNIT_TEST(a_server_without_slow_responses_keeps_its_slots);
    CPPUNIT_TEST(a_limit_is_found_within_seconds_and_bounds_slow_responses);
    CPPUNIT_TEST(a_slow_server_keeps_its_slots);
    CPPUNIT_TEST(long_requests_do_not_lower_a_limit);
    CPPUNIT_TEST(three_slots_are_used_down_to_one_and_up_again);
    CPPUNIT_TEST(few_responses_of_each_server_find_the_limit_of_a_service);
    CPPUNIT_TEST(one_server_of_many_has_a_limit_of_its_own);
    CPPUNIT_TEST(responses_behind_a_queue_do_not_count);
    CPPUNIT_TEST(retention_is_learned_in_both_directions);
    CPPUNIT_TEST(the_unloaded_time_ignores_loaded_responses);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    const capacity_options options{};
    service_capacity service;
    std::mt19937 rng{1};

    // Sends a request in each step at a load between none and the limit, as
    // instances that respect the limit do. Returns the part of slow responses.
    double play(server_capacity& server, const response_curve& curve,
                double slots, int steps, milliseconds step, time_point& now,
                double long_part = 0)
    {
        int slow = 0;
        std::uniform_real_distribution<double> part(0, 1);
        for (int i = 0; i < steps; ++i, now += step)
        {
            const auto limit = limit_of(server, service, slots, options, now);
            const auto running = std::ceil(part(rng) * limit);
            constexpr double long_factor = 7;
            const auto ratio =
                curve(running) * (part(rng) < long_part ? long_factor : 1);
            slow += ratio > options.slow_ratio ? 1 : 0;
            record_sample(server, service, {running, 0, slots, ratio}, options,
                          now);
        }
        return static_cast<double>(slow) / steps;
    }

    double limit(const server_capacity& server, double slots, time_point now)
    {
        return limit_of(server, service, slots, options, now);
    }

public:
    // Guards services without a slow-down, which must be served as before.
    void a_server_without_slow_responses_keeps_its_slots()
    {
        server_capacity server;
        auto now = start;
        CPPUNIT_ASSERT_EQUAL(9.0, limit(server, 9, now));
        play(server, knee_at(9, 1), 9, 300, milliseconds(50), now);
        CPPUNIT_ASSERT_EQUAL(9.0, limit(server, 9, now));
    }

    // Guards callers of a server that is twice as slow once half of its slots
    // are in use: within 5 s most of them must get its unloaded time.
    void a_limit_is_found_within_seconds_and_bounds_slow_responses()
    {
        server_capacity server;
        auto now = start;
        play(server, knee_at(5, 2.2), 10, 100, milliseconds(50), now);
        const auto slow =
            play(server, knee_at(5, 2.2), 10, 400, milliseconds(50), now);
        CPPUNIT_ASSERT(slow < 0.25);
        CPPUNIT_ASSERT(limit(server, 10, now) >= 4);
        // The knee goes away: the slots are used again within 20 s.
        play(server, knee_at(10, 1), 10, 400, milliseconds(50), now);
        CPPUNIT_ASSERT(limit(server, 10, now) >= 9);
    }

    // Guards against taking low speed for overload: a slow server is as slow
    // with one request, and fewer requests at a time would only waste it.
    void a_slow_server_keeps_its_slots()
    {
        server_capacity server;
        auto now = start;
        play(server, knee_at(9, 1, 2.5), 9, 400, milliseconds(50), now);
        CPPUNIT_ASSERT_EQUAL(9.0, limit(server, 9, now));
    }

    // Guards against a limit that sinks under ordinary variance: 3% of requests
    // take seven times as long, and a sixth meets a slow half second.
    void long_requests_do_not_lower_a_limit()
    {
        server_capacity server;
        auto now = start;
        for (int round = 0; round < 20; ++round)
        {
            play(server, knee_at(9, 1), 9, 50, milliseconds(50), now, 0.18);
            CPPUNIT_ASSERT(limit(server, 9, now) >= 8);
        }
    }

    // Guards the whole numbers of small limits: never below 1, and one up at a
    // time once the server is quick again.
    void three_slots_are_used_down_to_one_and_up_again()
    {
        server_capacity server;
        auto now = start;
        double lowest = 3;
        play(server, knee_at(1, 3), 3, 60, milliseconds(100), now);
        for (int i = 0; i < 100; ++i)
        {
            play(server, knee_at(1, 3), 3, 1, milliseconds(100), now);
            lowest = std::min(lowest, limit(server, 3, now));
            CPPUNIT_ASSERT(limit(server, 3, now) <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, lowest);
        double before = limit(server, 3, now);
        for (int i = 0; i < 200; ++i)
        {
            play(server, knee_at(3, 1), 3, 1, milliseconds(100), now);
            const auto after = limit(server, 3, now);
            CPPUNIT_ASSERT(std::abs(after - before) <= 1);
            before = after;
        }
        CPPUNIT_ASSERT_EQUAL(3.0, before);
    }

    // Guards large fleets, where an instance gets a response of one server in
    // several seconds: all of them together show a limit that they share.
    void few_responses_of_each_server_find_the_limit_of_a_service()
    {
        std::vector<server_capacity> servers(40);
        auto now = start;
        for (int round = 0; round < 2; ++round)
            for (auto& it : servers)
                play(it, knee_at(4, 2.5), 9, 1, milliseconds(60), now);
        const server_capacity unknown;
        CPPUNIT_ASSERT(limit(unknown, 9, now) <= 6);
        CPPUNIT_ASSERT(limit(unknown, 9, now) >= 4);
        for (const auto& it : servers)
            CPPUNIT_ASSERT(
                std::abs(limit(it, 9, now) - limit(unknown, 9, now)) <= 2);
    }

    // Guards uneven servers: the limit of one does not bind the others.
    void one_server_of_many_has_a_limit_of_its_own()
    {
        std::vector<server_capacity> servers(8);
        auto now = start;
        for (int round = 0; round < 60; ++round)
            for (std::size_t i = 0; i < servers.size(); ++i)
                play(servers[i], knee_at(i == 0 ? 3 : 8, 3), 8, 1,
                     milliseconds(15), now);
        CPPUNIT_ASSERT(limit(servers[0], 8, now) <= 5);
        CPPUNIT_ASSERT_EQUAL(8.0, limit(servers[1], 8, now));
    }

    // Guards overload: waiting for a slot is no sign that the slots are too
    // many, and a lower limit would refuse more callers.
    void responses_behind_a_queue_do_not_count()
    {
        server_capacity server;
        for (int i = 0; i < 100; ++i)
            record_sample(server, service, {9, 5, 9, 4}, options,
                          start + milliseconds(20) * i);
        CPPUNIT_ASSERT_EQUAL(9.0,
                             limit(server, 9, start + milliseconds(2'000)));
    }

    // Guards the choice of servers that are warm: one that keeps objects for
    // long counts as warm for long, and one that forgets early does not.
    void retention_is_learned_in_both_directions()
    {
        constexpr milliseconds initial{6'000};
        CPPUNIT_ASSERT(retention_of(service, initial) == initial);
        for (int i = 0; i < 20; ++i)
            record_retention(service, milliseconds(20'000), true, initial,
                             options);
        CPPUNIT_ASSERT(retention_of(service, initial) >= milliseconds(20'000));
        for (int i = 0; i < 20; ++i)
            record_retention(service, milliseconds(4'000), false, initial,
                             options);
        CPPUNIT_ASSERT(retention_of(service, initial) <= milliseconds(5'000));
        // Warm responses after short gaps say nothing of longer ones.
        const auto known = retention_of(service, initial);
        record_retention(service, milliseconds(500), true, initial, options);
        CPPUNIT_ASSERT(retention_of(service, initial) == known);
    }

    // Guards the reference of all limits under constant load.
    void the_unloaded_time_ignores_loaded_responses()
    {
        double ms = 0;
        for (int i = 0; i < 50; ++i)
            ms = update_unloaded_ms(ms, 200, true);
        for (int i = 0; i < 500; ++i)
            ms = update_unloaded_ms(ms, 600, false);
        CPPUNIT_ASSERT(ms < 250);
        for (int i = 0; i < 100; ++i)
            ms = update_unloaded_ms(ms, 600, true);
        CPPUNIT_ASSERT(ms > 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_server_capacity);

} // namespace
