// Guards the decision how long a message is (RFC 9112, sections 6.1 to 6.3): a
// length in doubt must be an error.

#include <parsleyplank/proxy/message_length.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::proxy;

namespace
{

class proxy_message_length : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_message_length);
    CPPUNIT_TEST(a_request_without_a_length_has_no_body);
    CPPUNIT_TEST(a_length_is_one_decimal_number);
    CPPUNIT_TEST(chunked_is_the_only_coding);
    CPPUNIT_TEST(a_coding_excludes_a_length_and_http_1_0);
    CPPUNIT_TEST(some_responses_never_have_a_body);
    CPPUNIT_TEST(other_responses_end_with_the_connection);
    CPPUNIT_TEST(a_folded_field_is_found_in_parts);
    CPPUNIT_TEST(only_an_unknown_coding_is_not_implemented);
    CPPUNIT_TEST_SUITE_END();

    using field_list = std::vector<std::pair<std::string, std::string>>;

    // Returns a description of the length, e.g. "7", "chunked" or the name of a
    // fault.
    static std::string describe(const message_length& length)
    {
        if (const auto fault = fault_of(length))
            return std::string(to_string(*fault));
        if (const auto* fixed = std::get_if<fixed_length>(&length))
            return std::to_string(fixed->bytes);
        if (std::holds_alternative<chunked_body>(length))
            return "chunked";
        return std::holds_alternative<no_body>(length) ? "none" : "until end";
    }

    static std::string request(const field_list& fields, unsigned version = 11)
    {
        request_message message;
        message.version(version);
        for (const auto& [name, value] : fields)
            message.insert(name, value);
        return describe(request_length(message));
    }

    static std::string response(unsigned status, const field_list& fields,
                                http::verb method = http::verb::get)
    {
        response_message message;
        message.result(status);
        for (const auto& [name, value] : fields)
            message.insert(name, value);
        return describe(response_length(message, method));
    }

    static void assert_codings(const std::string& expected,
                               const std::vector<std::string>& values)
    {
        field_list fields;
        std::string all;
        for (const auto& value : values)
        {
            fields.emplace_back("Transfer-Encoding", value);
            all += value + "; ";
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all, expected, request(fields));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all, expected, response(200, fields));
    }

    static void assert_length(const std::string& expected,
                              const std::vector<std::string>& values)
    {
        field_list fields;
        for (const auto& value : values)
            fields.emplace_back("Content-Length", value);
        CPPUNIT_ASSERT_EQUAL(expected, request(fields));
        CPPUNIT_ASSERT_EQUAL(expected, response(200, fields));
    }

public:
    void a_request_without_a_length_has_no_body()
    {
        for (const unsigned version : {10U, 11U})
            CPPUNIT_ASSERT_EQUAL(std::string("none"), request({}, version));
    }

    void a_length_is_one_decimal_number()
    {
        assert_length("0", {"0"});
        assert_length("7", {"7"});
        assert_length("7", {" 7\t"});
        assert_length("7", {"7", "7"});
        for (const std::string value : {"", "-7", "+7", "0x7", "7 7", "7,7",
                                        "7a", "7.0", "18446744073709551616"})
            assert_length("bad_length", {value});
        assert_length("bad_length", {"7", "8"});
    }

    void chunked_is_the_only_coding()
    {
        assert_codings("chunked", {"chunked"});
        assert_codings("chunked", {" Chunked "});
        for (const std::string value :
             {"", "gzip", "identity", "xchunked", "chunked, gzip",
              "chunked, identity", "chunked,", "chunked, chunked",
              "\"chunked\"", "chunked;a=b", "chunked\v"})
            assert_codings("not_chunked", {value});
        assert_codings("not_chunked", {"chunked", "gzip"});
        assert_codings("not_chunked", {"chunked", "chunked"});
        assert_codings("unknown_coding", {"gzip, chunked"});
        assert_codings("unknown_coding", {"gzip", "chunked"});
        assert_codings("unknown_coding", {", chunked"});
    }

    void a_coding_excludes_a_length_and_http_1_0()
    {
        const std::pair<std::string, std::string> length{"Content-Length", "7"};
        for (const std::string value : {"chunked", "gzip"})
        {
            const std::pair<std::string, std::string> coding{
                "Transfer-Encoding", value};
            for (const auto& fields :
                 {field_list{length, coding}, {coding, length}})
                CPPUNIT_ASSERT_EQUAL(std::string("length_and_coding"),
                                     request(fields));
            CPPUNIT_ASSERT_EQUAL(std::string("coding_in_http_1_0"),
                                 request({coding}, 10));
        }
    }

    void some_responses_never_have_a_body()
    {
        const field_list length{{"Content-Length", "7"}};
        for (const unsigned status : {103U, 204U, 304U})
            CPPUNIT_ASSERT_EQUAL(std::string("none"), response(status, length));
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             response(200, length, http::verb::head));
    }

    void other_responses_end_with_the_connection()
    {
        for (const unsigned status : {200U, 404U, 500U})
            CPPUNIT_ASSERT_EQUAL(std::string("until end"),
                                 response(status, {}));
    }

    void a_folded_field_is_found_in_parts()
    {
        const std::string header = "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n";
        for (std::size_t n = 0; n <= header.size(); ++n)
        {
            fold_detector folds;
            folds.add(std::string_view(header).substr(0, n));
            CPPUNIT_ASSERT(folds.add(std::string_view(header).substr(n)));
        }
        CPPUNIT_ASSERT(fold_detector().add("A: b\r\n\tc\r\n"));
        CPPUNIT_ASSERT(!fold_detector().add("A:  b \r\nB:\t\r\n\r\n"));
    }

    void only_an_unknown_coding_is_not_implemented()
    {
        for (const auto fault : all_framing_faults)
            CPPUNIT_ASSERT_EQUAL(fault == framing_fault::unknown_coding ? 501U
                                                                        : 400U,
                                 status_of(fault));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_message_length);

} // namespace
