#include <parsleyplank/core/ip_address.hpp>

#include <arpa/inet.h>

#include <array>

namespace parsleyplank
{

bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(AF_INET, text.c_str(), buf.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buf.data()) == 1;
}

} // namespace parsleyplank
