// The rate of a customer over whole fleets of 10, 60 and 300 instances, in any
// window of time: while instances are cut off, frozen, restarted or replaced,
// after their registrations have lapsed, and when the fleet is whole again.
// Guards against two instances that use the same part of the rate. A customer
// that stays within its rate is served meanwhile, also behind a cut.

#include <cppunit/extensions/HelperMacros.h>
#include <support/token_fleet.hpp>

#include <array>
#include <iostream>
#include <random>
#include <sstream>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

using std::chrono::seconds;

class edge_token_fleet : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_token_fleet);
    CPPUNIT_TEST(the_whole_rate_is_issued);
    CPPUNIT_TEST(demand_within_the_rate_is_served_wherever_it_is);
    CPPUNIT_TEST(instances_that_are_cut_off_stay_within_the_rate);
    CPPUNIT_TEST(a_region_that_is_cut_off_is_served_within_its_part);
    CPPUNIT_TEST(a_frozen_pool_stays_within_the_rate);
    CPPUNIT_TEST(a_pool_that_hears_the_others_is_not_heard);
    CPPUNIT_TEST(restarted_instances_stay_within_the_rate);
    CPPUNIT_TEST(instances_that_join_during_a_cut_stay_within_the_rate);
    CPPUNIT_TEST(a_stopped_instance_frees_its_part);
    CPPUNIT_TEST(overlapping_faults_stay_within_the_rate);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array sizes{10, 60, 300};
    static constexpr std::array rates{5.0, 300.0, 6'000.0};
    static constexpr seconds start_time{8};
    // Part of its rate that a customer uses, and the least part of its requests
    // that is served then.
    static constexpr double usual = 0.8;
    static constexpr double least_served = 0.99;
    // The largest dose of a customer beyond its usual demand.
    static constexpr double sudden = 7.5;

    static token_fleet make_fleet(int size, double rate)
    {
        return token_fleet({.instances = size, .rate = rate, .burst = rate});
    }

    static void demand_everywhere(token_fleet& fleet, double rate)
    {
        const auto each = rate / fleet.size();
        fleet.set_demand([each](int) { return each; });
    }

    static void check_rate(const token_fleet& fleet, const std::string& what)
    {
        const auto most = static_cast<double>(fleet.most_in_window());
        std::ostringstream text;
        text << what << ": " << fleet.size() << " instances, " << most << " of "
             << fleet.most_allowed();
        CPPUNIT_ASSERT_MESSAGE(text.str(), most <= fleet.most_allowed());
    }

    // Runs a customer's sudden demand through the fault and its end, for all
    // sizes and rates.
    template <typename Fault>
    static void check_fault(const std::string& what, const Fault& fault)
    {
        for (const auto size : sizes)
            for (const auto rate : rates)
            {
                auto fleet = make_fleet(size, rate);
                fleet.run(start_time);
                demand_everywhere(fleet, rate * usual);
                fleet.run(seconds(3));
                demand_everywhere(fleet, rate * sudden);
                fault(fleet);
                fleet.run(seconds(6));
                check_rate(fleet, what);
            }
    }

    // One instance in three.
    template <typename Action>
    static void for_some(const token_fleet& fleet, const Action& action)
    {
        for (int i = 0; i < fleet.size(); i += 3)
            action(i);
    }

public:
    void the_whole_rate_is_issued()
    {
        for (const auto size : sizes)
        {
            auto fleet = make_fleet(size, 300);
            fleet.run(start_time);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(300, fleet.issued_rate(), 1e-6);
        }
    }

    void demand_within_the_rate_is_served_wherever_it_is()
    {
        for (const auto size : sizes)
            for (const double rate : {300.0, 6'000.0})
            {
                auto fleet = make_fleet(size, rate);
                fleet.run(start_time);
                demand_everywhere(fleet, rate * usual);
                fleet.run(seconds(3));
                fleet.reset_counts();
                fleet.run(seconds(10));
                CPPUNIT_ASSERT(fleet.served_part(0) >= least_served);
                // All of it in one region of three.
                const auto each = rate * usual * 3 / size;
                fleet.set_demand([each](int i)
                                 { return i % 3 == 0 ? each : 0; });
                fleet.run(seconds(3));
                fleet.reset_counts();
                fleet.run(seconds(10));
                CPPUNIT_ASSERT(fleet.served_part(0) >= 0.95);
            }
    }

    // Failure scenario: once the registrations of instances that were cut off
    // had lapsed, the others divided the whole rate among themselves, while
    // those went on to use their parts (review/2).
    void instances_that_are_cut_off_stay_within_the_rate()
    {
        for (const auto size : sizes)
            for (const auto rate : rates)
            {
                auto fleet = make_fleet(size, rate);
                fleet.run(start_time);
                demand_everywhere(fleet, rate * usual);
                fleet.run(seconds(3));
                for_some(fleet, [&](int i) { fleet.set_group(i, 1 + i); });
                fleet.reset_counts();
                fleet.run(seconds(12));
                // An instance alone serves what its part allows; a part of
                // less than two requests a second is used up by chance.
                double served = 0;
                int count = 0;
                for_some(fleet,
                         [&](int i)
                         {
                             served += fleet.served_part(1 + i);
                             ++count;
                         });
                if (rate / size >= 2)
                    CPPUNIT_ASSERT(served / count >= 0.9);
                demand_everywhere(fleet, rate * sudden);
                fleet.run(seconds(6));
                for_some(fleet, [&](int i) { fleet.set_group(i, 0); });
                fleet.run(seconds(6));
                check_rate(fleet, "cut off");
            }
    }

    void a_region_that_is_cut_off_is_served_within_its_part()
    {
        for (const auto size : sizes)
            for (const double rate : {300.0, 6'000.0})
            {
                auto fleet = make_fleet(size, rate);
                fleet.run(start_time);
                demand_everywhere(fleet, rate * usual);
                fleet.run(seconds(3));
                for_some(fleet, [&](int i) { fleet.set_group(i, 1); });
                fleet.run(seconds(8));
                fleet.reset_counts();
                fleet.run(seconds(10));
                CPPUNIT_ASSERT(fleet.served_part(1) >= least_served);
                CPPUNIT_ASSERT(fleet.served_part(0) >= least_served);
                demand_everywhere(fleet, rate * sudden);
                fleet.run(seconds(6));
                for_some(fleet, [&](int i) { fleet.set_group(i, 0); });
                fleet.run(seconds(6));
                check_rate(fleet, "region cut off");
            }
    }

    // Failure scenario: while the holder of a small customer's tokens was
    // frozen, all other instances used a token of their own as well (review/5).
    void a_frozen_pool_stays_within_the_rate()
    {
        check_fault(
            "frozen",
            [](token_fleet& fleet)
            {
                for (const auto time : {2, 6})
                {
                    for_some(fleet, [&](int i) { fleet.freeze(i, true); });
                    fleet.run(seconds(time));
                    for_some(fleet, [&](int i) { fleet.freeze(i, false); });
                    fleet.run(seconds(2));
                }
            });
    }

    void a_pool_that_hears_the_others_is_not_heard()
    {
        check_fault("not heard",
                    [](token_fleet& fleet)
                    {
                        for_some(fleet, [&](int i) { fleet.mute(i, true); });
                        fleet.run(seconds(8));
                        for_some(fleet, [&](int i) { fleet.mute(i, false); });
                    });
    }

    void restarted_instances_stay_within_the_rate()
    {
        check_fault("restarted",
                    [](token_fleet& fleet)
                    {
                        for (int round = 0; round < 3; ++round)
                        {
                            for_some(fleet, [&](int i) { fleet.kill(i); });
                            fleet.run(seconds(1 + round * 3));
                            for_some(fleet, [&](int i) { fleet.start(i); });
                            fleet.run(seconds(1));
                        }
                    });
    }

    void instances_that_join_during_a_cut_stay_within_the_rate()
    {
        for (const auto size : sizes)
        {
            constexpr double rate = 300;
            auto fleet = make_fleet(size, rate);
            fleet.run(milliseconds(500));
            for (int i = 0; i < size; i += 5)
                fleet.drain(i);
            fleet.run(start_time);
            demand_everywhere(fleet, rate * sudden);
            for (int i = 1; i < size; i += 3)
                fleet.set_group(i, 1 + i);
            fleet.run(seconds(1));
            for (int i = 0; i < size; i += 5)
                fleet.start(i);
            fleet.run(seconds(12));
            CPPUNIT_ASSERT(fleet.issued_rate() <= rate + 1e-6);
            for (int i = 1; i < size; i += 3)
                fleet.set_group(i, 0);
            fleet.run(seconds(12));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(rate, fleet.issued_rate(), 1e-6);
            check_rate(fleet, "joined");
        }
    }

    void a_stopped_instance_frees_its_part()
    {
        for (const auto size : sizes)
        {
            auto fleet = make_fleet(size, 300);
            fleet.run(start_time);
            for_some(fleet, [&](int i) { fleet.drain(i); });
            fleet.run(seconds(2));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(300, fleet.issued_rate(), 1e-6);
        }
    }

    void overlapping_faults_stay_within_the_rate()
    {
        constexpr int seeds = 20;
        constexpr int rounds = 30;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            const int size = seed % 4 == 0 ? 60 : 10;
            const auto rate = rates.at(seed % rates.size());
            token_fleet fleet({.instances = size,
                               .rate = rate,
                               .burst = rate,
                               .loss = 0.03,
                               .seed = seed});
            std::mt19937_64 random(seed);
            const auto draw = [&](int below)
            {
                return std::uniform_int_distribution<int>(0, below - 1)(random);
            };
            fleet.run(start_time);
            for (int round = 0; round < rounds; ++round)
            {
                demand_everywhere(fleet,
                                  draw(2) == 0 ? rate * usual : rate * sudden);
                const int i = draw(size);
                switch (draw(9))
                {
                case 0:
                    fleet.set_group(i, 1 + draw(3));
                    break;
                case 1:
                    fleet.freeze(i, true);
                    break;
                case 2:
                    fleet.kill(i);
                    break;
                case 3:
                    fleet.drain(i);
                    break;
                case 4:
                    fleet.mute(i, true);
                    break;
                default:
                    fleet.set_group(i, 0);
                    fleet.freeze(i, false);
                    fleet.mute(i, false);
                    fleet.start(i);
                    break;
                }
                fleet.run(milliseconds(100 + draw(2'000)));
            }
            check_rate(fleet, "seed " + std::to_string(seed));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_token_fleet);

} // namespace
