#ifndef PARSLEYPLANK_CORE_HASH_HPP
#define PARSLEYPLANK_CORE_HASH_HPP

// Hash functions: XXH3 (not cryptographic) for placement and tables,
// SHA-256 for API keys and content-addressed values.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyplank
{

// A 128-bit hash as its upper and lower 64 bits.
struct hash128_value
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const hash128_value&) const = default;
};

// Returns the 64-bit XXH3 hash of the bytes for the seed.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns the hash as a number above 0 and at most 1.
double hash_fraction(std::uint64_t hash);

// Returns the 128-bit XXH3 hash of the bytes.
hash128_value hash128(std::string_view bytes);

// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits. Throws
// error if the digest can't be computed.
std::string sha256_hex(std::string_view bytes);

} // namespace parsleyplank

#endif
