#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank
{

namespace
{

// Returns the sort key of a member: descending weight, then id, so that the
// order of members with equal weights does not depend on the caller's input.
auto rank(std::string_view key, const instance_id& id)
{
    return std::pair(~rendezvous_weight(key, id.value), id.value);
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member)
{
    return hash64(member, hash64(key));
}

std::vector<instance_id> rendezvous_order(std::string_view key,
                                          std::span<const instance_id> members)
{
    std::vector<instance_id> order(members.begin(), members.end());
    std::ranges::sort(order, {},
                      [&](const instance_id& id) { return rank(key, id); });
    return order;
}

const instance_id* rendezvous_first(std::string_view key,
                                    std::span<const instance_id> members)
{
    const auto it = std::ranges::min_element(
        members, {}, [&](const instance_id& id) { return rank(key, id); });
    return it == members.end() ? nullptr : &*it;
}

} // namespace parsleyplank
