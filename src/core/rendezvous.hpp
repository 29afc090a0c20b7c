#ifndef PARSLEYPLANK_CORE_RENDEZVOUS_HPP
#define PARSLEYPLANK_CORE_RENDEZVOUS_HPP

// Rendezvous (highest random weight) hashing: assigns keys to members so that
// adding or removing a member moves only the keys assigned to that member.

#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace parsleyplank
{

// Returns the weight of a member for a key, which is the same on every
// instance.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

// Returns the members by descending weight for the key; ties are ordered by id.
std::vector<instance_id> rendezvous_order(std::string_view key,
                                          std::span<const instance_id> members);

// Returns the member with the highest weight for the key, or nullptr if there
// are no members. The pointer points into members.
const instance_id* rendezvous_first(std::string_view key,
                                    std::span<const instance_id> members);

} // namespace parsleyplank

#endif
