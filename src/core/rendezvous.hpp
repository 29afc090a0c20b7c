#ifndef PARSLEYPLANK_CORE_RENDEZVOUS_HPP
#define PARSLEYPLANK_CORE_RENDEZVOUS_HPP

// Rendezvous (highest random weight) hashing: spreads work over members so that
// a member that comes or goes moves only its own part.

#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace parsleyplank
{

// Returns the weight of a member for a key. The same on every instance.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

// Returns the members by falling weight for the key; ties by id.
std::vector<instance_id> rendezvous_order(std::string_view key,
                                          std::span<const instance_id> members);

// Returns the member of the highest weight, or nullptr if there is none.
const instance_id* rendezvous_first(std::string_view key,
                                    std::span<const instance_id> members);

} // namespace parsleyplank

#endif
