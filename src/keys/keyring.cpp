#include <parsleyplank/config/validate.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/keys/keyring.hpp>

#include <algorithm>

namespace parsleyplank::keys
{

keyring::keyring(const config::bundle& content)
{
    constexpr std::size_t digest_length = 64;
    by_digest.reserve(content.keys.size());
    std::ranges::for_each(
        content.keys,
        [&](const config::api_key& key)
        {
            if (key.digest.size() != digest_length ||
                key.digest.find_first_not_of("0123456789abcdef") !=
                    std::string::npos)
                throw config_error(config::key_name(key.digest) +
                                   " of customer \"" + key.customer.value +
                                   "\" is not 64 lower-case hexadecimal "
                                   "digits");
            if (!by_digest.emplace(key.digest, key.customer).second)
                throw config_error(config::key_name(key.digest) +
                                   " is given twice");
        });
}

const customer_id* keyring::find(std::string_view presented_key) const
{
    const auto it = by_digest.find(sha256_hex(presented_key));
    return it == by_digest.end() ? nullptr : &it->second;
}

std::size_t keyring::size() const
{
    return by_digest.size();
}

} // namespace parsleyplank::keys
