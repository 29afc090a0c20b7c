#ifndef PARSLEYPLANK_KEYS_KEYRING_HPP
#define PARSLEYPLANK_KEYS_KEYRING_HPP

// Maps API keys to customers. Only SHA-256 digests are held; the keys are
// neither stored nor printed. A lookup compares digests, so that its duration
// reveals nothing about the keys.

#include <parsleyplank/config/model.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace parsleyplank::keys
{

// The API keys of one configuration. Immutable after construction, so that any
// thread may read it without a lock.
class keyring
{
public:
    keyring() = default;

    // Takes the key digests of the bundle. Throws config_error if a digest is
    // not 64 lower-case hexadecimal digits or occurs twice.
    explicit keyring(const config::bundle& content);

    // Returns the customer of the presented key, or nullptr if the key is
    // unknown or withdrawn. The pointer is valid as long as the keyring. Throws
    // error if the digest can't be computed.
    const customer_id* find(std::string_view presented_key) const;

    // Returns the number of keys.
    std::size_t size() const;

private:
    // Customer by the digest of the key in hexadecimal digits.
    std::unordered_map<std::string, customer_id> by_digest;
};

} // namespace parsleyplank::keys

#endif
