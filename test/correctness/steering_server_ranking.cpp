// Guards the choice of a backend server: objects stay on few servers, requests
// for the objects of a full server use another one, and a failing or
// unresponsive server gets no requests.

#include <parsleyplank/steering/server_ranking.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

struct server_group
{
    std::vector<server_ptr> servers;
    std::map<backend_server_id, server_load> loads;

    void add(const std::string& id, const std::string& domain,
             const std::string& region)
    {
        backend_server it;
        it.id = backend_server_id(id);
        it.domain = failure_domain_id(domain);
        it.region = region_id(region);
        it.slots = 4;
        servers.push_back(std::make_shared<const backend_server>(it));
    }

    std::vector<candidate> candidates(const std::string& own_domain,
                                      const std::string& own_region)
    {
        std::vector<candidate> list;
        for (const auto& it : servers)
            list.push_back(
                {it, &loads[it->id],
                 it->domain.value == own_domain   ? distance::same_domain
                 : it->region.value == own_region ? distance::same_region
                                                  : distance::other_region,
                 false});
        return list;
    }
};

void occupy(server_load& load, std::size_t requests, time_point now)
{
    for (std::size_t i = 0; i < requests; ++i)
        load.in_flight[1'000 + i] = {now, milliseconds(300)};
    load.last_received = now;
}

class steering_server_ranking : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_server_ranking);
    CPPUNIT_TEST(an_object_has_one_server_in_a_region);
    CPPUNIT_TEST(a_large_body_stays_in_its_failure_domain);
    CPPUNIT_TEST(a_removed_server_moves_only_its_own_objects);
    CPPUNIT_TEST(an_object_leaves_a_full_server_once_waiting_costs_more);
    CPPUNIT_TEST(the_own_failure_domain_is_preferred);
    CPPUNIT_TEST(an_idle_server_is_found_when_the_warm_one_is_full);
    CPPUNIT_TEST(all_instances_warm_up_the_same_second_server);
    CPPUNIT_TEST(a_burst_does_not_fill_a_region_with_cold_requests);
    CPPUNIT_TEST(the_next_server_keeps_the_objects_of_an_ejected_one);
    CPPUNIT_TEST(a_server_without_a_recent_report_counts_as_full_as_its_region);
    CPPUNIT_TEST(objects_overflow_only_to_regions_with_spare_slots);
    CPPUNIT_TEST(an_unresponsive_server_gets_no_requests);
    CPPUNIT_TEST(a_failing_server_is_ejected_and_tried_again);
    CPPUNIT_TEST(a_slow_server_is_tried_again_after_a_while);
    CPPUNIT_TEST(the_cold_objects_of_a_new_server_are_not_slow);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    const ranking_options options{};
    const health_options health{};
    service_times times{260, 260, 0, 4};
    object_group group_kind = object_group::region;
    bool free_only = false;

    server_group one_domain(std::size_t n)
    {
        server_group group;
        for (std::size_t i = 0; i < n; ++i)
            group.add("s" + std::to_string(i), "oslo-a", "oslo");
        return group;
    }

    std::optional<ranked_server> ranked(server_group& group,
                                        const std::string& key, time_point now,
                                        const std::string& domain = "oslo-a")
    {
        return choose_server(group.candidates(domain, "oslo"),
                             {key, group_kind, region_id("bergen")}, times,
                             options, health, free_only, now);
    }

    std::string chosen(server_group& group, const std::string& key,
                       time_point now, const std::string& domain = "oslo-a")
    {
        const auto it = ranked(group, key, now, domain);
        return it ? group.servers[it->position]->id.value : "";
    }

public:
    // Guards against spreading an object over many servers. A cold object takes
    // three times as long, and each further server of an object has to warm up
    // for it. With two servers per failure domain, twelve in all, the
    // overloaded services of both sites needed half of the day to become warm.
    void an_object_has_one_server_in_a_region()
    {
        server_group group;
        group.add("s0", "oslo-a", "oslo");
        group.add("s1", "oslo-a", "oslo");
        group.add("s2", "oslo-b", "oslo");
        std::map<std::string, std::set<std::string>> servers_of_key;
        for (int round = 0; round < 4; ++round)
            for (int key = 0; key < 24; ++key)
            {
                // The load of other objects on a server makes no difference.
                occupy(group.loads[backend_server_id(
                           "s" + std::to_string(round % 3))],
                       2, start);
                const auto name = std::to_string(key);
                servers_of_key[name].insert(chosen(group, name, start));
            }
        for (const auto& [key, servers] : servers_of_key)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), servers.size());
    }

    void a_large_body_stays_in_its_failure_domain()
    {
        server_group group;
        group.add("s0", "oslo-a", "oslo");
        group.add("s1", "oslo-b", "oslo");
        group_kind = object_group::domain;
        for (int key = 0; key < 24; ++key)
            CPPUNIT_ASSERT_EQUAL(std::string("s0"),
                                 chosen(group, std::to_string(key), start));
    }

    void a_removed_server_moves_only_its_own_objects()
    {
        auto all = one_domain(4);
        auto fewer = one_domain(3);
        for (int key = 0; key < 100; ++key)
        {
            const auto name = std::to_string(key);
            const auto before = chosen(all, name, start);
            if (before != "s3")
                CPPUNIT_ASSERT_EQUAL(before, chosen(fewer, name, start));
        }
    }

    // Covers an object that is requested far more often than its server can
    // serve.
    void an_object_leaves_a_full_server_once_waiting_costs_more()
    {
        auto group = one_domain(3);
        const auto first = chosen(group, "7", start);
        occupy(group.loads[backend_server_id(first)], 4, start);
        CPPUNIT_ASSERT_EQUAL(first, chosen(group, "7", start));
        occupy(group.loads[backend_server_id(first)], 14, start);
        CPPUNIT_ASSERT(first != chosen(group, "7", start));
    }

    void the_own_failure_domain_is_preferred()
    {
        server_group group;
        group.add("near", "oslo-a", "oslo");
        group.add("beside", "oslo-b", "oslo");
        group.add("far", "bergen-a", "bergen");
        CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen(group, "", start));
        occupy(group.loads[backend_server_id("near")], 8, start);
        CPPUNIT_ASSERT_EQUAL(std::string("beside"), chosen(group, "", start));
        occupy(group.loads[backend_server_id("beside")], 12, start);
        occupy(group.loads[backend_server_id("near")], 12, start);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), chosen(group, "", start));
    }

    // Guards against refusing callers because the server of their object is
    // full, while other servers of the region have free slots.
    void an_idle_server_is_found_when_the_warm_one_is_full()
    {
        auto group = one_domain(3);
        const auto first = chosen(group, "7", start);
        occupy(group.loads[backend_server_id(first)], 5, start);
        CPPUNIT_ASSERT_EQUAL(first, chosen(group, "7", start));
        free_only = true;
        CPPUNIT_ASSERT(first != chosen(group, "7", start));
        CPPUNIT_ASSERT(!chosen(group, "7", start).empty());
    }

    // Guards against each instance sending the overflow of an object's full
    // server to a different idle server, which made the object cold nearly
    // everywhere.
    void all_instances_warm_up_the_same_second_server()
    {
        for (int key = 0; key < 24; ++key)
        {
            const auto name = std::to_string(key);
            std::set<std::string> seconds;
            for (const std::string domain : {"oslo-a", "oslo-b"})
            {
                server_group group;
                for (const std::string n : {"1", "2", "3"})
                {
                    group.add("a" + n, "oslo-a", "oslo");
                    group.add("b" + n, "oslo-b", "oslo");
                }
                const auto first = chosen(group, name, start, domain);
                occupy(group.loads[backend_server_id(first)], 14, start);
                seconds.insert(chosen(group, name, start, domain));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), seconds.size());
        }
    }

    // Guards against a burst that fills the servers of a region with requests
    // for cold objects, which take three times as long. The region was still
    // late 20 s after the burst, under a load that it can serve warm.
    void a_burst_does_not_fill_a_region_with_cold_requests()
    {
        auto group = one_domain(3);
        const auto first = chosen(group, "7", start);
        occupy(group.loads[backend_server_id(first)], 14, start);
        for (const auto& it : group.servers)
            if (it->id.value != first)
                occupy(group.loads[it->id], 2, start);
        CPPUNIT_ASSERT_EQUAL(first, chosen(group, "7", start));
        free_only = true;
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(group, "7", start));
    }

    // Guards against counting requests for the objects of a failed server as
    // cold everywhere: they were refused although the next server had the
    // objects warm.
    void the_next_server_keeps_the_objects_of_an_ejected_one()
    {
        auto group = one_domain(3);
        const auto first = chosen(group, "7", start);
        group.loads[backend_server_id(first)].ejected_until =
            start + health.first_ejection;
        const auto second = ranked(group, "7", start);
        CPPUNIT_ASSERT(second && second->warm);
        CPPUNIT_ASSERT(first != group.servers[second->position]->id.value);
    }

    // Guards against treating a server as idle once its report has aged. 40
    // instances each sent to the same server every two seconds and kept a queue
    // of 14 requests there for 12 s.
    void a_server_without_a_recent_report_counts_as_full_as_its_region()
    {
        region_load typical;
        auto now = start;
        for (int n = 0; n < 40; ++n)
        {
            now += milliseconds(100);
            record_region_load(typical, 3, health, now);
        }
        server_load load;
        record_report(load, {4, 8, 4}, now);
        const auto full = 3 * 4.0;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(full, load_of(load, 0, health, now), 0.1);
        now += milliseconds(2'000);
        record_region_load(typical, 3, health, now);
        const auto others = 4 * region_load_per_slot(typical, health, now);
        CPPUNIT_ASSERT(load_of(load, 0, health, now) < full / 4);
        CPPUNIT_ASSERT(load_of(load, others, health, now) > full / 4);
        // Reports once a second give the same average.
        region_load sparse;
        for (int n = 0; n < 4; ++n)
        {
            now += milliseconds(1'000);
            record_region_load(sparse, 3, health, now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            3, region_load_per_slot(sparse, health, now), 0.1);
        // Without reports the average decays, so that the region is tried
        // again.
        now += 6 * health.region_load_half_life;
        CPPUNIT_ASSERT(4 * region_load_per_slot(typical, health, now) < 0.5);
    }

    // Guards against a region with spare slots sending requests to a region
    // that lacks them, because it seldom receives load reports from there.
    void objects_overflow_only_to_regions_with_spare_slots()
    {
        const std::vector<region_surplus> regions{{region_id("poor"), -3},
                                                  {region_id("rich"), 30},
                                                  {region_id("fair"), 10}};
        std::map<std::string, int> counts;
        for (int key = 0; key < 400; ++key)
            ++counts[choose_overflow_region(std::to_string(key), regions)
                         .value];
        CPPUNIT_ASSERT_EQUAL(0, counts["poor"]);
        CPPUNIT_ASSERT(counts["rich"] > 2 * counts["fair"]);
        CPPUNIT_ASSERT(counts["fair"] > 50);
    }

    // Covers a server that stops responding with its connections open; each
    // request would wait there until its deadline.
    void an_unresponsive_server_gets_no_requests()
    {
        auto group = one_domain(2);
        const auto first = chosen(group, "3", start);
        auto& load = group.loads[backend_server_id(first)];
        load.in_flight[1] = {start, milliseconds(260)};
        CPPUNIT_ASSERT_EQUAL(first,
                             chosen(group, "3", start + milliseconds(500)));
        const auto later = start + milliseconds(900);
        CPPUNIT_ASSERT(first != chosen(group, "3", later));
        load.last_received = start + milliseconds(850);
        CPPUNIT_ASSERT_EQUAL(first, chosen(group, "3", later));
    }

    void a_failing_server_is_ejected_and_tried_again()
    {
        auto group = one_domain(2);
        const auto first = chosen(group, "3", start);
        auto& load = group.loads[backend_server_id(first)];
        int failures = 0;
        while (!record_result(load, request_result::bad, health, start))
            CPPUNIT_ASSERT(++failures < 10);
        CPPUNIT_ASSERT(first != chosen(group, "3", start));
        const auto later =
            start + health.first_ejection + 4 * health.failure_half_life;
        CPPUNIT_ASSERT_EQUAL(first, chosen(group, "3", later));
    }

    // Failure scenario: all objects are cold on the servers of a new version.
    // 4 of 13 responses counted as slow and a good version was rolled back.
    void the_cold_objects_of_a_new_server_are_not_slow()
    {
        const ranking_options ranking;
        service_times times = initial_times(milliseconds(400));
        times.warm_ms = 110;
        const ranked_server assigned;
        CPPUNIT_ASSERT(assigned.warm);
        const std::chrono::milliseconds cold(540);
        CPPUNIT_ASSERT(
            !is_slow_response(times, assigned, false, cold, ranking));
        CPPUNIT_ASSERT(is_slow_response(times, assigned, true, cold, ranking));
        const std::chrono::milliseconds eight_times_as_long(2'900);
        CPPUNIT_ASSERT(is_slow_response(times, assigned, false,
                                        eight_times_as_long, ranking));
    }

    void a_slow_server_is_tried_again_after_a_while()
    {
        auto group = one_domain(2);
        const auto first = chosen(group, "3", start);
        auto& load = group.loads[backend_server_id(first)];
        load.slowness = 12;
        load.slowness_at = start;
        CPPUNIT_ASSERT(first != chosen(group, "3", start));
        CPPUNIT_ASSERT_EQUAL(
            first, chosen(group, "3", start + 4 * health.slowness_half_life));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_server_ranking);

} // namespace
