// Guards the division of fleet-wide limits among instances without a message
// per request: rates of customers and the rate of cold backend servers.

#include <parsleyplank/steering/customer_share.hpp>
#include <parsleyplank/steering/rate_share.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

struct peer_demand
{
    double demand = 0;
    bool fresh = true;
};

demand_sum sum_of(const std::vector<peer_demand>& peers)
{
    demand_sum sum;
    for (const auto& it : peers)
    {
        ++(it.fresh ? sum.reporting : sum.silent);
        sum.demand += it.fresh ? it.demand : 0;
    }
    return sum;
}

// Returns the sum of the parts that all instances compute from the same
// demands.
double sum_of_parts(const std::vector<double>& demands, double rate)
{
    double sum = 0;
    for (std::size_t self = 0; self < demands.size(); ++self)
    {
        std::vector<peer_demand> peers;
        for (std::size_t i = 0; i < demands.size(); ++i)
            if (i != self)
                peers.push_back({demands[i], true});
        sum += divide_rate(token_rate(rate), tokens(0), demands[self],
                           sum_of(peers))
                   .rate.value;
    }
    return sum;
}

class steering_shares : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_shares);
    CPPUNIT_TEST(parts_of_a_rate_sum_to_the_rate);
    CPPUNIT_TEST(demand_within_the_rate_is_covered_wherever_it_is);
    CPPUNIT_TEST(an_isolated_instance_and_its_peers_stay_within_the_rate);
    CPPUNIT_TEST(a_small_part_admits_one_request);
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
    void parts_of_a_rate_sum_to_the_rate()
    {
        for (const auto& demands : std::vector<std::vector<double>>{
                 {0, 0, 0}, {10, 20, 30}, {500, 1, 1}, {400, 400, 400}})
            CPPUNIT_ASSERT(std::abs(sum_of_parts(demands, 100) - 100) < 1e-6);
    }

    // Covers all of a customer's callers connecting to one instance.
    void demand_within_the_rate_is_covered_wherever_it_is()
    {
        const std::vector<peer_demand> idle(8);
        CPPUNIT_ASSERT(divide_rate(token_rate(100), tokens(0), 95, sum_of(idle))
                           .rate.value >= 95);
    }

    void an_isolated_instance_and_its_peers_stay_within_the_rate()
    {
        std::vector<peer_demand> stale(8, peer_demand{50, false});
        const auto alone =
            divide_rate(token_rate(90), tokens(0), 1'000, sum_of(stale))
                .rate.value;
        // The other instances have fresh reports of each other but not of this
        // one.
        std::vector<peer_demand> peers(7, peer_demand{50, true});
        peers.push_back({0, false});
        const auto other =
            divide_rate(token_rate(90), tokens(0), 50, sum_of(peers))
                .rate.value;
        CPPUNIT_ASSERT(std::abs(alone + 8 * other - 90) < 1e-6);
    }

    void a_small_part_admits_one_request()
    {
        const std::vector<peer_demand> many(63);
        CPPUNIT_ASSERT(divide_rate(token_rate(2), tokens(2), 0, sum_of(many))
                           .burst.value >= 1);
    }

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
