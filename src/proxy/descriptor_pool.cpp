#include <parsleyplank/proxy/descriptor_pool.hpp>

#include <algorithm>

namespace parsleyplank::proxy
{

std::size_t callers_limit(const descriptor_pool& pool)
{
    const auto taken = pool.servers - std::min(pool.servers, pool.servers_part);
    return pool.callers_part - std::min(pool.callers_part, taken);
}

bool may_open_server(const descriptor_pool& pool)
{
    return pool.servers < pool.servers_part ||
           pool.servers - pool.servers_part <
               pool.callers_part - std::min(pool.callers_part, pool.callers);
}

} // namespace parsleyplank::proxy
