#include <parsleyplank/edge/descriptor_shares.hpp>

#include <sys/resource.h>

#include <algorithm>

namespace parsleyplank::edge
{

namespace
{

// Descriptors for the store, the peers, the log and open files.
constexpr std::size_t reserved = 256;
// Divisor of a number of callers that gives those that are refused beyond it.
constexpr std::size_t refused_part = 16;
// Listeners for the directory, the health check and the metrics.
constexpr std::size_t services = 3;
// Limit that is assumed if the system sets none or does not tell it.
constexpr std::size_t default_limit = 1'024;
// Limit beyond which more connections would not fit into memory.
constexpr std::size_t largest_limit = 65'536;

} // namespace

descriptor_shares share_descriptors(std::size_t limit)
{
    const auto usable = std::max<std::size_t>(
        {limit > reserved ? limit - reserved : 0, limit / 2, 1});
    const auto with_refused = [](std::size_t n)
    {
        return n + 1 + n / refused_part;
    };
    const auto callers = usable * 5 / 8;
    const auto each_service = 1 + usable / 64;
    const auto peers = 1 + usable / 16;
    const auto others = with_refused(callers) +
                        services * with_refused(each_service) +
                        with_refused(peers);
    const auto servers = usable > others + 1 ? usable - others : 1;
    return {callers, each_service, peers, servers,
            std::min(servers, 1 + usable / 8)};
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
