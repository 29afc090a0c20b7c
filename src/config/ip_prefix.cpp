#include <parsleyplank/config/ip_prefix.hpp>
#include <parsleyplank/core/error.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace parsleyplank::config
{

namespace
{

constexpr unsigned v4_bits = 32;
constexpr unsigned v6_bits = 128;
constexpr unsigned half_bits = 64;

std::uint64_t big_endian(std::span<const unsigned char> bytes)
{
    std::uint64_t n = 0;
    std::ranges::for_each(bytes,
                          [&](unsigned char byte) { n = (n << 8U) | byte; });
    return n;
}

// Returns a mask of the lowest n of 64 bits.
std::uint64_t low_bits(unsigned n)
{
    return n >= half_bits ? ~std::uint64_t{0} : (std::uint64_t{1} << n) - 1;
}

// Returns the number of bits of an address that the prefix leaves open, at most
// those of the high and of the low half.
unsigned open_high(const ip_prefix& prefix)
{
    if (!prefix.first.v6)
        return 0;
    return prefix.length < half_bits ? half_bits - prefix.length : 0;
}

unsigned open_low(const ip_prefix& prefix)
{
    const unsigned all = prefix.first.v6 ? v6_bits : v4_bits;
    return std::min(all - prefix.length, half_bits);
}

} // namespace

ip_address parse_address(std::string_view text)
{
    // A zero byte would hide what follows it from inet_pton.
    const std::string copy(text.substr(0, text.find('\0')));
    if (copy.size() != text.size())
        throw config_error("\"" + copy + "\" is followed by a zero byte");
    std::array<unsigned char, 16> buf{};
    if (inet_pton(AF_INET, copy.c_str(), buf.data()) == 1)
        return {false, 0, big_endian(std::span(buf).first(4))};
    if (inet_pton(AF_INET6, copy.c_str(), buf.data()) != 1)
        throw config_error("\"" + copy +
                           "\" is not an IP address; write e.g. 10.0.0.1 or "
                           "2001:db8::1");
    const auto high = big_endian(std::span(buf).first(8));
    const auto low = big_endian(std::span(buf).last(8));
    if (high == 0 && low >> v4_bits == 0xFFFF)
        return {false, 0, low & low_bits(v4_bits)};
    return {true, high, low};
}

ip_prefix parse_prefix(std::string_view text)
{
    const std::string quoted = "\"" + std::string(text) + "\"";
    const auto slash = text.find('/');
    if (slash == text.npos)
        throw config_error(quoted +
                           " has no prefix length; write e.g. 10.1.0.0/16");
    ip_prefix prefix{parse_address(text.substr(0, slash)), 0};
    const auto digits = text.substr(slash + 1);
    const auto* const end = digits.data() + digits.size();
    const auto [it, ec] = std::from_chars(digits.data(), end, prefix.length);
    const unsigned bits = prefix.first.v6 ? v6_bits : v4_bits;
    if (ec != std::errc() || it != end || prefix.length > bits)
        throw config_error(quoted + " needs a prefix length from 0 to " +
                           std::to_string(bits));
    if ((prefix.first.high & low_bits(open_high(prefix))) != 0 ||
        (prefix.first.low & low_bits(open_low(prefix))) != 0)
        throw config_error(quoted + " has address bits set beyond the prefix "
                                    "length; clear them or raise the length");
    return prefix;
}

bool contains(const ip_prefix& prefix, const ip_address& address)
{
    return prefix.first.v6 == address.v6 &&
           (address.high & ~low_bits(open_high(prefix))) == prefix.first.high &&
           (address.low & ~low_bits(open_low(prefix))) == prefix.first.low;
}

std::string to_string(const ip_address& address)
{
    std::array<unsigned char, 16> buf{};
    const auto store = [&](std::uint64_t n, std::size_t at, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            buf[at + i] =
                static_cast<unsigned char>(n >> (8U * (count - 1 - i)));
    };
    if (address.v6)
    {
        store(address.high, 0, 8);
        store(address.low, 8, 8);
    }
    else
        store(address.low, 0, 4);
    std::array<char, INET6_ADDRSTRLEN> text{};
    inet_ntop(address.v6 ? AF_INET6 : AF_INET, buf.data(), text.data(),
              text.size());
    return text.data();
}

} // namespace parsleyplank::config
