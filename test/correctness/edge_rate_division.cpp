// Tests the division of the customers' rates from the digests of the peers, in
// fleets of 10, 60 and 300 instances.

#include <parsleyplank/edge/rate_division.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <random>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

struct instance_state
{
    member_record record;
    std::map<customer_id, double> demands;
};

// Instances that have all received the same digests.
struct simulated_fleet
{
    std::vector<instance_state> instances;
    std::shared_ptr<steering::traffic_config> config =
        std::make_shared<steering::traffic_config>();
};

class edge_rate_division : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_rate_division);
    CPPUNIT_TEST(parts_of_a_large_rate_sum_to_the_rate);
    CPPUNIT_TEST(a_small_rate_is_divided_among_regions);
    CPPUNIT_TEST(demand_of_one_failure_domain_gets_the_rate);
    CPPUNIT_TEST(silent_peers_keep_their_parts);
    CPPUNIT_TEST(sums_give_the_same_parts_as_single_reports);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array sizes{10, 60, 300};
    static constexpr double tolerance = 1e-6;
    const time_point now{std::chrono::hours(1)};
    const fleet_options options{};

    static simulated_fleet make_fleet(int size)
    {
        simulated_fleet fleet;
        for (int i = 0; i < size; ++i)
        {
            instance_state it;
            it.record.id = instance_id("edge-" + std::to_string(i));
            it.record.started_ms = 1;
            it.record.region = region_id("region-" + std::to_string(i % 3));
            it.record.domain = failure_domain_id(it.record.region.value + "-" +
                                                 std::to_string(i % 9 / 3));
            fleet.instances.push_back(it);
        }
        return fleet;
    }

    static void add_customer(simulated_fleet& fleet, const std::string& id,
                             double rate)
    {
        steering::traffic_customer it;
        it.id = customer_id(id);
        it.rate = token_rate(rate);
        it.burst = tokens(rate);
        fleet.config->customers.push_back(it);
    }

    // Returns the view of one instance, without digests of the silent ones.
    fleet_view view_of(
        const simulated_fleet& fleet, std::size_t self,
        const std::function<bool(std::size_t)>& is_silent = [](std::size_t)
        { return false; }) const
    {
        fleet_view view;
        view.self = fleet.instances[self].record.id;
        for (std::size_t i = 0; i < fleet.instances.size(); ++i)
        {
            if (i == self)
                continue;
            const auto& peer = fleet.instances[i];
            put_member(view, peer.record, now);
            if (is_silent(i))
                continue;
            member_digest digest;
            digest.id = peer.record.id;
            digest.started_ms = 1;
            for (const auto& [id, demand] : peer.demands)
                digest.demands.push_back(
                    {customer_number(id), static_cast<float>(demand)});
            CPPUNIT_ASSERT(apply_digest(view, digest, now));
        }
        return view;
    }

    // Returns the shares that one instance computes.
    steering_snapshot divide(const simulated_fleet& fleet, std::size_t self,
                             const fleet_view& view) const
    {
        steering_snapshot snapshot;
        snapshot.routing = std::make_shared<const steering::routing_table>(
            steering::make_routing_table(fleet.config));
        for (const auto& it : fleet.instances)
            snapshot.members.push_back(
                {it.record.id, it.record.domain, it.record.region, {}});
        const auto& own = fleet.instances[self];
        divide_rates(snapshot, sum_demands(view, options, now),
                     {own.record.region,
                      {own.demands.begin(), own.demands.end()},
                      token_rate(2)});
        return snapshot;
    }

    steering_snapshot divide(const simulated_fleet& fleet,
                             std::size_t self) const
    {
        return divide(fleet, self, view_of(fleet, self));
    }

    static double rate_of(const steering_snapshot& snapshot,
                          const std::string& customer)
    {
        return snapshot.shares.at(customer_id(customer)).rate.value;
    }

    // Returns the part from the single reports of the peers, as the comment of
    // divide_rate defines it.
    static double expected_part(const simulated_fleet& fleet, std::size_t self,
                                const steering::traffic_customer& customer,
                                const std::set<std::size_t>& silent)
    {
        const auto n = static_cast<double>(fleet.instances.size());
        double demand = 0;
        double reserved = 0;
        double own = 0;
        for (std::size_t i = 0; i < fleet.instances.size(); ++i)
        {
            const auto& demands = fleet.instances[i].demands;
            const auto it = demands.find(customer.id);
            const double reported = it == demands.end() ? 0 : it->second;
            if (i == self)
                own = reported;
            if (i != self && silent.contains(i))
                reserved += customer.rate.value / n;
            else
                demand += reported;
        }
        const auto available = customer.rate.value - reserved;
        const auto users = n - n * reserved / customer.rate.value;
        return demand > available ? available * own / demand
                                  : own + (available - demand) / users;
    }

public:
    void parts_of_a_large_rate_sum_to_the_rate()
    {
        for (const auto size : sizes)
            for (const double demand : {0.0, 20.0, 900.0})
            {
                auto fleet = make_fleet(size);
                add_customer(fleet, "shop", 6'000);
                for (std::size_t i = 0; i < fleet.instances.size(); ++i)
                    fleet.instances[i].demands[customer_id("shop")] =
                        demand * static_cast<double>(i % 5);
                double sum = 0;
                for (std::size_t i = 0; i < fleet.instances.size(); ++i)
                    sum += rate_of(divide(fleet, i), "shop");
                CPPUNIT_ASSERT_DOUBLES_EQUAL(6'000, sum, 6'000 * tolerance);
            }
    }

    // The parts of single instances would be parts of a token.
    void a_small_rate_is_divided_among_regions()
    {
        for (const auto size : sizes)
        {
            auto fleet = make_fleet(size);
            add_customer(fleet, "shop", 6);
            fleet.instances[0].demands[customer_id("shop")] = 5;
            fleet.instances[1].demands[customer_id("shop")] = 0.5;
            std::map<region_id, double> parts;
            for (std::size_t i = 0; i < fleet.instances.size(); ++i)
            {
                const auto snapshot = divide(fleet, i);
                const auto part =
                    snapshot.region_shares.at(customer_id("shop")).rate.value;
                const auto& region = fleet.instances[i].record.region;
                const auto [it, added] = parts.emplace(region, part);
                // All instances of a region compute the same part.
                CPPUNIT_ASSERT_DOUBLES_EQUAL(it->second, part, tolerance);
            }
            double sum = 0;
            for (const auto& [region, part] : parts)
                sum += part;
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), parts.size());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(6, sum, tolerance);
            CPPUNIT_ASSERT(parts.at(region_id("region-0")) >= 5);
        }
    }

    void demand_of_one_failure_domain_gets_the_rate()
    {
        for (const auto size : sizes)
        {
            auto fleet = make_fleet(size);
            add_customer(fleet, "shop", 6'000);
            const auto domain = fleet.instances[0].record.domain;
            double sum = 0;
            for (auto& it : fleet.instances)
                if (it.record.domain == domain)
                    it.demands[customer_id("shop")] = 9'000;
            for (std::size_t i = 0; i < fleet.instances.size(); ++i)
                if (fleet.instances[i].record.domain == domain)
                    sum += rate_of(divide(fleet, i), "shop");
            CPPUNIT_ASSERT_DOUBLES_EQUAL(6'000, sum, 6'000 * tolerance);
        }
    }

    // What a silent peer may still use must not be used by another instance.
    void silent_peers_keep_their_parts()
    {
        for (const auto size : sizes)
        {
            auto fleet = make_fleet(size);
            add_customer(fleet, "shop", 6'000);
            for (auto& it : fleet.instances)
                it.demands[customer_id("shop")] = 9'000;
            const auto is_silent = [](std::size_t i)
            {
                return i % 5 == 0;
            };
            double sum = 0;
            for (std::size_t i = 0; i < fleet.instances.size(); ++i)
                if (!is_silent(i))
                    sum += rate_of(
                        divide(fleet, i, view_of(fleet, i, is_silent)), "shop");
            CPPUNIT_ASSERT_DOUBLES_EQUAL(6'000 * 0.8, sum, 6'000 * tolerance);
        }
    }

    void sums_give_the_same_parts_as_single_reports()
    {
        constexpr unsigned seed = 1;
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> drawn(0, 1);
        auto fleet = make_fleet(60);
        for (int i = 0; i < 40; ++i)
            add_customer(fleet, "customer-" + std::to_string(i),
                         1 + 2'000 * drawn(random));
        for (auto& it : fleet.instances)
            for (const auto& customer : fleet.config->customers)
                if (drawn(random) < 0.5)
                    it.demands[customer.id] =
                        customer.rate.value * drawn(random) / 15;
        std::set<std::size_t> silent;
        for (std::size_t i = 0; i < fleet.instances.size(); ++i)
            if (drawn(random) < 0.1)
                silent.insert(i);
        for (std::size_t i = 0; i < fleet.instances.size(); ++i)
        {
            const auto snapshot =
                divide(fleet, i,
                       view_of(fleet, i,
                               [&](std::size_t peer)
                               { return silent.contains(peer); }));
            for (const auto& customer : fleet.config->customers)
            {
                const auto expected = expected_part(fleet, i, customer, silent);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(
                    expected, snapshot.shares.at(customer.id).rate.value,
                    expected * 1e-4 + tolerance);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_rate_division);

} // namespace
