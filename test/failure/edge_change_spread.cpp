// How the changes of the store spread over a large fleet whose instances have
// links of a few Mbit/s.

#include <parsleyplank/edge/relay_tree.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

// Instances that all know each other. Instance 0 of each region and each tenth
// one after it has a fast link.
class simulated_fleet
{
public:
    static constexpr double fast_mbps = 120;
    static constexpr double slow_mbps = 12;

    simulated_fleet(std::size_t instances, std::size_t regions)
    {
        for (std::size_t n = 0; n < instances; ++n)
        {
            member_record it;
            it.id = instance_id("edge-" + std::to_string(n));
            it.started_ms = 1;
            it.region = region_id("region-" + std::to_string(n % regions));
            it.link_mbps = (n / regions) % 10 == 0 ? fast_mbps : slow_mbps;
            links[it.id] = it.link_mbps;
            put_member(fleet, it, start);
            member_digest digest;
            digest.id = it.id;
            digest.started_ms = 1;
            digest.store_reachable = true;
            apply_digest(fleet, digest, start);
        }
    }

    // Sets the relay of each instance of the region; one without a relay
    // watches the store. Each instance lacks a random part of its peers.
    void choose_relays(const region_id& region, double unknown_part = 0,
                       unsigned seed = 0)
    {
        std::mt19937 random(seed);
        std::bernoulli_distribution is_unknown(unknown_part);
        relays.clear();
        second_relays.clear();
        for (const auto& [id, mbps] : links)
        {
            if (fleet.peers.at(id).record.region != region)
                continue;
            auto own = fleet.peers.extract(id);
            fleet.self = id;
            auto live = live_peers(fleet, options, start);
            std::erase_if(live, [&](const auto* /*peer*/)
                          { return is_unknown(random); });
            const auto chosen =
                edge::choose_relays(fleet, live, {region, true, mbps, 16});
            relays[id] =
                chosen.empty() ? instance_id() : chosen.front()->record.id;
            second_relays[id] =
                chosen.size() < 2 ? instance_id() : chosen[1]->record.id;
            fleet.peers.insert(std::move(own));
        }
    }

    std::size_t watchers_of(const instance_id& relay) const
    {
        return count_watchers(relays, relay);
    }

    // Relay of each instance of the region.
    using relay_choice = std::map<instance_id, instance_id>;

    const relay_choice& preferred_relays() const
    {
        return relays;
    }

    // Returns the largest ratio of the peers that watch a relay to those that
    // it accepts, after this relay is lost and its peers have moved to their
    // second ones.
    double worst_load_without(const instance_id& lost) const
    {
        auto moved = relays;
        for (auto& [id, relay] : moved)
            if (relay == lost)
                relay = second_relays.at(id);
        double worst = 0;
        for (const auto& [id, relay] : moved)
        {
            const auto accepted = max_relayed_watches(links.at(id));
            worst =
                std::max(worst, static_cast<double>(count_watchers(moved, id)) /
                                    static_cast<double>(accepted));
        }
        return worst;
    }

    // Removes an instance that its peers know to be lost.
    void remove(const instance_id& id)
    {
        fleet.peers.erase(id);
        links.erase(id);
    }

    // Returns whether each instance gets the changes of one that watches the
    // store.
    bool is_connected() const
    {
        return std::ranges::all_of(relays,
                                   [&](const auto& it)
                                   {
                                       auto at = it.first;
                                       std::size_t hops = 0;
                                       for (; relays.at(at) != instance_id() &&
                                              hops <= relays.size();
                                            ++hops)
                                           at = relays.at(at);
                                       return hops <= relays.size();
                                   });
    }

    std::size_t largest_fan_out() const
    {
        std::size_t largest = 0;
        for (const auto& [id, relay] : relays)
            largest = std::max(largest, watchers_of(id));
        return largest;
    }

    // Returns the time from the answer of the store until the instance has the
    // change. Copies to several peers share the link of their sender.
    double spread_seconds(const instance_id& id, double bytes) const
    {
        const auto& relay = relays.at(id);
        if (relay == instance_id())
            return 0;
        constexpr double bits_per_byte = 8;
        constexpr double bits_per_mbit = 1e6;
        const auto copies = static_cast<double>(watchers_of(relay));
        return spread_seconds(relay, bytes) + hop_seconds +
               copies * bytes * bits_per_byte /
                   (links.at(relay) * bits_per_mbit);
    }

    double slowest_spread_seconds(double bytes) const
    {
        double slowest = 0;
        for (const auto& [id, relay] : relays)
            slowest = std::max(slowest, spread_seconds(id, bytes));
        return slowest;
    }

private:
    // An instance watches again this long after a change, and its threads run
    // on a part of a core.
    static constexpr double hop_seconds = 0.1;

    static std::size_t count_watchers(const relay_choice& choice,
                                      const instance_id& relay)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            choice, [&](const auto& it) { return it.second == relay; }));
    }

    const time_point start{std::chrono::hours(1)};
    const fleet_options options{};
    fleet_view fleet;
    std::map<instance_id, double> links;
    relay_choice relays;
    relay_choice second_relays;
};

class edge_change_spread : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_change_spread);
    CPPUNIT_TEST(a_relay_serves_a_bounded_number_of_peers);
    CPPUNIT_TEST(a_large_change_is_in_force_everywhere_in_time);
    CPPUNIT_TEST(the_loss_of_a_relay_moves_few_peers);
    CPPUNIT_TEST(the_second_relays_bear_the_loss_of_any_relay);
    CPPUNIT_TEST(instances_that_know_different_parts_form_no_circle);
    CPPUNIT_TEST_SUITE_END();

public:
    // Failure scenario: with 295 instances one instance of each region served
    // all others of its region, over a link of 12 Mbit/s.
    void a_relay_serves_a_bounded_number_of_peers()
    {
        constexpr std::size_t max_fan_out = 32;
        for (const auto& [instances, regions] :
             {std::pair(60, 3), std::pair(295, 3), std::pair(2'300, 24),
              std::pair(1'000, 1)})
        {
            simulated_fleet fleet(static_cast<std::size_t>(instances),
                                  static_cast<std::size_t>(regions));
            fleet.choose_relays(region_id("region-0"));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(instances) + " instances: " +
                                       std::to_string(fleet.largest_fan_out()),
                                   fleet.largest_fan_out() <= max_fan_out);
        }
    }

    // Failure scenario: each loss of an instance gives most others another
    // relay, and all connect anew while instances are replaced one by one.
    void the_loss_of_a_relay_moves_few_peers()
    {
        const region_id region("region-0");
        simulated_fleet fleet(295, 3);
        fleet.choose_relays(region);
        const auto before = fleet.preferred_relays();
        for (const auto& [lost, above] : before)
        {
            auto rest = fleet;
            rest.remove(lost);
            rest.choose_relays(region);
            const auto moved = std::ranges::count_if(
                rest.preferred_relays(), [&](const auto& it)
                { return it.second != before.at(it.first); });
            const auto most =
                static_cast<std::ptrdiff_t>(rest.preferred_relays().size()) / 2;
            CPPUNIT_ASSERT_MESSAGE(lost.value + ": " + std::to_string(moved) +
                                       " moved",
                                   moved < most);
            CPPUNIT_ASSERT(rest.is_connected());
        }
    }

    // Failure scenario: all peers of a lost relay move to the same other one.
    void the_second_relays_bear_the_loss_of_any_relay()
    {
        simulated_fleet fleet(295, 3);
        fleet.choose_relays(region_id("region-0"));
        for (const auto& [lost, above] : fleet.preferred_relays())
            CPPUNIT_ASSERT_MESSAGE(lost.value,
                                   fleet.worst_load_without(lost) <= 1);
    }

    // Failure scenario: two instances each take the other one for their relay,
    // and neither hears of a change.
    void instances_that_know_different_parts_form_no_circle()
    {
        simulated_fleet fleet(295, 3);
        constexpr unsigned seeds = 20;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            fleet.choose_relays(region_id("region-1"), 0.3, seed);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   fleet.is_connected());
        }
    }

    // Failure scenario: a configuration and 99 new servers reached most
    // instances of a region seconds after its two watchers, and requests still
    // followed the former configuration.
    void a_large_change_is_in_force_everywhere_in_time()
    {
        constexpr double change_bytes = 60'000;
        constexpr double target_seconds = 3;
        simulated_fleet fleet(295, 3);
        for (const auto* const region : {"region-0", "region-1", "region-2"})
        {
            fleet.choose_relays(region_id(region));
            const auto seconds = fleet.slowest_spread_seconds(change_bytes);
            CPPUNIT_ASSERT_MESSAGE(std::string(region) + ": " +
                                       std::to_string(seconds) + " s",
                                   seconds < target_seconds);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_change_spread);

} // namespace
