#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/hash.hpp>

#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <span>

namespace parsleyplank
{

namespace
{

// Returns the bytes as lower-case hexadecimal digits.
std::string to_hex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    std::ranges::for_each(bytes,
                          [&](unsigned char byte)
                          {
                              text.push_back(digits[byte >> 4U]);
                              text.push_back(digits[byte & 0xFU]);
                          });
    return text;
}

} // namespace

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double hash_fraction(std::uint64_t hash)
{
    constexpr double range = 18446744073709551616.0;
    return (static_cast<double>(hash) + 1) / range;
}

hash128_value hash128(std::string_view bytes)
{
    const auto hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.high64, hash.low64};
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &n, EVP_sha256(),
                   nullptr) != 1)
        throw error("SHA-256 is not available in the OpenSSL library");
    return to_hex(std::span(digest).first(n));
}

} // namespace parsleyplank
