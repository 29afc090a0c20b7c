// Uploads whose length is in doubt: guards against the body of one request that
// runs as further requests (request smuggling).

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>
#include <support/gate.hpp>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_request_framing : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_request_framing);
    CPPUNIT_TEST(an_order_inside_an_upload_does_not_run);
    CPPUNIT_TEST(no_listener_reads_on_behind_a_length_in_doubt);
    CPPUNIT_TEST(a_chunked_upload_arrives_as_it_was_sent);
    CPPUNIT_TEST(a_response_with_another_coding_is_lost);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<edge_fixture> edge;
    mailbox<std::string> seen;

    static const std::string hidden;

    static std::string upload(const std::string& lines)
    {
        return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
               "Parsleyplank-Request-Id: upload\r\nApi-Key: key-1\r\n" +
               lines + "\r\n\r\n" + hidden;
    }

public:
    void setUp() override
    {
        edge = std::make_unique<edge_fixture>();
        edge->add_server(
            [this](const std::string& it)
            {
                seen.put(it);
                return scripted_response{echo_response(it, "ok")};
            });
        edge->publish();
    }

    void tearDown() override
    {
        edge.reset();
    }

    // Failure scenario of the second review: the upload ran with an empty body,
    // and then the order inside it.
    void an_order_inside_an_upload_does_not_run()
    {
        const std::string coding = "Transfer-Encoding: ";
        for (const std::string lines :
             {"gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked",
              "chunked, chunked", "\"chunked\"", "\r\n chunked",
              "chunked,\r\n gzip", "gzip\r\nTransfer-Encoding: chunked",
              "gzip\r\nContent-Length: 3", "gzip\r\nContent-Length: 0"})
        {
            raw_connection caller(edge->config.callers.port);
            caller.send(upload(coding + lines));
            const auto response = caller.receive();
            CPPUNIT_ASSERT_MESSAGE(lines, response.status == 400 ||
                                              response.status == 501);
            CPPUNIT_ASSERT(response.has_line("Connection: close"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(lines, std::string(),
                                         caller.receive_to_end());
            CPPUNIT_ASSERT_MESSAGE(lines, seen.empty());
        }
    }

    void no_listener_reads_on_behind_a_length_in_doubt()
    {
        for (const auto port :
             {edge->config.readiness.port, edge->config.directory.port})
        {
            raw_connection caller(port);
            caller.send(upload("Transfer-Encoding: gzip"));
            CPPUNIT_ASSERT_EQUAL(400, caller.receive().status);
            CPPUNIT_ASSERT_EQUAL(std::string(), caller.receive_to_end());
        }
    }

    void a_chunked_upload_arrives_as_it_was_sent()
    {
        raw_connection caller(edge->config.callers.port);
        auto text = upload("Transfer-Encoding: Chunked");
        text.resize(text.size() - hidden.size());
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", hidden.size());
        caller.send(text + size.data() + hidden + "\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        CPPUNIT_ASSERT(seen.take().ends_with("\r\n\r\n" + hidden));
        CPPUNIT_ASSERT(seen.empty());
    }

    // The caller would get the encoded bytes without the field that says so.
    void a_response_with_another_coding_is_lost()
    {
        for (const std::string coding : {"gzip", "gzip, chunked"})
        {
            edge = std::make_unique<edge_fixture>();
            edge->add_server(
                [coding](const std::string& it)
                {
                    auto text = echo_response(it, "");
                    const auto at = text.find("Content-Length");
                    text.replace(at, text.find("\r\n", at) - at,
                                 "Transfer-Encoding: " + coding);
                    return scripted_response{text + "0\r\n\r\n", true};
                });
            edge->publish();
            raw_connection caller(edge->config.callers.port);
            caller.send(
                edge_fixture::request("POST", "/order/1", "a", "", "body"));
            CPPUNIT_ASSERT_EQUAL(502, caller.receive().status);
        }
    }
};

const std::string edge_request_framing::hidden =
    edge_fixture::request("POST", "/order/1", "hidden");

CPPUNIT_TEST_SUITE_REGISTRATION(edge_request_framing);

} // namespace
