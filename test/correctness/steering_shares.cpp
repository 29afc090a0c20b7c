// Guards the division of fleet-wide limits among instances without a message
// per request: the rate of cold backend servers, and limits that servers name.
// test/correctness/quota_token_stock.cpp and edge_token_fleet.cpp guard the
// division of the rates of customers.

#include <parsleyplank/steering/demand_meter.hpp>
#include <parsleyplank/steering/rate_share.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

class steering_shares : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_shares);
    CPPUNIT_TEST(demand_follows_what_is_counted);
    CPPUNIT_TEST(cold_servers_get_their_rate_from_few_instances);
    CPPUNIT_TEST(a_limit_is_divided_among_as_many_as_can_use_a_request);
    CPPUNIT_TEST(a_silent_server_is_tried_by_more_instances);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<fleet_member> make_members(int count)
    {
        std::vector<fleet_member> members;
        members.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            members.push_back({instance_id("e" + std::to_string(i)),
                               failure_domain_id("oslo-a"),
                               region_id("oslo"),
                               {}});
        return members;
    }

    // Returns the sum of the parts of all members in the limit, and the number
    // of those that have one.
    static std::pair<limit_share, int>
    divide_among_all(const std::vector<fleet_member>& members, double rate,
                     milliseconds silence)
    {
        const time_point now{std::chrono::hours(1)};
        backend_server server;
        server.id = backend_server_id("s");
        server_limit limit;
        set_limit(limit, token_rate(rate), now - silence, now);
        std::pair<limit_share, int> sum;
        for (const auto& it : members)
        {
            const auto share = divide_limit(server, limit, it, members, now);
            sum.first.rate += share.rate;
            sum.first.burst += share.burst;
            sum.second += share.rate > token_rate(0) ? 1 : 0;
        }
        return sum;
    }

public:
    void demand_follows_what_is_counted()
    {
        demand_meter meter;
        time_point now{std::chrono::hours(1)};
        measure_demand(meter, milliseconds(1'500), now);
        double demand = 0;
        for (int i = 0; i < 20; ++i)
        {
            for (int n = 0; n < 10; ++n)
                count_demand(meter);
            now += milliseconds(500);
            demand = measure_demand(meter, milliseconds(1'500), now);
        }
        CPPUNIT_ASSERT(std::abs(demand - 20) < 1);
    }

    // Guards against a rate that is divided into parts of less than a request,
    // and against bursts that grow with the fleet.
    void a_limit_is_divided_among_as_many_as_can_use_a_request()
    {
        constexpr int huge_limit = 1'000'000;
        for (const int count : {1, 3, 9, 300})
            for (const double rate : {0.5, 2.3, 50.0})
            {
                const auto [sum, senders] = divide_among_all(
                    make_members(count), rate, milliseconds(0));
                CPPUNIT_ASSERT(std::abs(sum.rate.value - rate) < 1e-6);
                CPPUNIT_ASSERT(sum.burst.value <= rate + 2);
                CPPUNIT_ASSERT(sum.first_level.value < sum.burst.value / 2);
                CPPUNIT_ASSERT(senders >= 1 && senders <= rate + 2);
            }
        CPPUNIT_ASSERT_EQUAL(
            9, divide_among_all(make_members(9), huge_limit, milliseconds(0))
                   .second);
    }

    void a_silent_server_is_tried_by_more_instances()
    {
        const auto members = make_members(30);
        CPPUNIT_ASSERT_EQUAL(
            3, divide_among_all(members, 1, milliseconds(8'000)).second);
        CPPUNIT_ASSERT_EQUAL(
            8, divide_among_all(members, 1, milliseconds(13'000)).second);
    }

    // Guards against all instances sending to a server at once when it comes
    // back cold.
    void cold_servers_get_their_rate_from_few_instances()
    {
        std::vector<fleet_member> members;
        members.reserve(9);
        for (int i = 0; i < 9; ++i)
            members.push_back({instance_id("e" + std::to_string(i)),
                               failure_domain_id(i < 2 ? "oslo-a" : "other"),
                               region_id(i < 3 ? "oslo" : "bergen"),
                               {}});
        backend_server server;
        server.id = backend_server_id("s");
        server.domain = failure_domain_id("oslo-a");
        server.region = region_id("oslo");
        double sum = 0;
        for (const auto& it : members)
            sum += cold_rate(server, it.id, members, 3.8).value;
        CPPUNIT_ASSERT(std::abs(sum - 3.8) < 1e-9);
        CPPUNIT_ASSERT(cold_rate(server, members[0].id, members, 3.8).value >
                       0);
        CPPUNIT_ASSERT(cold_rate(server, members[8].id, members, 3.8).value ==
                       0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_shares);

} // namespace
