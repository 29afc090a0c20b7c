#ifndef PARSLEYPLANK_LOOKUP_INSTANCE_RANK_HPP
#define PARSLEYPLANK_LOOKUP_INSTANCE_RANK_HPP

// Which entry instances a caller should use, in order, with weights.

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

// An instance as the membership and quota libraries see it.
struct live_instance
{
    instance_id id;
    region_id region;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;
    // Relative; 0 means only when others fail.
    double weight = 1;
    // Share of a customer's rate that the instance holds.
    std::map<customer_id, share_ppm> customer_shares;
};

// Instances by region, so that a request looks at few regions only.
using regional_instances = std::map<region_id, std::vector<live_instance>>;

// Returns the instances by region. Leaves out those that are leaving.
regional_instances group_by_region(std::span<const live_instance> instances);

struct ranked_instance
{
    instance_id id;
    std::string address;
    std::uint16_t port = 0;
    region_id region;
    // Thousandths of the caller's requests; 0 means only when others fail.
    std::uint32_t weight = 0;

    bool operator==(const ranked_instance&) const = default;
};

struct rank_request
{
    // Regions in order of preference, the caller's own first.
    std::vector<region_id> regions;
    // Prefers instances that hold a share of this customer's rate.
    std::optional<customer_id> customer;
    // Spreads callers over instances where there are more than the limit, e.g.
    // the client address.
    std::string_view spread_key;
    std::size_t limit = 10;
};

// Returns up to request.limit instances that are not leaving: those of the
// first region that has any with a weight, whose weights sum to 1,000, then
// those of the other regions in order with weight 0. Within a region by falling
// weight. Empty if there is none.
std::vector<ranked_instance> rank_instances(const regional_instances& instances,
                                            const rank_request& request);

} // namespace parsleyplank::lookup

#endif
