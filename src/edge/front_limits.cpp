#include <parsleyplank/edge/front_limits.hpp>

#include <utility>

namespace parsleyplank::edge
{

namespace
{

constexpr std::size_t bytes_per_mb = 1'000'000;
// Divisors of the memory of the process. The rest is for the program, for what
// it reads from the store and for what the allocator can't use.
constexpr std::size_t body_divisor = 4;
constexpr std::size_t caller_divisor = 4;
constexpr std::size_t service_divisor = 64;
constexpr std::size_t peer_divisor = 32;

memory_shares shares_of(const settings& config)
{
    return share_memory(static_cast<std::size_t>(config.memory_mb) *
                        bytes_per_mb);
}

descriptor_shares descriptors_of(const settings& config)
{
    return share_descriptors(
        config.max_descriptors > 0
            ? static_cast<std::size_t>(config.max_descriptors)
            : system_descriptor_limit());
}

// Returns the options of a listener whose bodies have no memory of their own.
proxy::front_options make_options(std::size_t bytes, std::size_t connections)
{
    proxy::front_options options;
    options.memory = std::make_shared<proxy::memory_budget>(bytes);
    options.bodies = options.memory;
    options.max_connections = connections;
    return options;
}

} // namespace

memory_shares share_memory(std::size_t bytes)
{
    return {bytes / body_divisor, bytes / caller_divisor,
            bytes / service_divisor, bytes / peer_divisor};
}

caller_shares make_caller_shares(const settings& config)
{
    const auto memory = shares_of(config);
    const auto descriptors = descriptors_of(config);
    proxy::descriptor_pool pool;
    pool.callers_part = descriptors.callers;
    pool.servers_part = descriptors.servers;
    return {std::make_shared<proxy::memory_budget>(memory.bodies),
            std::make_shared<proxy::memory_budget>(memory.callers),
            std::make_shared<proxy::descriptor_pool>(pool)};
}

proxy::front_options caller_options(const settings& config,
                                    const caller_shares& limits)
{
    proxy::front_options options;
    options.bodies = limits.bodies;
    options.memory = limits.callers;
    options.descriptors = limits.descriptors;
    options.max_connections = descriptors_of(config).callers;
    return options;
}

proxy::front_options service_options(const settings& config)
{
    return make_options(shares_of(config).each_service,
                        descriptors_of(config).each_service);
}

proxy::front_options peer_options(const settings& config)
{
    return make_options(shares_of(config).peers, descriptors_of(config).peers);
}

proxy::upstream_options server_options(const settings& config,
                                       const caller_shares& limits)
{
    proxy::upstream_options options;
    options.bodies = limits.bodies;
    options.descriptors = limits.descriptors;
    options.idle_total = descriptors_of(config).idle_servers;
    return options;
}

} // namespace parsleyplank::edge
