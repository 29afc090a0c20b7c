// Guards lookup responses: instances that are leaving are excluded immediately,
// the caller's region comes first, a customer's callers are sent to instances
// that hold its share, and invalid requests are rejected with a reason.

#include "support/sample_bundle.hpp"
#include <parsleyplank/lookup/lookup.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>
#include <set>

using namespace parsleyplank;
using namespace parsleyplank::lookup;

namespace
{

live_instance instance(const std::string& id, const std::string& region)
{
    live_instance v;
    v.id = instance_id(id);
    v.region = region_id(region);
    v.address = "127.0.0.1";
    v.port = 8'000;
    return v;
}

std::uint32_t weight_sum(const std::vector<ranked_instance>& list)
{
    return std::accumulate(list.begin(), list.end(), 0U,
                           [](std::uint32_t n, const ranked_instance& v)
                           { return n + v.weight; });
}

class lookup_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lookup_response_test);
    CPPUNIT_TEST(own_region_gets_all_weight_and_fallbacks_follow);
    CPPUNIT_TEST(leaving_instances_are_excluded);
    CPPUNIT_TEST(region_without_instances_is_served_from_elsewhere);
    CPPUNIT_TEST(region_whose_instances_have_no_weight_yet_comes_last);
    CPPUNIT_TEST(holders_of_a_customers_share_are_preferred);
    CPPUNIT_TEST(weights_are_rounded_to_a_thousand);
    CPPUNIT_TEST(callers_spread_over_a_large_region);
    CPPUNIT_TEST(response_is_json);
    CPPUNIT_TEST(wrong_requests_are_refused_with_a_reason);
    CPPUNIT_TEST_SUITE_END();

    lookup_snapshot snapshot;
    std::vector<live_instance> instances;

    lookup_response look_up(const char* query)
    {
        snapshot.instances = group_by_region(instances);
        return answer_lookup(snapshot, parse_lookup(query));
    }

    static std::string refusal(std::string_view query)
    {
        try
        {
            parse_lookup(query);
        }
        catch (const invalid_lookup_request& ec)
        {
            return ec.what();
        }
        return "accepted";
    }

public:
    void setUp() override
    {
        auto content = test::sample_bundle();
        content.epoch = epoch(9);
        snapshot.blocks =
            std::make_shared<const block_table>(make_block_table(content));
        snapshot.content =
            std::make_shared<const config::bundle>(std::move(content));
        instances = {instance("n1", "north"), instance("n2", "north"),
                     instance("s1", "south")};
    }

    void own_region_gets_all_weight_and_fallbacks_follow()
    {
        const auto response = look_up("client=10.0.3.4");
        CPPUNIT_ASSERT_EQUAL(std::string("north"), response.region.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, response.instances.size());
        CPPUNIT_ASSERT_EQUAL(500U, response.instances[0].weight);
        CPPUNIT_ASSERT_EQUAL(500U, response.instances[1].weight);
        CPPUNIT_ASSERT(response.instances[2].id == instance_id("s1"));
        CPPUNIT_ASSERT_EQUAL(0U, response.instances[2].weight);
        // South is the default region for clients outside all blocks and has no
        // fallback.
        const auto other = look_up("client=192.0.2.1");
        CPPUNIT_ASSERT_EQUAL(std::string("south"), other.region.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.instances.size());
    }

    void leaving_instances_are_excluded()
    {
        instances[0].leaving = true;
        const auto response = look_up("client=10.0.3.4");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, response.instances.size());
        CPPUNIT_ASSERT(response.instances[0].id == instance_id("n2"));
        CPPUNIT_ASSERT_EQUAL(1'000U, response.instances[0].weight);
    }

    void region_without_instances_is_served_from_elsewhere()
    {
        instances[0].leaving = true;
        instances[1].leaving = true;
        CPPUNIT_ASSERT_EQUAL(1'000U,
                             look_up("client=10.0.3.4").instances[0].weight);
        instances = {instance("n1", "north")};
        const auto response = look_up("client=192.0.2.1");
        CPPUNIT_ASSERT_EQUAL(std::string("south"), response.region.value);
        CPPUNIT_ASSERT_EQUAL(1'000U, response.instances.at(0).weight);
        instances.clear();
        CPPUNIT_ASSERT(look_up("client=10.0.3.4").instances.empty());
    }

    // When all instances of a region are replaced, the new ones hold no share
    // at first and refuse the requests they receive.
    void region_whose_instances_have_no_weight_yet_comes_last()
    {
        instances[0].weight = 0;
        instances[1].weight = 0;
        const auto response = look_up("client=10.0.3.4");
        CPPUNIT_ASSERT(response.instances.at(0).id == instance_id("s1"));
        CPPUNIT_ASSERT_EQUAL(1'000U, response.instances[0].weight);
        CPPUNIT_ASSERT_EQUAL(0U, response.instances.at(1).weight);
    }

    void holders_of_a_customers_share_are_preferred()
    {
        instances[0].customer_shares[customer_id("a")] = {100'000};
        instances[1].customer_shares[customer_id("a")] = {300'000};
        const auto list = look_up("client=10.0.3.4&customer=a").instances;
        CPPUNIT_ASSERT(list[0].id == instance_id("n2"));
        CPPUNIT_ASSERT_EQUAL(750U, list[0].weight);
        CPPUNIT_ASSERT_EQUAL(250U, list[1].weight);
        CPPUNIT_ASSERT_EQUAL(
            500U, look_up("client=10.0.3.4&customer=b").instances[0].weight);
    }

    void weights_are_rounded_to_a_thousand()
    {
        for (std::size_t n = 1; n <= 10; ++n)
        {
            instances.clear();
            for (std::size_t i = 0; i < n; ++i)
            {
                auto v = instance("n" + std::to_string(i), "north");
                v.weight = 1.0 / static_cast<double>(3 + i);
                instances.push_back(v);
            }
            CPPUNIT_ASSERT_EQUAL(
                1'000U, weight_sum(look_up("client=10.0.3.4").instances));
        }
    }

    void callers_spread_over_a_large_region()
    {
        instances.clear();
        for (int i = 0; i < 40; ++i)
            instances.push_back(instance("n" + std::to_string(i), "north"));
        std::set<instance_id> seen;
        for (int i = 0; i < 30; ++i)
        {
            const auto query = "client=10.0.0." + std::to_string(i);
            const auto response = look_up(query.c_str());
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, response.instances.size());
            CPPUNIT_ASSERT(response.instances ==
                           look_up(query.c_str()).instances);
            for (const auto& v : response.instances)
                seen.insert(v.id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, seen.size());
    }

    void response_is_json()
    {
        instances = {instance("n1", "north")};
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"region":"north","epoch":9,"ttl_ms":5000,)"
                        R"("instances":[{"id":"n1","address":"127.0.0.1",)"
                        R"("port":8000,"region":"north","weight":1000}]})"),
            to_json(look_up("client=%31%30.0.3.4")));
        CPPUNIT_ASSERT_EQUAL(std::string("{\"error\":\"a\\\"\xEF\xBF\xBD\"}"),
                             error_json("a\"\xFF"));
    }

    void wrong_requests_are_refused_with_a_reason()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("parameter client is missing; use "
                                         "/v1/lookup?client=10.0.0.1"),
                             refusal(""));
        CPPUNIT_ASSERT_EQUAL(
            std::string("parameter client: \"x\" is not an IP address; write "
                        "e.g. 10.0.0.1 or 2001:db8::1"),
            refusal("client=x"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("unknown parameter; use client and customer"),
            refusal("client=10.0.0.1&api_key=secret"));
        CPPUNIT_ASSERT_EQUAL(std::string("parameter client is given twice"),
                             refusal("client=10.0.0.1&client=10.0.0.1"));
        for (const char* query : {"client=%", "client=%4", "client=%zz"})
            CPPUNIT_ASSERT_EQUAL(std::string("query holds a \"%\" without two "
                                             "hexadecimal digits"),
                                 refusal(query));
        CPPUNIT_ASSERT_THROW(look_up("client=10.0.0.1&customer=zz"),
                             invalid_lookup_request);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lookup_response_test);

} // namespace
