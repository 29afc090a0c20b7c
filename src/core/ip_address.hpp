#ifndef PARSLEYPLANK_CORE_IP_ADDRESS_HPP
#define PARSLEYPLANK_CORE_IP_ADDRESS_HPP

// Addresses of the Internet Protocol in text form.

#include <string>

namespace parsleyplank
{

// Returns whether the text is an IPv4 or IPv6 address, without a port.
bool is_ip_address(const std::string& text);

} // namespace parsleyplank

#endif
