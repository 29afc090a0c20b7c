// Guards the shift cap: no more than the cap moves in any window of one
// interval, even after a pause. Requests for a failing region are refused
// rather than moved faster than the cap allows.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/placement/region_choice.hpp>
#include <parsleyplank/placement/shift.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::placement;

namespace
{

const region_id a("doto");
const region_id b("dohoku");
const region_id c("doo");
const time_point start{std::chrono::hours(1)};

class placement_shift : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_shift);
    CPPUNIT_TEST(no_window_of_an_interval_moves_more_than_the_cap);
    CPPUNIT_TEST(target_is_reached);
    CPPUNIT_TEST(pause_is_not_caught_up);
    CPPUNIT_TEST(frequent_calls_are_not_rounded_away);
    CPPUNIT_TEST(wrong_sums_are_rejected);
    CPPUNIT_TEST(failing_region_is_shed_not_emptied);
    CPPUNIT_TEST(full_region_is_never_chosen);
    CPPUNIT_TEST(refusal_reason_names_missing_resource);
    CPPUNIT_TEST(target_follows_preference_and_capacity);
    CPPUNIT_TEST_SUITE_END();

    shift_options options;
    std::mt19937_64 rng{7};

    static std::uint32_t sum(const region_weights& weights)
    {
        return std::accumulate(weights.begin(), weights.end(), 0U,
                               [](std::uint32_t n, const auto& it)
                               { return n + it.second; });
    }

public:
    // The target changes abruptly; calls are irregular, with long pauses.
    void no_window_of_an_interval_moves_more_than_the_cap()
    {
        const std::vector<region_weights> targets{
            {{a, ppm_total}}, {{b, ppm_total}}, {{a, 333'333}, {c, 666'667}}};
        auto state = start_shift({{a, ppm_total}}, start);
        auto now = start;
        std::deque<std::pair<time_point, region_weights>> history;
        std::uint32_t most = 0;
        for (int n = 0; n < 20'000; ++n)
        {
            const auto pause = rng() % 50 == 0 ? 60'000 : rng() % 700;
            now += milliseconds(pause);
            step_shift(state, targets.at(n / 500 % 3), options, now);
            CPPUNIT_ASSERT_EQUAL(ppm_total, sum(state.weights));
            history.emplace_back(now, state.weights);
            // Keeps the weights that were in use when the window began.
            while (history.size() > 1 &&
                   history[1].first <= now - options.interval)
                history.pop_front();
            for (const auto& [time, weights] : history)
                most = std::max(most, moved_share(weights, state.weights));
        }
        CPPUNIT_ASSERT(most <= options.cap.value);
        // The weights do move: at least half the cap is used.
        CPPUNIT_ASSERT(most > options.cap.value / 2);
    }

    void target_is_reached()
    {
        auto state = start_shift({{a, 600'000}, {b, 400'000}}, start);
        const region_weights target{{b, 123'457}, {c, 876'543}};
        auto now = start;
        for (int n = 0; n < 1'000; ++n)
            step_shift(state, target, options, now += milliseconds(500));
        CPPUNIT_ASSERT(state.weights == target);
    }

    void pause_is_not_caught_up()
    {
        auto state = start_shift({{a, ppm_total}}, start);
        step_shift(state, {{b, ppm_total}}, options,
                   start + std::chrono::hours(1));
        CPPUNIT_ASSERT(state.weights[b] > 0);
        CPPUNIT_ASSERT(state.weights[b] <= options.cap.value / 10);
    }

    void frequent_calls_are_not_rounded_away()
    {
        auto state = start_shift({{a, ppm_total}}, start);
        auto now = start;
        for (int n = 0; n < 10'000; ++n)
            step_shift(state, {{b, ppm_total}}, options,
                       now += milliseconds(1));
        CPPUNIT_ASSERT(state.weights[b] > options.cap.value * 8 / 10);
    }

    void wrong_sums_are_rejected()
    {
        CPPUNIT_ASSERT_THROW(start_shift({{a, 1}}, start), error);
        auto state = start_shift({{a, ppm_total}}, start);
        CPPUNIT_ASSERT_THROW(step_shift(state, {}, options, start), error);
    }

    void failing_region_is_shed_not_emptied()
    {
        const std::vector<region_headroom> regions{{a, false, 10, 0, true},
                                                   {b, true, 10, 1e9, false}};
        const region_weights weights{{a, 950'000}, {b, 50'000}};
        int moved = 0;
        int shed = 0;
        for (int n = 0; n < 10'000; ++n)
        {
            const auto decision = choose_region(weights, regions, 1, rng);
            if (decision.region)
            {
                CPPUNIT_ASSERT(*decision.region == b);
                ++moved;
            }
            else if (decision.refusal == refusal_reason::shift_cap)
                ++shed;
        }
        CPPUNIT_ASSERT_EQUAL(10'000, moved + shed);
        // The weight of region b, within five standard deviations.
        CPPUNIT_ASSERT(moved > 390 && moved < 610);
    }

    void full_region_is_never_chosen()
    {
        const std::vector<region_headroom> regions{{a, true, 0, 0, true},
                                                   {b, true, 5, 99, false},
                                                   {c, true, 5, 100, false}};
        const region_weights weights{{a, 300'000}, {b, 300'000}, {c, 400'000}};
        for (int n = 0; n < 1'000; ++n)
        {
            const auto decision = choose_region(weights, regions, 100, rng);
            CPPUNIT_ASSERT(!decision.region || *decision.region == c);
        }
    }

    void refusal_reason_names_missing_resource()
    {
        const region_weights weights{{a, ppm_total}};
        const auto refusal = [&](const region_headroom& region)
        {
            return choose_region(weights, {&region, 1}, 10, rng).refusal;
        };
        CPPUNIT_ASSERT(refusal({a, true, 0, 100, false}) ==
                       refusal_reason::no_capacity);
        CPPUNIT_ASSERT(refusal({a, true, 1, 9, false}) ==
                       refusal_reason::link_bandwidth);
        CPPUNIT_ASSERT(choose_region(weights, {}, 10, rng).refusal ==
                       refusal_reason::no_capacity);
    }

    void target_follows_preference_and_capacity()
    {
        const auto target = [](bool healthy, double demand)
        {
            const std::vector<region_demand> regions{
                {a, healthy, 100}, {b, true, 50}, {c, true, 50}};
            return target_weights(regions, demand);
        };
        CPPUNIT_ASSERT((target(true, 80) == region_weights{{a, ppm_total}}));
        CPPUNIT_ASSERT(
            (target(true, 125) == region_weights{{a, 800'000}, {b, 200'000}}));
        CPPUNIT_ASSERT((target(false, 40) == region_weights{{b, ppm_total}}));
        CPPUNIT_ASSERT(
            (target(true, 400) ==
             region_weights{{a, 500'000}, {b, 250'000}, {c, 250'000}}));
        const std::vector<region_demand> none{{a, false, 1}, {b, false, 1}};
        CPPUNIT_ASSERT(
            (target_weights(none, 5) == region_weights{{a, ppm_total}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_shift);

} // namespace
