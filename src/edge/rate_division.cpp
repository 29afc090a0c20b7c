#include <parsleyplank/edge/rate_division.hpp>

#include <set>

namespace parsleyplank::edge
{

namespace
{

// Returns the demand for the key, 0 if there is none.
template <typename Key>
double demand_of(const std::unordered_map<Key, double>& demands, const Key& key)
{
    const auto it = demands.find(key);
    return it == demands.end() ? 0 : it->second;
}

// Returns the share of this region in a customer's rate. A region takes part if
// it has a live member, or a peer that reports a demand.
steering::customer_share
region_share(const steering::traffic_customer& customer,
             const std::set<region_id>& live_regions,
             const peer_demand_sums& peers, const division_inputs& inputs)
{
    const auto number = customer_number(customer.id);
    auto own = demand_of(inputs.own_demands, customer.id);
    steering::demand_sum others;
    others.reporting = live_regions.size();
    for (const auto& [region, demands] : peers.by_region)
    {
        if (region == inputs.region)
            own += demand_of(demands, number);
        else
        {
            others.demand += demand_of(demands, number);
            if (demands.contains(number) && !live_regions.contains(region))
                ++others.reporting;
        }
    }
    return steering::divide_rate(customer.rate, customer.burst, own, others);
}

} // namespace

peer_demand_sums sum_demands(const fleet_view& fleet,
                             const fleet_options& options, time_point now)
{
    peer_demand_sums sums;
    for (const auto& [id, peer] : fleet.peers)
    {
        if (!is_responsive(peer, options, now))
        {
            ++sums.silent;
            continue;
        }
        ++sums.responsive;
        auto& region = sums.by_region[peer.record.region];
        for (const auto& it : peer.digest.demands)
        {
            sums.total[it.customer] += it.per_second;
            region[it.customer] += it.per_second;
        }
    }
    return sums;
}

void divide_rates(steering_snapshot& snapshot, const peer_demand_sums& peers,
                  const division_inputs& inputs)
{
    std::set<region_id> other_regions;
    for (const auto& it : snapshot.members)
        if (it.region != inputs.region)
            other_regions.insert(it.region);
    const auto members =
        static_cast<double>(peers.responsive + peers.silent) + 1;
    for (const auto& customer : snapshot.routing->config->customers)
    {
        if (customer.rate.value <= 0)
            continue;
        const steering::demand_sum others{
            demand_of(peers.total, customer_number(customer.id)),
            peers.responsive, peers.silent};
        snapshot.shares[customer.id] = steering::divide_rate(
            customer.rate, customer.burst,
            demand_of(inputs.own_demands, customer.id), others);
        if (customer.rate.value < inputs.min_divided_rate.value * members)
            snapshot.region_shares[customer.id] =
                region_share(customer, other_regions, peers, inputs);
    }
}

} // namespace parsleyplank::edge
