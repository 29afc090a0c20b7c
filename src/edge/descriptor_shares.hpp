#ifndef PARSLEYPLANK_EDGE_DESCRIPTOR_SHARES_HPP
#define PARSLEYPLANK_EDGE_DESCRIPTOR_SHARES_HPP

// Division of the descriptors of a process among its uses. Each use is bounded,
// so that callers who keep connections open can't take those that their own
// requests need to reach a server, or that the health check needs.

#include <cstddef>

namespace parsleyplank::edge
{

// Maximum numbers of connections.
struct descriptor_shares
{
    // Connections of callers.
    std::size_t callers = 0;
    // Connections to each of the directory, the health check and the metrics.
    std::size_t each_service = 0;
    // Connections of peers that relay changes of the store.
    std::size_t peers = 0;
    // Connections to backend servers. What callers do not use is added.
    std::size_t servers = 0;
    // Idle connections to backend servers.
    std::size_t idle_servers = 0;
};

// Divides the number of descriptors that the process may open.
descriptor_shares share_descriptors(std::size_t limit);

// Returns the number of descriptors that the system lets this process open.
std::size_t system_descriptor_limit();

} // namespace parsleyplank::edge

#endif
