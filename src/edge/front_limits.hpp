#ifndef PARSLEYPLANK_EDGE_FRONT_LIMITS_HPP
#define PARSLEYPLANK_EDGE_FRONT_LIMITS_HPP

// Division of the memory and the descriptors of a process among its listeners
// and the connections to backend servers. Each part is bounded, so that callers
// of one listener can't take those of another.

#include <parsleyplank/edge/descriptor_shares.hpp>
#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/proxy/front_connection.hpp>
#include <parsleyplank/proxy/upstream_call.hpp>

namespace parsleyplank::edge
{

// Maximum numbers of bytes.
struct memory_shares
{
    // Bodies of the requests of callers and of their responses.
    std::size_t bodies = 0;
    // All else that the connections of callers hold.
    std::size_t callers = 0;
    // All that connections to each of the directory, the health check and the
    // metrics hold.
    std::size_t each_service = 0;
    // All that connections of peers hold.
    std::size_t peers = 0;
};

// Divides the memory of a process, in bytes.
memory_shares share_memory(std::size_t bytes);

// What the listener for callers and the connections to servers share.
struct caller_shares
{
    std::shared_ptr<proxy::memory_budget> bodies;
    std::shared_ptr<proxy::memory_budget> callers;
    std::shared_ptr<proxy::descriptor_pool> descriptors;
};

caller_shares make_caller_shares(const settings& config);

// Returns the options of the listener for callers, without its monitor.
proxy::front_options caller_options(const settings& config,
                                    const caller_shares& limits);

// Returns the options of the directory, the health check or the metrics, with a
// memory of their own.
proxy::front_options service_options(const settings& config);

// Returns the options of the listener for peers.
proxy::front_options peer_options(const settings& config);

// Returns the options of connections to servers.
proxy::upstream_options server_options(const settings& config,
                                       const caller_shares& limits);

} // namespace parsleyplank::edge

#endif
