// Guards, over real sockets from caller to backend server, that an API key
// reaches no backend server, wherever in the request head the caller puts it.

#include "support/backend_calls.hpp"
#include "support/raw_connection.hpp"
#include <parsleyplank/dataplane/backend_client.hpp>
#include <parsleyplank/dataplane/header_filter.hpp>
#include <parsleyplank/dataplane/http_front.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>

using namespace parsleyplank;
using namespace parsleyplank::dataplane;

namespace
{

const std::string key = "sk-secret-1";

class dataplane_key_secrecy : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dataplane_key_secrecy);
    CPPUNIT_TEST(key_reaches_no_backend_server);
    CPPUNIT_TEST(key_in_path_is_refused);
    CPPUNIT_TEST(stand_in_sees_a_key_that_is_sent);
    CPPUNIT_TEST_SUITE_END();

    test::backend_server server{{}};
    backend_client client{{}};
    http_front front{{},
                     [this](inbound_request request, const responder& answer)
                     {
                         forward(std::move(request), answer);
                     }};

    void forward(inbound_request request, const responder& answer)
    {
        const auto* given = find_header(request.headers, "x-api-key");
        const std::string its_key = given == nullptr ? "" : *given;
        const auto target = filter_target(request.path, request.query, its_key);
        if (!target)
        {
            answer.complete(make_refusal(refusal_reason::bad_request,
                                         run_outcome::not_run));
            return;
        }
        auto call = test::make_call(server.port());
        call.method = request.method;
        call.target = *target;
        call.headers = filter_request_headers(request.headers, its_key);
        call.body =
            std::make_shared<const std::string>(std::move(request.body));
        client.send(std::move(call),
                    [answer](const call_result& result)
                    {
                        answer.complete(
                            {result.status,
                             filter_response_headers(result.headers),
                             result.body});
                    });
    }

public:
    void key_reaches_no_backend_server()
    {
        server.watch(key);
        test::raw_connection caller(front.port());
        caller.send("POST /parts?q=bolt&api_key=" + key +
                    "&x=%73k-secret-1&Token=" + key +
                    " HTTP/1.1\r\n"
                    "X-API-KEY: " +
                    key +
                    "\r\n"
                    "X_Api_Key: " +
                    key +
                    "\r\n"
                    "Api-Key: " +
                    key +
                    "\r\n"
                    "Authorization: Bearer " +
                    key +
                    "\r\n"
                    "Cookie: session=1; key=" +
                    key +
                    "\r\n"
                    "User-Agent: app/" +
                    key +
                    "\r\n"
                    "Referer: http://x/?k=" +
                    key +
                    "\r\n"
                    "Content-Type: text/plain\r\n"
                    "Content-Length: 4\r\n\r\nbody");
        const auto response = caller.receive();
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(response.body.find("\"query\":\"q=bolt\"") !=
                       std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, server.total_executions());
        CPPUNIT_ASSERT_EQUAL(0, server.seen());
    }

    void key_in_path_is_refused()
    {
        server.watch(key);
        test::raw_connection caller(front.port());
        caller.send("GET /parts/" + key + " HTTP/1.1\r\nX-Api-Key: " + key +
                    "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(400, caller.receive().status);
        CPPUNIT_ASSERT_EQUAL(0, server.total_executions());
        CPPUNIT_ASSERT_EQUAL(0, server.seen());
    }

    // Without it the two tests above could pass with a blind stand-in.
    void stand_in_sees_a_key_that_is_sent()
    {
        server.watch(key);
        auto call = test::make_call(server.port());
        call.headers = {{"x-thing", key}};
        test::run_call(client, call);
        CPPUNIT_ASSERT_EQUAL(1, server.seen());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dataplane_key_secrecy);

} // namespace
