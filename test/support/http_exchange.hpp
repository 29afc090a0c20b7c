#ifndef PARSLEYPLANK_TEST_SUPPORT_HTTP_EXCHANGE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_HTTP_EXCHANGE_HPP

// One HTTP request of a test to a server on 127.0.0.1.

#include <cstdint>
#include <string>

namespace parsleyplank::test
{

struct exchange_result
{
    int status = 0;
    std::string body;
};

// Sends the request on a connection of its own and returns the response.
// Throws std::runtime_error if there is none within 20 s.
exchange_result http_exchange(std::uint16_t port, const std::string& method,
                              const std::string& path, const std::string& body);

} // namespace parsleyplank::test

#endif
