// Guards admission by rank under overload: the least urgent requests are
// refused first, by all instances alike, whatever part of the demand each sees;
// no rank is shut out, and levels neither swing nor outlive the overload.

#include <parsleyplank/steering/admission.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::steering;

namespace
{

const std::vector<request_rank> three_ranks{{0, 0}, {0, 1}, {1, 0}};
constexpr milliseconds tick{100};

// Instances of one region in front of servers that take a number of requests
// per second. Digests arrive after a delay.
struct region
{
    region(std::size_t count, milliseconds digest_delay)
        : instances(count), delay(digest_delay), sent(count)
    {
        for (auto& it : instances)
            set_ranks(it, three_ranks);
    }

    // Plays a second; demand[i][r] is that of rank r at instance i.
    void play(const std::vector<std::vector<double>>& demand, double capacity)
    {
        served.assign(three_ranks.size(), 0);
        asked.assign(three_ranks.size(), 0);
        served_at.assign(instances.size(), served);
        for (int i = 0; i < 10; ++i)
            play_tick(demand, capacity / 10);
    }

    void play_tick(const std::vector<std::vector<double>>& demand,
                   double capacity)
    {
        now += tick;
        struct admitted_request
        {
            std::size_t instance;
            std::size_t rank;
        };
        std::vector<admitted_request> admitted;
        for (std::size_t i = 0; i < instances.size(); ++i)
            for (std::size_t rank = 0; rank < three_ranks.size(); ++rank)
            {
                credit.resize(instances.size() * three_ranks.size());
                auto& due = credit[i * three_ranks.size() + rank];
                for (due += demand[i][rank] / 10; due >= 1; --due)
                {
                    ++asked[rank];
                    const auto subject = std::to_string(++number);
                    const auto place =
                        place_in_rank(subject, 0, number, options);
                    if (admit_request(instances[i], three_ranks[rank], place,
                                      options, now))
                        admitted.push_back({i, rank});
                }
            }
        // At most one and a half requests wait for each slot; the others find
        // no room. Which ones do does not depend on rank.
        constexpr double ticks_per_request = 3;
        const auto slots = capacity * ticks_per_request;
        double placed = 0;
        const auto count = std::max<std::size_t>(1, admitted.size());
        for (std::size_t i = 0; i < admitted.size(); ++i)
        {
            const auto& it = admitted[(i * 7 + number) % count];
            if (waiting + 1 > slots * max_waiting + capacity)
            {
                count_unmet(instances[it.instance], now);
                continue;
            }
            ++waiting;
            ++placed;
            ++served[it.rank];
            ++served_at[it.instance][it.rank];
        }
        waiting = std::max(0.0, waiting - capacity);
        const auto busy = waiting > 0 ? 1 : placed / capacity;
        // Reports of the servers are averaged over half a second.
        use += (busy + waiting / slots - use) / 5;
        exchange();
    }

    void exchange()
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            std::vector<peer_admission> peers;
            for (std::size_t other = 0; other < instances.size(); ++other)
                if (other != i && !cut && known(other) != nullptr)
                    peers.push_back(*known(other));
            step_admission(instances[i], peers, use, delay * 2, options, now);
        }
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (lose_every == 0 || ++digests % lose_every != 0)
                sent[i].push_back(
                    {now,
                     {level_at(three_ranks, instances[i].proposed),
                      instances[i].rates}});
    }

    struct digest
    {
        time_point at;
        peer_admission content;
    };

    // Returns what the other instances have heard last.
    const peer_admission* known(std::size_t instance) const
    {
        const peer_admission* found = nullptr;
        for (const auto& it : sent[instance])
            if (now - it.at >= delay)
                found = &it.content;
        return found;
    }

    double part(std::size_t rank) const
    {
        return asked[rank] > 0 ? served[rank] / asked[rank] : 1;
    }

    admission_options options;
    std::vector<service_admission> instances;
    milliseconds delay;
    std::vector<std::deque<digest>> sent;
    time_point now{std::chrono::hours(1)};
    std::int64_t number = 0;
    std::uint64_t digests = 0;
    std::uint64_t lose_every = 0;
    bool cut = false;
    static constexpr double max_waiting = 1.5;
    double waiting = 0;
    double use = 0;
    std::vector<double> credit;
    std::vector<double> asked;
    std::vector<double> served;
    std::vector<std::vector<double>> served_at;
};

class steering_admission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_admission);
    CPPUNIT_TEST(a_burst_is_served_by_rank);
    CPPUNIT_TEST(instances_with_different_demand_refuse_the_same_ranks);
    CPPUNIT_TEST(a_delayed_exchange_does_not_swing);
    CPPUNIT_TEST(lost_digests_change_little);
    CPPUNIT_TEST(an_instance_cut_off_admits_by_its_own_counts);
    CPPUNIT_TEST(no_rank_is_shut_out);
    CPPUNIT_TEST(levels_end_with_the_overload);
    CPPUNIT_TEST(without_overload_all_are_admitted);
    CPPUNIT_TEST(those_who_waited_pass_new_callers_of_their_rank);
    CPPUNIT_TEST(repeaters_have_the_same_place_everywhere);
    CPPUNIT_TEST(levels_keep_their_meaning_when_ranks_change);
    CPPUNIT_TEST(ranks_are_those_of_the_routes_and_customers);
    CPPUNIT_TEST_SUITE_END();

    using demand_table = std::vector<std::vector<double>>;

    static void settle(region& all, const demand_table& demand, double capacity,
                       int seconds)
    {
        for (int i = 0; i < seconds; ++i)
            all.play(demand, capacity);
    }

    void a_burst_is_served_by_rank()
    {
        region all(4, milliseconds(200));
        const demand_table calm(4, {10, 10, 10});
        const demand_table burst(4, {15, 15, 30});
        settle(all, calm, 140, 5);
        settle(all, burst, 140, 3);
        all.play(burst, 140);
        CPPUNIT_ASSERT(all.part(0) > 0.85);
        CPPUNIT_ASSERT(all.part(0) > all.part(2) + 0.3);
        CPPUNIT_ASSERT(all.part(1) > all.part(2) + 0.3);
    }

    void instances_with_different_demand_refuse_the_same_ranks()
    {
        region all(2, milliseconds(300));
        const demand_table demand{{60, 20, 5}, {5, 20, 60}};
        settle(all, demand, 110, 8);
        double first = 0;
        double second = 0;
        for (int i = 0; i < 5; ++i)
        {
            all.play(demand, 110);
            first += all.served_at[0][0] / 60;
            second += all.served_at[1][2] / 60;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(all.instances[0].in_force,
                                         all.instances[1].in_force, 0.6);
        }
        CPPUNIT_ASSERT(first / 5 > 0.85);
        CPPUNIT_ASSERT(second / 5 < 0.6);
    }

    void a_delayed_exchange_does_not_swing()
    {
        region all(6, milliseconds(1'000));
        const demand_table demand(6, {10, 10, 10});
        settle(all, demand, 120, 20);
        double urgent = 0;
        std::vector<double> levels;
        for (int i = 0; i < 20; ++i)
        {
            all.play(demand, 120);
            urgent += all.part(0) / 20;
            levels.push_back(all.instances[0].in_force);
        }
        const auto [low, high] = std::ranges::minmax(levels);
        CPPUNIT_ASSERT(high - low < 0.3);
        CPPUNIT_ASSERT(urgent > 0.9);
    }

    void lost_digests_change_little()
    {
        region all(4, milliseconds(300));
        all.lose_every = 3;
        const demand_table demand(4, {15, 15, 15});
        settle(all, demand, 120, 10);
        double urgent = 0;
        double last = 0;
        for (int i = 0; i < 10; ++i)
        {
            all.play(demand, 120);
            urgent += all.part(0) / 10;
            last += all.part(2) / 10;
        }
        CPPUNIT_ASSERT(urgent > 0.85);
        CPPUNIT_ASSERT(last < 0.6);
    }

    void an_instance_cut_off_admits_by_its_own_counts()
    {
        region all(3, milliseconds(300));
        all.cut = true;
        const demand_table demand(3, {20, 20, 20});
        settle(all, demand, 120, 10);
        all.play(demand, 120);
        CPPUNIT_ASSERT(all.part(0) > 0.8);
        CPPUNIT_ASSERT(all.part(2) < all.part(0));
    }

    void no_rank_is_shut_out()
    {
        region all(4, milliseconds(300));
        const demand_table demand(4, {40, 20, 20});
        settle(all, demand, 120, 10);
        double mean = 0;
        double least = 0;
        for (int i = 0; i < 10; ++i)
        {
            all.play(demand, 120);
            mean += 120.0 / 320 / 10;
            least += all.part(2) / 10;
        }
        CPPUNIT_ASSERT(least >= mean / 4);
    }

    void levels_end_with_the_overload()
    {
        region all(4, milliseconds(300));
        settle(all, demand_table(4, {20, 20, 20}), 120, 10);
        const demand_table calm(4, {5, 5, 5});
        settle(all, calm, 120, 6);
        all.play(calm, 120);
        CPPUNIT_ASSERT(all.part(2) > 0.9);
        settle(all, calm, 120, 10);
        CPPUNIT_ASSERT_EQUAL(3.0, all.instances[0].in_force);
        CPPUNIT_ASSERT(
            !is_overloaded(all.instances[0], {}, all.options, all.now));
    }

    void without_overload_all_are_admitted()
    {
        region all(4, milliseconds(300));
        settle(all, demand_table(4, {9, 9, 9}), 120, 10);
        CPPUNIT_ASSERT_EQUAL(3.0, all.instances[0].in_force);
    }

    void those_who_waited_pass_new_callers_of_their_rank()
    {
        const admission_options options;
        usual_limit limit;
        for (int i = 0; i < 100; ++i)
            record_limit(limit, milliseconds(i % 5 == 0 ? 1'500 : 3'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, age_of(limit, milliseconds(3'000)),
                                     0.05);
        const auto waited = age_of(limit, milliseconds(1'000));
        CPPUNIT_ASSERT(waited > 0.6);
        CPPUNIT_ASSERT(place_in_rank("read\nshop\n17", waited, 0, options) <
                       place_in_rank("read\nshop\n17", 0, 0, options));
        // One that returns at once has hardly aged.
        CPPUNIT_ASSERT(age_of(limit, milliseconds(2'990)) < 0.05);
    }

    void repeaters_have_the_same_place_everywhere()
    {
        const admission_options options;
        CPPUNIT_ASSERT_EQUAL(place_in_rank("a", 0, 100, options),
                             place_in_rank("a", 0, 3'000, options));
        CPPUNIT_ASSERT(place_in_rank("a", 0, 0, options) !=
                       place_in_rank("a", 0, 4'001, options));
    }

    void levels_keep_their_meaning_when_ranks_change()
    {
        service_admission service;
        set_ranks(service, {{0, 0}, {0, 2}});
        CPPUNIT_ASSERT_EQUAL(2.0, service.in_force);
        service.in_force = 1.5;
        set_ranks(service, {{0, 0}, {0, 1}, {0, 2}});
        CPPUNIT_ASSERT_EQUAL(2.5, service.in_force);
        service.in_force = 3;
        set_ranks(service, {{0, 0}, {0, 1}});
        CPPUNIT_ASSERT_EQUAL(2.0, service.in_force);
        // A peer's level of a rank that is unknown here lies between others.
        CPPUNIT_ASSERT_EQUAL(2.0, level_position(three_ranks, {{0, 7}, 0.5}));
    }

    void ranks_are_those_of_the_routes_and_customers()
    {
        traffic_config config;
        traffic_route read;
        read.services = {{service_id("shop"), 1}};
        read.priority = 1;
        traffic_route order = read;
        order.priority = 0;
        order.services = {{service_id("desk"), 1}};
        config.routes = {read, order};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             find_ranks(config, service_id("shop")).size());
        traffic_customer large;
        large.priority = 2;
        config.customers = {traffic_customer(), large};
        CPPUNIT_ASSERT(find_ranks(config, service_id("shop")) ==
                       (std::vector<request_rank>{{0, 1}, {2, 1}}));
        config.routes[1].services.push_back({service_id("shop"), 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             find_ranks(config, service_id("shop")).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_admission);

} // namespace
