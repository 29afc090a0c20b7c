#ifndef PARSLEYPLANK_PROXY_DESCRIPTOR_POOL_HPP
#define PARSLEYPLANK_PROXY_DESCRIPTOR_POOL_HPP

// Descriptors that the connections of callers and those to backend servers
// share. Not thread-safe: used by the traffic thread only.

#include <cstddef>
#include <limits>

namespace parsleyplank::proxy
{

struct descriptor_pool
{
    // Parts of callers and of connections to servers.
    std::size_t callers_part = std::numeric_limits<std::size_t>::max();
    std::size_t servers_part = std::numeric_limits<std::size_t>::max();
    // Open connections.
    std::size_t callers = 0;
    std::size_t servers = 0;
};

// Returns how many connections of callers may be open: their part without what
// connections to servers have taken of it.
std::size_t callers_limit(const descriptor_pool& pool);

// Returns whether one more connection to a server may be opened: within their
// part, or within what callers do not use of theirs.
bool may_open_server(const descriptor_pool& pool);

} // namespace parsleyplank::proxy

#endif
