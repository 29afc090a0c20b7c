// Guards what is learned of servers against failures: half a second of slowness
// on a shared machine, reports that are wrong, and restarts.

#include <parsleyplank/steering/server_capacity.hpp>
#include <parsleyplank/steering/server_ranking.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

class steering_server_capacity_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_server_capacity_faults);
    CPPUNIT_TEST(a_slow_half_second_is_avoided_and_forgotten);
    CPPUNIT_TEST(a_slow_half_second_does_not_move_objects);
    CPPUNIT_TEST(reports_that_response_times_contradict_lose_their_force);
    CPPUNIT_TEST(a_pace_that_changed_during_the_request_is_not_overrated);
    CPPUNIT_TEST(a_restarted_server_starts_with_its_slots);
    CPPUNIT_TEST(instances_with_few_samples_do_not_herd);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    const capacity_options options{};
    const ranking_options ranking{};
    const health_options health{};

    static server_ptr make_server(int number)
    {
        backend_server it;
        it.id = backend_server_id("s" + std::to_string(number));
        it.domain = failure_domain_id("a");
        it.region = region_id("r");
        it.slots = 9;
        return std::make_shared<const backend_server>(it);
    }

public:
    // Guards against a request that meets a slow machine although its server
    // has just said so, and against avoiding that server for seconds.
    void a_slow_half_second_is_avoided_and_forgotten()
    {
        server_pace pace;
        for (int i = 0; i < 20; ++i)
            record_pace(pace, 1, options, start);
        record_pace(pace, 2.5, options, start);
        CPPUNIT_ASSERT(relative_pace(pace, options, start) > 2);
        // The state of the machine changes every 0.6 s.
        CPPUNIT_ASSERT(
            relative_pace(pace, options, start + milliseconds(1'200)) < 1.15);
        server_load slow;
        slow.capacity.pace = pace;
        server_load other;
        // Both serve the object.
        const service_times times{260, 260, 0, 4, 0};
        std::vector<candidate> list{
            {make_server(0), &slow, distance::same_domain, false, true},
            {make_server(1), &other, distance::same_domain, false, true}};
        list[0].pace = relative_pace(pace, options, start);
        const auto chosen =
            choose_server(list, {}, times, ranking, health, false, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen->position);
    }

    // Guards the servers that keep objects warm: a time that the reported pace
    // explains must not count as slowness of the server, which would send its
    // objects to servers that are cold for them.
    void a_slow_half_second_does_not_move_objects()
    {
        server_load load;
        load.round_trip = std::chrono::microseconds(1'000);
        service_times times{260, 260, 0, 4, 0};
        ranked_server chosen;
        const auto latency = std::chrono::milliseconds(651);
        record_pace(load.capacity.pace, 1, options, start);
        record_pace(load.capacity.pace, 2.5, options, start);
        const auto shown =
            shown_pace(relative_pace(load.capacity.pace, options, start),
                       work_ms(load, latency) / times.warm_ms);
        const auto usual = std::chrono::microseconds(static_cast<std::int64_t>(
            static_cast<double>(std::chrono::microseconds(latency).count()) /
            shown));
        for (int i = 0; i < 3; ++i)
            record_latency(times, load, chosen, usual, ranking, health, start);
        CPPUNIT_ASSERT(slowness_of(load, health, start) < 1.3);
        CPPUNIT_ASSERT(times.warm_ms < 300);
    }

    // Guards against a server that reports a slow machine while it is quick:
    // its callers would be sent to cold servers without need.
    void reports_that_response_times_contradict_lose_their_force()
    {
        server_pace pace;
        // The typical pace stays that of the past.
        record_pace(pace, 1, options, start);
        record_pace(pace, 3, options, start);
        const auto claimed = relative_pace(pace, options, start);
        CPPUNIT_ASSERT(claimed > 2);
        for (int i = 0; i < 10; ++i)
            check_pace(pace, 1, options);
        CPPUNIT_ASSERT(relative_pace(pace, options, start) < 1.3);
        for (int i = 0; i < 10; ++i)
            check_pace(pace, claimed, options);
        CPPUNIT_ASSERT(relative_pace(pace, options, start) > 2);
    }

    // Guards the averages: a report is of the end of a request that may have
    // run at the usual pace.
    void a_pace_that_changed_during_the_request_is_not_overrated()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, shown_pace(2.5, 0.9));
        CPPUNIT_ASSERT_EQUAL(1.4, shown_pace(2.5, 1.4));
        CPPUNIT_ASSERT_EQUAL(2.5, shown_pace(2.5, 7));
        CPPUNIT_ASSERT_EQUAL(0.5, shown_pace(0.5, 0.2));
    }

    // Guards against holding the limit of an earlier process against its
    // successor.
    void a_restarted_server_starts_with_its_slots()
    {
        server_capacity server;
        const service_capacity service;
        service_capacity shared;
        check_process(server, 5);
        for (int i = 0; i < 30; ++i)
            record_sample(
                server, shared,
                {i % 2 == 0 ? 1.0 : 8.0, 0, 9, i % 2 == 0 ? 1.0 : 3.0}, options,
                start);
        CPPUNIT_ASSERT(limit_of(server, service, 9, options, start) < 9);
        check_process(server, 5);
        CPPUNIT_ASSERT(limit_of(server, service, 9, options, start) < 9);
        check_process(server, 6);
        CPPUNIT_ASSERT_EQUAL(9.0, limit_of(server, service, 9, options, start));
    }

    // Guards against herds: 60 instances that each know a few old reports place
    // requests for many objects at the same moment. No server may get more than
    // it has slots, and each object stays on its first servers.
    void instances_with_few_samples_do_not_herd()
    {
        constexpr int servers = 40;
        constexpr int instances = 60;
        std::vector<server_ptr> group;
        group.reserve(servers);
        for (int i = 0; i < servers; ++i)
            group.push_back(make_server(i));
        std::map<std::size_t, int> taken;
        std::mt19937 rng(7);
        for (int i = 0; i < instances; ++i)
        {
            std::vector<server_load> loads(servers);
            std::vector<candidate> list;
            for (std::size_t s = 0; s < servers; ++s)
            {
                // A third of the servers looks slow or fast to this instance.
                auto& pace = loads[s].capacity.pace;
                if (rng() % 3 == 0)
                    record_pace(pace, rng() % 2 == 0 ? 2.5 : 0.8, options,
                                start - milliseconds(400));
                list.push_back(
                    {group[s], &loads[s], distance::same_domain, false});
                list.back().pace = relative_pace(pace, options, start);
            }
            for (int n = 0; n < 2; ++n)
            {
                const auto key = std::to_string(rng() % 250);
                const service_times times{260, 260, 3.3, 4, 0};
                const auto chosen =
                    choose_server(list, {key, object_group::region, {}}, times,
                                  ranking, health, false, start);
                ++taken[chosen->position];
            }
        }
        for (const auto& [server, n] : taken)
            CPPUNIT_ASSERT(n <= 9);
        // Requests are spread over most servers.
        CPPUNIT_ASSERT(taken.size() > servers / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_server_capacity_faults);

} // namespace
