#include <parsleyplank/entry/lookup_instances.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

// A new instance is given its share in several donations, one per holder and
// second; the first ones may come to less than a slot of an upstream.
void keep_back_small_shares(std::vector<lookup::live_instance>& instances)
{
    const double even = double(ppm_total) / double(instances.size());
    std::ranges::for_each(instances,
                          [&](lookup::live_instance& it)
                          {
                              if (it.weight < even / 2)
                                  it.weight = 0;
                          });
}

} // namespace

std::vector<lookup::live_instance>
lookup_instances(lookup::live_instance self, incarnation life,
                 const membership::member_table& members,
                 const quota::share_table& shares, time_point now)
{
    const auto weight_of = [&](const instance_id& id, incarnation of)
    {
        return static_cast<double>(quota::usable_share(shares, {id, of}).value);
    };
    self.weight = weight_of(self.id, life);
    std::vector<lookup::live_instance> instances{std::move(self)};
    std::ranges::for_each(members.members,
                          [&](const auto& it)
                          {
                              const auto& info = it.second.info;
                              if (!membership::usable(members, info.id, now))
                                  return;
                              lookup::live_instance live{info.id, info.region,
                                                         info.address,
                                                         info.caller_port};
                              live.weight = weight_of(info.id, info.life);
                              instances.push_back(std::move(live));
                          });
    keep_back_small_shares(instances);
    return instances;
}

} // namespace parsleyplank::entry
