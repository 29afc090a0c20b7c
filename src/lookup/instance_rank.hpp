#ifndef PARSLEYPLANK_LOOKUP_INSTANCE_RANK_HPP
#define PARSLEYPLANK_LOOKUP_INSTANCE_RANK_HPP

// Ranks the entry instances that a caller should use and assigns their weights.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::lookup
{

// An instance with its state from the membership and quota libraries.
struct live_instance
{
    instance_id id;
    region_id region;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;
    // Relative to other instances. 0 means that the instance is used only if
    // others fail.
    double weight = 1;
    // Shares of the customers' rates that the instance holds.
    std::map<customer_id, share_ppm> customer_shares;
};

// Instances grouped by region, so that a request examines only a few regions.
using regional_instances = std::map<region_id, std::vector<live_instance>>;

// Groups the instances by region. Omits those that are leaving.
regional_instances group_by_region(std::span<const live_instance> instances);

// An entry of the ranking, with what a caller needs to connect.
struct ranked_instance
{
    instance_id id;
    std::string address;
    std::uint16_t port = 0;
    region_id region;
    // Thousandths of the caller's requests. 0 means that the instance is used
    // only if others fail.
    std::uint32_t weight = 0;

    bool operator==(const ranked_instance&) const = default;
};

// Parameters of rank_instances.
struct rank_request
{
    // Regions in order of preference, the caller's own first.
    std::vector<region_id> regions;
    // If set, instances that hold a share of this customer's rate are
    // preferred.
    std::optional<customer_id> customer;
    // Hash key, such as the client address, that distributes callers over the
    // instances when there are more of them than the limit.
    std::string_view spread_key;
    // Maximum number of instances to return.
    std::size_t limit = 10;
};

// Returns up to request.limit instances. The first region with an instance of
// positive weight comes first, and the weights of its instances sum to 1,000;
// if there is no such region, the first one with any instance does. Instances
// of the other regions follow with weight 0. Within a region, instances are in
// descending order of weight. Returns an empty list if no requested region has
// an instance.
std::vector<ranked_instance> rank_instances(const regional_instances& instances,
                                            const rank_request& request);

} // namespace parsleyplank::lookup

#endif
