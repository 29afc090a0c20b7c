#include <parsleyplank/steering/directory.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::steering
{

std::vector<server_endpoint>
choose_instances(std::span<const directory_instance> live,
                 const failure_domain_id& domain, const region_id& region)
{
    std::vector<server_endpoint> found;
    const auto collect = [&](auto matches)
    {
        for (const auto& it : live)
            if (found.size() < max_addresses && matches(it))
                found.push_back(it.caller_endpoint);
        return !found.empty();
    };
    if (!collect([&](const directory_instance& it)
                 { return it.domain == domain; }) &&
        !collect([&](const directory_instance& it)
                 { return it.region == region; }))
        collect([](const directory_instance&) { return true; });
    return found;
}

} // namespace parsleyplank::steering
