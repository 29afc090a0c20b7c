#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/steering/cold_share.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace parsleyplank::steering
{

token_rate cold_rate(const backend_server& server, const instance_id& self,
                     std::span<const fleet_member> members, double rate)
{
    std::vector<fleet_member> order(members.begin(), members.end());
    const auto n = std::min(order.size(), max_warming_instances);
    std::ranges::partial_sort(
        order, order.begin() + static_cast<std::ptrdiff_t>(n), {},
        [&](const fleet_member& it)
        {
            return std::tuple(it.domain != server.domain,
                              it.region != server.region,
                              ~rendezvous_weight(server.id.value, it.id.value));
        });
    order.resize(n);
    const bool chosen =
        std::ranges::find(order, self, &fleet_member::id) != order.end();
    return token_rate(chosen ? rate / static_cast<double>(n) : 0);
}

} // namespace parsleyplank::steering
