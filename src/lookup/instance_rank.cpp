#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/lookup/instance_rank.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>

namespace parsleyplank::lookup
{

namespace
{

// Sum of the weights in a response.
constexpr std::uint32_t weight_total = 1'000;

// An instance of a region with the values it is ranked by.
struct candidate
{
    const live_instance* instance = nullptr;
    double weight = 0;
    // Result of rendezvous_score; lower is better.
    double score = 0;
    // In thousandths.
    std::uint32_t rounded_weight = 0;
};

// Returns the weighted rendezvous hashing score of an instance for a key; lower
// is better. When there are more instances than the limit, an instance is
// selected in proportion to its weight, and the same key always selects the
// same instances.
double rendezvous_score(std::string_view key, const live_instance& instance,
                        double weight)
{
    const auto hash = rendezvous_weight(key, instance.id.value);
    const double unit =
        (static_cast<double>(hash) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return weight > 0 ? -std::log(unit) / weight
                      : std::numeric_limits<double>::infinity();
}

// Returns the customer's share in ppm, 0 if the instance holds none.
double share_of(const live_instance& instance, const customer_id& customer)
{
    const auto it = instance.customer_shares.find(customer);
    return it == instance.customer_shares.end() ? 0 : it->second.value;
}

// Multiplies the weights by the customer's shares. Leaves them unchanged if no
// instance with a weight holds a share.
void scale_by_customer_shares(std::vector<candidate>& list,
                              const customer_id& customer)
{
    if (std::ranges::none_of(
            list, [&](const candidate& v)
            { return v.weight * share_of(*v.instance, customer) > 0; }))
        return;
    std::ranges::for_each(list, [&](candidate& v)
                          { v.weight *= share_of(*v.instance, customer); });
}

// Returns up to `limit` candidates of a region in descending order of weight.
// Selects them by rendezvous score. All weigh the same if no weight is
// positive.
std::vector<candidate>
region_candidates(std::span<const live_instance> instances,
                  const rank_request& request, std::size_t limit)
{
    std::vector<candidate> list;
    list.reserve(instances.size());
    std::ranges::transform(instances, std::back_inserter(list),
                           [](const live_instance& v) {
                               return candidate{&v, std::max(v.weight, 0.0)};
                           });
    if (request.customer)
        scale_by_customer_shares(list, *request.customer);
    if (std::ranges::none_of(list,
                             [](const candidate& v) { return v.weight > 0; }))
        std::ranges::for_each(list, [](candidate& v) { v.weight = 1; });
    std::ranges::for_each(list,
                          [&](candidate& v) {
                              v.score = rendezvous_score(request.spread_key,
                                                         *v.instance, v.weight);
                          });
    std::ranges::sort(list,
                      [](const candidate& a, const candidate& b)
                      {
                          return a.score != b.score
                                     ? a.score < b.score
                                     : a.instance->id < b.instance->id;
                      });
    list.resize(std::min(list.size(), limit));
    std::ranges::stable_sort(list, std::ranges::greater(), &candidate::weight);
    return list;
}

// Rounds the weights to thousandths that sum to 1,000, with the largest
// remainder method.
void round_weights(std::vector<candidate>& list)
{
    const double sum = std::accumulate(list.begin(), list.end(), 0.0,
                                       [](double n, const candidate& v)
                                       { return n + v.weight; });
    std::uint32_t remaining = weight_total;
    std::vector<candidate*> order;
    const auto exact = [&](const candidate& v)
    {
        return v.weight / sum * weight_total;
    };
    for (candidate& v : list)
    {
        v.rounded_weight =
            std::min(static_cast<std::uint32_t>(exact(v)), remaining);
        remaining -= v.rounded_weight;
        order.push_back(&v);
    }
    std::ranges::stable_sort(order, std::ranges::greater(),
                             [&](const candidate* v)
                             { return exact(*v) - v->rounded_weight; });
    std::for_each(order.begin(),
                  order.begin() +
                      std::min<std::ptrdiff_t>(remaining, std::ssize(order)),
                  [](candidate* v) { ++v->rounded_weight; });
}

// Moves regions in which no instance has a positive weight to the end and keeps
// the order otherwise. When all instances of a region have just been replaced,
// the new ones may hold no share yet.
std::vector<region_id>
weighted_regions_first(const regional_instances& instances,
                       std::vector<region_id> regions)
{
    std::stable_partition(regions.begin(), regions.end(),
                          [&](const region_id& region)
                          {
                              const auto it = instances.find(region);
                              return it != instances.end() &&
                                     std::ranges::any_of(
                                         it->second, [](const live_instance& v)
                                         { return v.weight > 0; });
                          });
    return regions;
}

} // namespace

regional_instances group_by_region(std::span<const live_instance> instances)
{
    regional_instances groups;
    std::ranges::for_each(instances,
                          [&](const live_instance& v)
                          {
                              if (!v.leaving)
                                  groups[v.region].push_back(v);
                          });
    return groups;
}

std::vector<ranked_instance> rank_instances(const regional_instances& instances,
                                            const rank_request& request)
{
    std::vector<ranked_instance> ranked;
    std::ranges::for_each(
        weighted_regions_first(instances, request.regions),
        [&](const region_id& region)
        {
            const auto it = instances.find(region);
            if (it == instances.end() || ranked.size() >= request.limit)
                return;
            auto list = region_candidates(it->second, request,
                                          request.limit - ranked.size());
            if (ranked.empty() && !list.empty())
                round_weights(list);
            std::ranges::transform(list, std::back_inserter(ranked),
                                   [](const candidate& v)
                                   {
                                       return ranked_instance{
                                           v.instance->id, v.instance->address,
                                           v.instance->port, v.instance->region,
                                           v.rounded_weight};
                                   });
        });
    return ranked;
}

} // namespace parsleyplank::lookup
