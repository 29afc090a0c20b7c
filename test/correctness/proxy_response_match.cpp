// Guards the decision whether a message of a backend server answers a request:
// bytes of a faulty server must not pass as its response.

#include <parsleyplank/proxy/response_match.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::proxy;

namespace
{

const std::string id = "request-1";
const std::pair<std::string, std::string> own_id{"Id", id};
const std::pair<std::string, std::string> other_id{"Id", "request-0"};
const std::pair<std::string, std::string> seal{"Seal", "s"};
const std::pair<std::string, std::string> refusal{"Not-Executed", "1"};

class proxy_response_match : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_response_match);
    CPPUNIT_TEST(a_success_needs_the_id_and_the_seal);
    CPPUNIT_TEST(an_empty_seal_is_none);
    CPPUNIT_TEST(a_seal_that_is_not_passed_on_is_none);
    CPPUNIT_TEST(a_failure_needs_the_id_only);
    CPPUNIT_TEST(another_id_names_another_request);
    CPPUNIT_TEST(without_an_id_only_the_first_message_can_be_the_response);
    CPPUNIT_TEST(a_success_is_no_refusal);
    CPPUNIT_TEST(servers_without_a_seal_need_the_id_only);
    CPPUNIT_TEST(a_request_without_an_id_takes_a_response_without_one);
    CPPUNIT_TEST_SUITE_END();

    response_marks marks{"Id", "Seal", "Not-Executed"};

    using field_list = std::vector<std::pair<std::string, std::string>>;

    response_match match(unsigned status, const field_list& fields,
                         bool first = false) const
    {
        response_message message;
        message.result(status);
        for (const auto& [name, value] : fields)
            message.insert(name, value);
        return match_response(message, marks, id, first);
    }

    static void assert_match(response_match expected, response_match seen)
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected),
                             static_cast<int>(seen));
    }

public:
    void a_success_needs_the_id_and_the_seal()
    {
        for (const unsigned status : {200, 201, 204, 299})
        {
            assert_match(response_match::answer, match(status, {own_id, seal}));
            for (const bool first : {false, true})
            {
                assert_match(response_match::no_seal,
                             match(status, {own_id}, first));
                assert_match(response_match::no_id, match(status, {}, first));
            }
        }
    }

    void an_empty_seal_is_none()
    {
        assert_match(response_match::no_seal,
                     match(200, {own_id, {"Seal", ""}}));
    }

    void a_seal_that_is_not_passed_on_is_none()
    {
        assert_match(
            response_match::no_seal,
            match(200, {own_id, seal, {"Connection", "keep-alive, seal"}}));
    }

    void a_failure_needs_the_id_only()
    {
        for (const unsigned status : {304, 404, 500, 503})
        {
            assert_match(response_match::answer, match(status, {own_id}));
            assert_match(response_match::answer, match(status, {own_id, seal}));
        }
    }

    void another_id_names_another_request()
    {
        for (const unsigned status : {200, 421, 500})
            for (const bool first : {false, true})
                assert_match(response_match::other_request,
                             match(status, {other_id, seal}, first));
    }

    void without_an_id_only_the_first_message_can_be_the_response()
    {
        assert_match(response_match::answer, match(421, {}, true));
        assert_match(response_match::answer, match(503, {refusal}, true));
        assert_match(response_match::answer, match(500, {seal}, true));
        assert_match(response_match::answer, match(200, {seal}, true));
        assert_match(response_match::answer, match(500, {}, true));
        for (const unsigned status : {200, 302, 404})
            assert_match(response_match::no_id, match(status, {}, true));
        for (const auto& fields : {field_list{}, {refusal}, {seal}})
            for (const unsigned status : {200, 421, 500, 503})
                assert_match(response_match::no_id, match(status, fields));
    }

    void a_success_is_no_refusal()
    {
        assert_match(response_match::no_id, match(200, {refusal}, true));
        assert_match(response_match::no_seal, match(200, {own_id, refusal}));
    }

    void servers_without_a_seal_need_the_id_only()
    {
        marks.seal.clear();
        assert_match(response_match::answer, match(200, {own_id}));
        assert_match(response_match::answer, match(200, {}, true));
        assert_match(response_match::no_id, match(200, {}));
        assert_match(response_match::other_request, match(200, {other_id}));
    }

    void a_request_without_an_id_takes_a_response_without_one()
    {
        response_message message;
        message.result(400U);
        assert_match(response_match::answer,
                     match_response(message, marks, "", false));
        message.result(200U);
        assert_match(response_match::no_seal,
                     match_response(message, marks, "", false));
        message.insert("Id", id);
        assert_match(response_match::other_request,
                     match_response(message, marks, "", false));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_response_match);

} // namespace
