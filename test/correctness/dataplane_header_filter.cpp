// Guards the secrecy of API keys: no spelling of a header, query parameter or
// cookie carries one to a backend server.

#include <parsleyplank/dataplane/header_filter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace parsleyplank::dataplane;

namespace
{

const std::string key = "sk-7f/3a=9";

std::string target_of(const std::string& query)
{
    return filter_target("/parts", query, key).value_or("none");
}

class dataplane_header_filter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dataplane_header_filter);
    CPPUNIT_TEST(only_listed_request_headers_pass);
    CPPUNIT_TEST(listed_header_that_holds_the_key_is_dropped);
    CPPUNIT_TEST(parameters_named_like_a_key_are_dropped);
    CPPUNIT_TEST(parameters_that_hold_the_key_are_dropped);
    CPPUNIT_TEST(other_parameters_pass_unchanged);
    CPPUNIT_TEST(path_that_holds_the_key_is_refused);
    CPPUNIT_TEST(hop_by_hop_response_headers_are_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_listed_request_headers_pass()
    {
        const header_list fields{
            {"accept", "a"},          {"x-api-key", key},
            {"x_api_key", key},       {"api-key", key},
            {"authorization", key},   {"cookie", "key=" + key},
            {"connection", "x-foo"},  {"keep-alive", "1"},
            {"te", "trailers"},       {"transfer-encoding", "chunked"},
            {"upgrade", "h2c"},       {"proxy-authorization", key},
            {"content-length", "5"},  {"host", "entry"},
            {"x-foo", "1"},           {"x-request-id", "forged"},
            {"idempotency-key", "o1"}};
        const header_list expected{{"accept", "a"}, {"idempotency-key", "o1"}};
        CPPUNIT_ASSERT(filter_request_headers(fields, key) == expected);
    }

    void listed_header_that_holds_the_key_is_dropped()
    {
        const header_list fields{{"user-agent", "app/" + key},
                                 {"accept-language", "nb"},
                                 {"if-match", "sk-7f%2F3a%3d9"}};
        const header_list expected{{"accept-language", "nb"}};
        CPPUNIT_ASSERT(filter_request_headers(fields, key) == expected);
        CPPUNIT_ASSERT(filter_request_headers(fields, "") == fields);
    }

    void parameters_named_like_a_key_are_dropped()
    {
        const std::vector<std::string> names{
            "api_key",   "apikey",       "API-KEY",      "X-Api-Key",
            "key",       "Token",        "access_token", "%61pi_key",
            "api%5Fkey", "%2561pi_key",  "my_api_key",   "auth",
            "secret",    "Authorization"};
        for (const auto& name : names)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, std::string("/parts?a=1&b=2"),
                target_of("a=1&" + name + "=other&b=2"));
    }

    void parameters_that_hold_the_key_are_dropped()
    {
        const std::vector<std::string> parameters{
            "q=" + key, "q=sk-7f%2F3a%3D9", "q=sk%252D7f%252f3a%253d9", key,
            "q=xx" + key + "xx"};
        for (const auto& parameter : parameters)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("/parts?a=1"),
                                 target_of(parameter + "&a=1"));
            CPPUNIT_ASSERT_EQUAL(std::string("/parts?a=1"),
                                 target_of("a=1;" + parameter));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/parts"),
                             *filter_target("/parts", "q=a&b", "a&b"));
    }

    void other_parameters_pass_unchanged()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/parts"), target_of(""));
        CPPUNIT_ASSERT_EQUAL(std::string("/parts?q=%20x&keyword=1;flag"),
                             target_of("q=%20x&keyword=1;flag"));
    }

    void path_that_holds_the_key_is_refused()
    {
        CPPUNIT_ASSERT(!filter_target("/parts/" + key, "", key));
        CPPUNIT_ASSERT(!filter_target("/parts/sk-7f%2F3a%3D9", "", key));
        CPPUNIT_ASSERT(filter_target("/parts/" + key, "", ""));
    }

    void hop_by_hop_response_headers_are_dropped()
    {
        const header_list fields{{"content-type", "text/plain"},
                                 {"connection", "close"},
                                 {"transfer-encoding", "chunked"},
                                 {"content-length", "7"},
                                 {"set-cookie", "session=1"},
                                 {"x-request-id", "r"},
                                 {"vary", "accept"},
                                 {"vary", "range"}};
        const header_list expected{{"content-type", "text/plain"},
                                   {"vary", "accept, range"}};
        CPPUNIT_ASSERT(filter_response_headers(fields) == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dataplane_header_filter);

} // namespace
