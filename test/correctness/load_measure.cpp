// Guards the figures of load runs: quantiles within the stated error, arrivals
// that depend on the scenario only, and the count of requests within the rate.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/compare.hpp>
#include <parsleyplank/load/tally.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace parsleyplank;
using load::microseconds;

namespace
{

load::scenario sample_scenario(double rate, double repeats)
{
    load::scenario s;
    s.name = "sample";
    s.duration_s = 100;
    s.seed = 5;
    s.regions = {{"oslo", "10.0.0.1"}, {"bergen", "10.0.0.2"}};
    s.customers.resize(2);
    s.customers[0] = {"a", "key-a", rate, 10, 20, {{0, {1, 0}}, {50, {0, 1}}}};
    s.customers[1] = {"b", "key-b", 20, 0, 0, {{0, {1, 1}}}};
    load::route_load order{"order", "POST", "/order"};
    order.kind = load::execution::at_most_once;
    order.repeat_probability = repeats;
    s.routes = {{"read", "GET", "/read"}, order};
    return s;
}

auto count_within_rate(const std::vector<load::arrival>& list)
{
    return std::ranges::count_if(list, &load::arrival::within_rate);
}

class load_measure : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_measure);
    CPPUNIT_TEST(quantiles_have_bounded_error);
    CPPUNIT_TEST(merged_histograms_count_all);
    CPPUNIT_TEST(schedule_has_rate_order_and_skew);
    CPPUNIT_TEST(customers_do_not_disturb_each_other);
    CPPUNIT_TEST(within_rate_follows_bucket);
    CPPUNIT_TEST(refusals_within_rate_are_counted);
    CPPUNIT_TEST(worse_measures_are_found);
    CPPUNIT_TEST_SUITE_END();

public:
    void quantiles_have_bounded_error()
    {
        std::mt19937_64 random(3);
        std::uniform_real_distribution<double> exponent(0, 9);
        load::histogram h;
        std::vector<std::int64_t> values;
        for (int n = 0; n < 20'000; ++n)
        {
            values.push_back(
                static_cast<std::int64_t>(std::pow(10, exponent(random))));
            load::record(h, microseconds(values.back()));
        }
        std::ranges::sort(values);
        for (const double q : {0.0001, 0.1, 0.5, 0.9, 0.99, 0.999, 1.0})
        {
            const auto rank = static_cast<std::size_t>(
                std::ceil(q * static_cast<double>(values.size())));
            const auto exact = static_cast<double>(values[rank - 1]);
            const auto got = static_cast<double>(load::quantile(h, q).count());
            CPPUNIT_ASSERT(std::abs(got - exact) <= exact / 128);
        }
        CPPUNIT_ASSERT_EQUAL(values.back(), h.largest.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, load::quantile({}, 0.5).count());
    }

    void merged_histograms_count_all()
    {
        load::histogram a;
        load::histogram b;
        load::record(a, microseconds(10));
        load::record(b, microseconds(1'000'000));
        load::record(b, microseconds(-5));
        load::merge(a, b);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, a.count);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, load::quantile(a, 0.5).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000'000}, a.largest.count());
    }

    void schedule_has_rate_order_and_skew()
    {
        const auto list = load::make_schedule(sample_scenario(50, 0));
        // 7,000 expected, standard deviation about 84.
        CPPUNIT_ASSERT(list.size() > 6'600 && list.size() < 7'400);
        CPPUNIT_ASSERT(std::ranges::is_sorted(list, {}, &load::arrival::at));
        CPPUNIT_ASSERT(std::ranges::all_of(
            list,
            [](const load::arrival& a)
            {
                const bool late = a.at >= std::chrono::seconds(50);
                return a.customer != 0 || (a.region == 1) == late;
            }));
    }

    // A changed rate of one customer must not change the load of another, or
    // runs could not be compared.
    void customers_do_not_disturb_each_other()
    {
        const auto times_of_b = [](double rate_of_a)
        {
            std::vector<std::int64_t> times;
            std::ranges::for_each(
                load::make_schedule(sample_scenario(rate_of_a, 0.5)),
                [&](const load::arrival& a)
                {
                    if (a.customer == 1)
                        times.push_back(a.at.count());
                });
            return times;
        };
        CPPUNIT_ASSERT(times_of_b(5) == times_of_b(500));
    }

    void within_rate_follows_bucket()
    {
        // Far above the limit: burst + rate * time are within, repeats
        // included.
        const auto busy = load::make_schedule(sample_scenario(200, 0.2));
        CPPUNIT_ASSERT(std::abs(count_within_rate(busy) - 1'020) <= 3);
        auto s = sample_scenario(1, 0);
        auto calm = load::make_schedule(s);
        const auto of_a =
            std::ranges::count(calm, std::size_t{0}, &load::arrival::customer);
        CPPUNIT_ASSERT_EQUAL(of_a, count_within_rate(calm));
        // Requests of open routes need no token and none is counted for them.
        s.routes[0].open = true;
        s.routes[1].open = true;
        CPPUNIT_ASSERT(count_within_rate(load::make_schedule(s)) == 0);
    }

    void refusals_within_rate_are_counted()
    {
        load::tally t;
        load::arrival request;
        request.limited = true;
        load::completion refused{run_outcome::not_run, "customer_rate"};
        load::add(t, request, refused);
        request.within_rate = true;
        load::add(t, request, refused);
        refused.reason = "no_capacity";
        load::add(t, request, refused);
        load::add(t, request, {run_outcome::unknown, "connection_lost"});
        load::add(t, request, {run_outcome::result, ""});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, t.sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, t.within_rate);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, t.refused_within_rate);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, t.limited);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, t.limited_results);
        // Three admitted of four that the reference admits.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, load::admission_shortfall(t));
        request.within_rate = false;
        load::add(t, request, {run_outcome::result, ""});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, load::admission_shortfall(t));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, t.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, t.not_run["customer_rate"]);
    }

    void worse_measures_are_found()
    {
        auto results = load::make_results(sample_scenario(5, 0));
        const load::completion ok{run_outcome::result, "", false,
                                  microseconds(10'000)};
        load::add(results.counts[0][0], {}, ok);
        const auto before = load::to_json(results);
        load::add(results.counts[1][0], {}, {run_outcome::unknown, "x"});
        auto slow = ok;
        slow.latency = microseconds(10'500);
        load::add(results.counts[1][0], {}, slow);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), load::worst_served(results));
        const auto after = load::to_json(results);
        const auto& all = load::known_measures();
        using names = std::vector<std::string>;
        CPPUNIT_ASSERT(load::compare(before, after, all, 10).worse ==
                       names{"unknown"});
        CPPUNIT_ASSERT((load::compare(before, after, all, 1).worse ==
                        names{"p99_ms", "unknown"}));
        CPPUNIT_ASSERT(load::compare(after, before, all, 0).worse.empty());
        CPPUNIT_ASSERT(load::compare(after, after, all, 0).lines.empty());
        CPPUNIT_ASSERT_THROW(load::compare({{"a", 1}}, after, all, 0),
                             codec_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_measure);

} // namespace
