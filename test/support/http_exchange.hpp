#ifndef PARSLEYPLANK_TEST_SUPPORT_HTTP_EXCHANGE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_HTTP_EXCHANGE_HPP

// Sends single HTTP requests to a server under test on 127.0.0.1.

#include <cstdint>
#include <string>

namespace parsleyplank::test
{

struct exchange_result
{
    int status = 0;
    std::string body;
};

// Sends the request on a new connection and returns the response. Throws
// std::runtime_error if none is received within 20 s.
exchange_result http_exchange(std::uint16_t port, const std::string& method,
                              const std::string& path, const std::string& body);

} // namespace parsleyplank::test

#endif
