#ifndef PARSLEYPLANK_CONFIG_IP_PREFIX_HPP
#define PARSLEYPLANK_CONFIG_IP_PREFIX_HPP

// IPv4 and IPv6 addresses and prefixes.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyplank::config
{

// An address in host byte order. An IPv4 address is the low 32 bits of low.
struct ip_address
{
    bool v6 = false;
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ip_address&) const = default;
};

struct ip_prefix
{
    ip_address first;
    unsigned length = 0;

    auto operator<=>(const ip_prefix&) const = default;
};

// Returns the address that the text holds. An IPv4 address mapped into IPv6
// ("::ffff:10.0.0.1") is returned as IPv4. Throws config_error that quotes the
// text.
ip_address parse_address(std::string_view text);

// Returns the prefix that the text holds, e.g. "10.1.0.0/16". Throws
// config_error that quotes the text if it is no prefix or has bits set beyond
// its length.
ip_prefix parse_prefix(std::string_view text);

// Returns whether the address lies in the prefix.
bool contains(const ip_prefix& prefix, const ip_address& address);

// Returns the text form, e.g. "10.1.0.0".
std::string to_string(const ip_address& address);

} // namespace parsleyplank::config

#endif
