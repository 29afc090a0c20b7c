#include <parsleyplank/claims/message.hpp>
#include <parsleyplank/core/rendezvous.hpp>

namespace parsleyplank::claims
{

hash128_value key_hash(const customer_id& customer, const route_id& route,
                       std::string_view key)
{
    // Encoded with lengths, so that different triples never have equal bytes.
    return hash128(pack_value(std::vector<std::string>{
        customer.value, route.value, std::string(key)}));
}

std::uint32_t bucket_of(const hash128_value& key, std::uint32_t buckets)
{
    if (buckets == 0)
        throw error("claim_buckets must be at least 1");
    return static_cast<std::uint32_t>(key.high % buckets);
}

std::uint32_t bucket_of(const customer_id& customer, const route_id& route,
                        std::string_view key, std::uint32_t buckets)
{
    return bucket_of(key_hash(customer, route, key), buckets);
}

const instance_id* writer_of(std::uint32_t bucket,
                             std::span<const instance_id> live)
{
    return rendezvous_first("claims/" + std::to_string(bucket), live);
}

} // namespace parsleyplank::claims
