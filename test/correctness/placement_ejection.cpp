// Guards ejection and the retry budget: a failing backend server gets no
// requests even if its health endpoint reports it healthy, at least half the
// servers always remain in use, and retries do not multiply the load.

#include <parsleyplank/placement/ejection.hpp>
#include <parsleyplank/placement/retry_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::placement;

namespace
{

const time_point start{std::chrono::hours(1)};

class placement_ejection : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_ejection);
    CPPUNIT_TEST(consecutive_failures_eject);
    CPPUNIT_TEST(ejection_time_doubles_and_success_resets);
    CPPUNIT_TEST(half_the_servers_remain);
    CPPUNIT_TEST(own_observations_outweigh_health_endpoint);
    CPPUNIT_TEST(faulty_probe_does_not_empty_the_upstream);
    CPPUNIT_TEST(retries_stay_within_budget);
    CPPUNIT_TEST_SUITE_END();

    ejection_table table;
    std::vector<backend_server_id> servers;

    void fail(const backend_server_id& id, int times, time_point now)
    {
        for (int n = 0; n < times; ++n)
            record_result(table, id, false, now);
    }

public:
    void setUp() override
    {
        servers.clear();
        for (int n = 0; n < 7; ++n)
            servers.emplace_back("s" + std::to_string(n));
        set_members(table, servers);
    }

    void consecutive_failures_eject()
    {
        fail(servers[0], 4, start);
        record_result(table, servers[0], true, start);
        fail(servers[0], 4, start);
        CPPUNIT_ASSERT(is_usable(table, servers[0], start));
        CPPUNIT_ASSERT(record_result(table, servers[0], false, start));
        CPPUNIT_ASSERT(!is_usable(table, servers[0], start));
        CPPUNIT_ASSERT(is_usable(table, servers[0],
                                 start + table.options.base_ejection_time));
        CPPUNIT_ASSERT(!is_usable(table, backend_server_id("no"), start));
    }

    void ejection_time_doubles_and_success_resets()
    {
        fail(servers[0], 5, start);
        auto now = start + table.options.base_ejection_time;
        // A single failure ejects a server that has had no success since its
        // last ejection.
        fail(servers[0], 1, now);
        CPPUNIT_ASSERT(!is_usable(table, servers[0],
                                  now + 2 * table.options.base_ejection_time -
                                      milliseconds(1)));
        now += 2 * table.options.base_ejection_time;
        CPPUNIT_ASSERT(is_usable(table, servers[0], now));
        for (int n = 0; n < 20; ++n)
        {
            fail(servers[0], 1, now);
            now += table.options.max_ejection_time;
            CPPUNIT_ASSERT(is_usable(table, servers[0], now));
        }
        record_result(table, servers[0], true, now);
        fail(servers[0], 4, now);
        CPPUNIT_ASSERT(is_usable(table, servers[0], now));
    }

    void half_the_servers_remain()
    {
        std::mt19937_64 rng(3);
        auto now = start;
        for (int n = 0; n < 5'000; ++n)
        {
            now += milliseconds(rng() % 100);
            record_result(table, servers[rng() % servers.size()],
                          rng() % 20 == 0, now);
            CPPUNIT_ASSERT(ejected_count(table, now) <= servers.size() / 2);
        }
        CPPUNIT_ASSERT_EQUAL(servers.size() / 2, ejected_count(table, now));
    }

    void own_observations_outweigh_health_endpoint()
    {
        record_health(table, servers[0], true);
        fail(servers[0], 5, start);
        record_health(table, servers[0], true);
        CPPUNIT_ASSERT(!is_usable(table, servers[0], start));

        record_result(table, servers[1], true, start);
        record_health(table, servers[1], false);
        CPPUNIT_ASSERT(is_usable(table, servers[1], start));
        // Without recent own results the health endpoint decides.
        CPPUNIT_ASSERT(!is_usable(table, servers[1],
                                  start + table.options.max_observation_age +
                                      milliseconds(1)));
        record_health(table, servers[2], false);
        CPPUNIT_ASSERT(!is_usable(table, servers[2], start));
    }

    void faulty_probe_does_not_empty_the_upstream()
    {
        for (const auto& id : servers)
            record_health(table, id, false);
        for (const auto& id : servers)
            CPPUNIT_ASSERT(is_usable(table, id, start));
    }

    void retries_stay_within_budget()
    {
        retry_budget budget;
        int retries = 0;
        for (int n = 1; n <= 10'000; ++n)
        {
            record_request(budget);
            // Every attempt fails, including the retries.
            while (take_retry(budget))
                ++retries;
            CPPUNIT_ASSERT(retries <=
                           budget.retry_ratio * n + budget.max_available);
        }
        CPPUNIT_ASSERT(retries > 950);
        // Requests without retries add up to at most max_available.
        for (int n = 0; n < 10'000; ++n)
            record_request(budget);
        retries = 0;
        while (take_retry(budget))
            ++retries;
        CPPUNIT_ASSERT_EQUAL(5, retries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_ejection);

} // namespace
