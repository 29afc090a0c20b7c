#ifndef PARSLEYPLANK_TEST_SUPPORT_BACKEND_CALLS_HPP
#define PARSLEYPLANK_TEST_SUPPORT_BACKEND_CALLS_HPP

// Calls from tests to a stand-in backend server through backend_client.

#include "standin/backend/backend_server.hpp"
#include "support/gate.hpp"
#include <parsleyplank/dataplane/backend_client.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace parsleyplank::test
{

// A GET with a generous deadline; tests change what they need.
inline dataplane::backend_call make_call(std::uint16_t port,
                                         const std::string& id = "r-1")
{
    dataplane::backend_call call;
    call.upstream = upstream_id("parts");
    call.address = "127.0.0.1";
    call.port = port;
    call.target = "/parts/7";
    call.id = request_id(id);
    call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    return call;
}

// A POST that must not run twice.
inline dataplane::backend_call make_order(std::uint16_t port,
                                          const std::string& id = "r-1")
{
    auto call = make_call(port, id);
    call.method = "POST";
    call.headers = {{"idempotency-key", "order-1"}};
    call.body = std::make_shared<const std::string>("{\"part\": 7}");
    call.fresh_connection = true;
    return call;
}

// Runs a call to its end.
inline dataplane::call_result run_call(dataplane::backend_client& client,
                                       dataplane::backend_call call)
{
    mailbox<dataplane::call_result> results;
    client.send(std::move(call), [&](dataplane::call_result result)
                { results.put(std::move(result)); });
    return results.take();
}

} // namespace parsleyplank::test

#endif
