// Tests that the platform adapter decodes well-formed records into the
// project's types, and rejects malformed ones with codec_error instead of
// substituting values.

#include <parsleyplank/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <platform/adapter.hpp>
#include <platform/decode.hpp>

#include <cmath>
#include <limits>

using namespace parsleyplank;

namespace
{

const std::string configuration = R"({
 "version":"0000001c",
 "routes":{"columns":["name","host","pathPrefix","routeType","timeout",
   "targetLatency","priority","trafficSplit","maxAttempts","public",
   "sessionAffinity","allowedRegions","service"],
  "rows":[["r1","a.example","/x/","safe","2500ms","0.6s",2,
    [{"service":"s1","weight":90},{"service":"s2","weight":10}],2,false,true,
    [],null],
   ["r2","a.example","/y/","upload",null,"800ms",1,null,1,true,false,["oslo"],
    "s1"]]},
 "services":{"columns":["name","healthPath","maxConnections","protocol","tls",
   "warmup","warmupPerS"],
  "rows":[["s1","/healthz",330,"h1",false,"3s",3.8],
   ["s2","/healthz",330,"h1",false,"3s",3.8]]},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeout":"3000ms",
  "idleTimeout":"15000ms"},
 "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst",
   "allowedRegions"],
  "rows":[["t1",["k1","k2"],1,81,82,[]]]}})";

// Returns the text with the first occurrence of a part replaced. The part must
// occur.
std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string server(const std::string& change_from = "",
                   const std::string& change_to = "")
{
    return replaced(
        R"({"address":"10.1.0.9:8080","born":1700000000123,)"
        R"("info":{"service":"s1","version":"v1","zone":"oslo-a","capacity":4},)"
        R"("status":{"state":"ready","sequence":4,"warmupLeft":"1500ms"}})",
        change_from, change_to);
}

class platform_decode : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_decode);
    CPPUNIT_TEST(a_configuration_decodes);
    CPPUNIT_TEST(a_malformed_configuration_is_rejected);
    CPPUNIT_TEST(a_download_is_idempotent_with_a_large_body);
    CPPUNIT_TEST(an_unknown_kind_of_route_runs_at_most_once);
    CPPUNIT_TEST(a_route_of_unknown_kind_without_a_service_is_left_out);
    CPPUNIT_TEST(unknown_limits_leave_the_defaults);
    CPPUNIT_TEST(unknown_fields_are_ignored);
    CPPUNIT_TEST(numbers_beyond_their_type_become_the_largest);
    CPPUNIT_TEST(a_server_decodes);
    CPPUNIT_TEST(a_malformed_server_record_is_rejected);
    CPPUNIT_TEST(a_deeply_nested_record_is_rejected);
    CPPUNIT_TEST(a_number_that_is_too_large_is_rejected);
    CPPUNIT_TEST(a_port_out_of_range_is_rejected);
    CPPUNIT_TEST(large_weights_and_rates_stay_finite);
    CPPUNIT_TEST(a_directory_query_decodes);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};

    steering::backend_server decode(const std::string& value)
    {
        return platform::decode_server(
            backend_server_id("i-1"), value,
            {{failure_domain_id("oslo-a"), region_id("oslo")}}, start);
    }

public:
    void a_configuration_decodes()
    {
        const auto config = platform::decode_configuration(configuration);
        CPPUNIT_ASSERT(config.version == epoch(28));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), config.routes.size());
        const auto& read = config.routes.front();
        CPPUNIT_ASSERT(read.repeat == steering::repeat_rule::idempotent);
        CPPUNIT_ASSERT(read.target_latency == milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.services.size());
        CPPUNIT_ASSERT_EQUAL(90.0, read.services.front().weight);
        const auto& upload = config.routes.back();
        CPPUNIT_ASSERT(upload.repeat == steering::repeat_rule::at_most_once);
        CPPUNIT_ASSERT(upload.large_body && upload.open);
        CPPUNIT_ASSERT(upload.allowed_regions.front() == region_id("oslo"));
        CPPUNIT_ASSERT(config.keys_required);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             config.customers.front().api_keys.size());
        CPPUNIT_ASSERT(config.customers.front().rate == token_rate(81));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000), config.limits.max_body_bytes);
        CPPUNIT_ASSERT(config.services.front().warmup == milliseconds(3'000));
    }

    void a_malformed_configuration_is_rejected()
    {
        for (
            const auto* const damaged :
            {"", "[]", R"({"version":"xyz"})",
             R"({"version":"1","routes":{"columns":["name"],"rows":[[1,2]]}})",
             R"({"version":"1","routes":{"columns":["name"],"rows":[["r"]]}})"})
            CPPUNIT_ASSERT_THROW(platform::decode_configuration(damaged),
                                 codec_error);
    }

    void a_download_is_idempotent_with_a_large_body()
    {
        const auto config = platform::decode_configuration(
            replaced(configuration, "\"upload\"", "\"download\""));
        CPPUNIT_ASSERT(config.routes.back().repeat ==
                       steering::repeat_rule::idempotent);
        CPPUNIT_ASSERT(config.routes.back().large_body);
        CPPUNIT_ASSERT(config.unknown_values.empty());
    }

    // The other routes must keep working: a kind that this version does not
    // know once cost a deployment all of its service.
    void an_unknown_kind_of_route_runs_at_most_once()
    {
        const auto config = platform::decode_configuration(
            replaced(configuration, "\"upload\"", "\"mirror\""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), config.routes.size());
        CPPUNIT_ASSERT(config.routes.front().repeat ==
                       steering::repeat_rule::idempotent);
        CPPUNIT_ASSERT(config.routes.back().repeat ==
                       steering::repeat_rule::at_most_once);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), config.unknown_values.size());
        CPPUNIT_ASSERT(config.unknown_values.front().find("'mirror'") !=
                       std::string::npos);
    }

    void a_route_of_unknown_kind_without_a_service_is_left_out()
    {
        const auto config = platform::decode_configuration(
            R"({"version":"1","services":{"columns":["name","healthPath"],)"
            R"("rows":[["s1","/healthz"]]},"routes":{"columns":)"
            R"(["name","host","pathPrefix","routeType","service"],"rows":[)"
            R"(["r1","a.example","/a/","safe","s1"],)"
            R"(["r2","a.example","/b/","mirror",null],)"
            R"(["r3","a.example","/c/","mirror","s9"]]}})");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), config.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), config.routes.front().id.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), config.unknown_values.size());
    }

    void unknown_limits_leave_the_defaults()
    {
        const auto config =
            platform::decode_configuration(R"({"version":"1","limits":[1]})");
        CPPUNIT_ASSERT_EQUAL(steering::caller_limits().max_body_bytes,
                             config.limits.max_body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), config.unknown_values.size());
    }

    void unknown_fields_are_ignored()
    {
        const auto config = platform::decode_configuration(
            replaced(configuration, "\"limits\":{",
                     "\"novel\":[],\"limits\":{\"maxNovel\":true,"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000), config.limits.max_body_bytes);
        CPPUNIT_ASSERT(
            !decode(server("\"state\":", "\"novel\":{},\"state\":")).draining);
    }

    void numbers_beyond_their_type_become_the_largest()
    {
        const auto config = platform::decode_configuration(
            R"({"version":"1","limits":{"maxBodyBytes":1e300},)"
            R"("services":{"columns":["name","healthPath","maxConnections"],)"
            R"("rows":[["s1","/healthz",1e12]]}})");
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::size_t>::max(),
                             config.limits.max_body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(),
                             config.services.front().max_connections);
    }

    void a_server_decodes()
    {
        const auto it = decode(server());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.9"), it.endpoint.address);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8080), it.endpoint.port);
        CPPUNIT_ASSERT(it.region == region_id("oslo"));
        CPPUNIT_ASSERT(it.cold_until == start + milliseconds(1'500));
        CPPUNIT_ASSERT(!it.draining);
        CPPUNIT_ASSERT(decode(server("ready", "draining")).draining);
    }

    // Another client may write entries under the prefix of the server records.
    void a_malformed_server_record_is_rejected()
    {
        const std::vector<std::pair<std::string, std::string>> changes{
            {"\"capacity\":4", "\"capacity\":\"4\""},
            {"\"capacity\":4", "\"capacity\":0"},
            {"\"capacity\":4", "\"capacity\":4294967296"},
            {"ready", "sleeping"},
            {"oslo-a", "elsewhere"},
            {"1500ms", "soon"},
            {"10.1.0.9:8080", "10.1.0.9"},
            {"\"sequence\":4", "\"sequence\":null"},
            {"1700000000123", "\"now\""},
            {"\"version\":\"v1\",", ""},
            {"{\"address\"", "{{"}};
        for (const auto& [from, to] : changes)
            CPPUNIT_ASSERT_THROW_MESSAGE(to, decode(server(from, to)),
                                         codec_error);
    }

    // Failure scenario: an entry of another client, nested very deeply, ended
    // the process: cells of a configuration were copied recursively.
    void a_deeply_nested_record_is_rejected()
    {
        // As deep as the store's largest value allows.
        constexpr std::size_t depth = 500'000;
        const auto nested =
            std::string(depth, '[') + "1" + std::string(depth, ']');
        CPPUNIT_ASSERT_THROW(platform::decode_configuration(replaced(
                                 configuration, "[\"k1\",\"k2\"]", nested)),
                             codec_error);
        CPPUNIT_ASSERT_THROW(
            decode(server("\"state\":", "\"novel\":" + nested + ",\"state\":")),
            codec_error);
        CPPUNIT_ASSERT_THROW(
            decode(server("\"capacity\":4", "\"capacity\":" + nested)),
            codec_error);
        CPPUNIT_ASSERT_THROW(decode(nested), codec_error);
        CPPUNIT_ASSERT_THROW(platform::decode_rollout(
                                 "{\"service\":" + nested + "}", revision(1)),
                             codec_error);
    }

    void a_number_that_is_too_large_is_rejected()
    {
        const std::vector<std::pair<std::string, std::string>> changes{
            {"\"capacity\":4", "\"capacity\":1e400"},
            {"\"capacity\":4", "\"capacity\":18446744073709551615"},
            {"\"capacity\":4", "\"capacity\":99999999999999999999999"},
            {"\"sequence\":4", "\"sequence\":18446744073709551615"},
            {"\"sequence\":4", "\"sequence\":1e30"},
            {"1700000000123", "9223372036854775808"},
            {"1500ms", "1e300s"},
            {"1500ms", "99999999999999999999ms"}};
        for (const auto& [from, to] : changes)
            CPPUNIT_ASSERT_THROW_MESSAGE(to, decode(server(from, to)),
                                         codec_error);
    }

    void a_port_out_of_range_is_rejected()
    {
        for (const auto* const port :
             {"0", "-1", "65536", "70000", "4295000000", "8080x", " 80", ""})
            CPPUNIT_ASSERT_THROW_MESSAGE(
                port,
                decode(
                    server("10.1.0.9:8080", std::string("10.1.0.9:") + port)),
                codec_error);
        CPPUNIT_ASSERT_EQUAL(
            std::uint16_t(65'535),
            decode(server("10.1.0.9:8080", "10.1.0.9:65535")).endpoint.port);
    }

    // Sums of such numbers would be infinite, and shares of infinite sums no
    // numbers.
    void large_weights_and_rates_stay_finite()
    {
        const auto weighted = platform::decode_configuration(replaced(
            replaced(configuration, "\"weight\":90", "\"weight\":1e308"),
            "\"weight\":10", "\"weight\":1e308"));
        const auto& services = weighted.routes.front().services;
        CPPUNIT_ASSERT(
            std::isfinite(services.front().weight + services.back().weight));
        const auto rated = platform::decode_configuration(
            replaced(configuration, ",81,82,", ",1e308,1e308,"));
        const auto& customer = rated.customers.front();
        constexpr double seconds_of_a_day = 86'400;
        CPPUNIT_ASSERT(std::isfinite(customer.rate.value * seconds_of_a_day +
                                     customer.burst.value));
    }

    void a_directory_query_decodes()
    {
        const auto adapter = platform::make_adapter();
        const auto query = adapter.parse_directory_query(
            "/resolve?name=a.example&region=oslo&zone=oslo-a");
        CPPUNIT_ASSERT(query && query->domain == failure_domain_id("oslo-a") &&
                       query->region == region_id("oslo"));
        CPPUNIT_ASSERT(!adapter.parse_directory_query("/resolved"));
        const std::vector<steering::server_endpoint> one{{"10.0.0.1", 80}};
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"addresses":["10.0.0.1:80"],"ttl":"2000ms"})"),
            adapter.format_directory_answer(one, milliseconds(2'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_decode);

} // namespace
