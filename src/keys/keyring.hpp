#ifndef PARSLEYPLANK_KEYS_KEYRING_HPP
#define PARSLEYPLANK_KEYS_KEYRING_HPP

// Which customer an API key belongs to. Holds digests only; keys are neither
// stored nor printed. A look-up compares SHA-256 digests, so its duration tells
// a caller nothing about the keys.

#include <parsleyplank/config/model.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace parsleyplank::keys
{

// Immutable after construction; any thread may read it.
class keyring
{
public:
    keyring() = default;

    // Throws config_error if a digest is not 64 lower-case hexadecimal digits
    // or occurs twice.
    explicit keyring(const config::bundle& content);

    // Returns the customer of the presented key, or nullptr if the key is not
    // in force. Valid as long as the keyring.
    const customer_id* find(std::string_view presented_key) const;

    std::size_t size() const;

private:
    std::unordered_map<std::string, customer_id> by_digest;
};

} // namespace parsleyplank::keys

#endif
