#include <parsleyplank/edge/descriptor_shares.hpp>

#include <sys/resource.h>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

// Descriptors for the store, the peers, the log and open files.
constexpr std::size_t reserved = 256;
// Limit that is assumed if the system sets none or does not tell it.
constexpr std::size_t default_limit = 1'024;
// Limit beyond which more connections would not fit into memory.
constexpr std::size_t largest_limit = 65'536;

} // namespace

descriptor_shares share_descriptors(std::size_t limit)
{
    const auto usable = std::max<std::size_t>(
        {limit > reserved ? limit - reserved : 0, limit / 2, 1});
    // The rest is for connections to servers that carry requests, and for
    // callers that are refused.
    return {usable * 5 / 8, 1 + usable / 64, 1 + usable / 8};
}

std::size_t system_descriptor_limit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY)
        return default_limit;
    return std::min<std::size_t>(limit.rlim_cur, largest_limit);
}

} // namespace parsleyplank::edge
