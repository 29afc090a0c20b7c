#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/steering/rate_share.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace parsleyplank::steering
{

namespace
{

// Rate at which a server with a lower limit is tried, so that the end of the
// limit is noticed.
constexpr token_rate min_limit{0.25};
// Limit beyond which the number of instances that send does not grow.
constexpr token_rate max_limit{1'000};
// Number of instances that send to a server with a very low limit. More than
// one, so that the failure of one does not leave the server idle.
constexpr double min_senders = 2;
// Time without a response of the server after which further instances send.
constexpr std::chrono::duration<double> max_silence = std::chrono::seconds(8);

// The instances that send to a server, and the position of one among them.
struct sender_position
{
    std::size_t ahead = 0;
    std::size_t senders = 0;
};

// Returns the position of this instance among those that send to the server;
// nullopt if others do. The members may include this instance.
std::optional<sender_position>
find_position(const backend_server& server, const fleet_member& self,
              std::span<const fleet_member> members, std::size_t max_senders)
{
    const auto rank = [&](const fleet_member& it)
    {
        return std::tuple(it.domain != server.domain,
                          it.region != server.region,
                          ~rendezvous_weight(server.id.value, it.id.value));
    };
    const auto own_rank = rank(self);
    std::size_t others = 0;
    std::size_t ahead = 0;
    for (const auto& it : members)
    {
        if (it.id == self.id)
            continue;
        ++others;
        ahead += rank(it) < own_rank ? 1 : 0;
    }
    if (ahead >= max_senders)
        return std::nullopt;
    return sender_position{ahead, std::min(others + 1, max_senders)};
}

} // namespace

token_rate cold_rate(const backend_server& server, const instance_id& self,
                     std::span<const fleet_member> members, double rate)
{
    const auto it = std::ranges::find(members, self, &fleet_member::id);
    if (it == members.end())
        return {};
    const auto position =
        find_position(server, *it, members, max_warming_instances);
    return token_rate(position ? rate / static_cast<double>(position->senders)
                               : 0);
}

limit_share divide_limit(const backend_server& server,
                         const server_limit& limit, const fleet_member& self,
                         std::span<const fleet_member> claimants,
                         time_point now)
{
    const auto rate = std::max(limit.rate, min_limit);
    const auto bounded = std::min(rate, max_limit).value;
    const std::chrono::duration<double> silence = now - limit.heard;
    const auto usual = min_senders + std::floor(bounded);
    const auto further =
        std::floor(std::max(0.0, (silence - max_silence).count()) * bounded);
    const auto position = find_position(
        server, self, claimants, static_cast<std::size_t>(usual + further));
    if (!position)
        return {};
    const auto senders = static_cast<double>(position->senders);
    const auto ahead = static_cast<double>(position->ahead);
    return {rate * (1 / senders), tokens(std::max(1.0, usual / senders)),
            tokens(1 - (ahead + 1) / senders)};
}

} // namespace parsleyplank::steering
