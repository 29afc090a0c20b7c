#ifndef PARSLEYPLANK_CONFIG_CHECKER_HPP
#define PARSLEYPLANK_CONFIG_CHECKER_HPP

// Collects the problems of one bundle; used by validate only.

#include <parsleyplank/config/validate.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace parsleyplank::config
{

inline std::string quoted(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

inline bool has(const auto& list, const auto& value)
{
    return std::ranges::find(list, value) != std::ranges::end(list);
}

struct checker
{
    const bundle& content;
    std::vector<problem> found;
    std::map<region_id, const region*> regions;
    std::map<upstream_id, const upstream*> upstreams;
    std::set<customer_id> customers;

    explicit checker(const bundle& b) : content(b)
    {
        for (const auto& v : b.regions)
            regions.emplace(v.id, &v);
        for (const auto& v : b.upstreams)
            upstreams.emplace(v.id, &v);
        for (const auto& v : b.customers)
            customers.insert(v.id);
    }

    // Adds the problem if the condition does not hold.
    void need(bool condition, const std::string& item, const std::string& text)
    {
        if (!condition)
            found.push_back({item, text});
    }

    void need_region(const region_id& id, const std::string& item,
                     const std::string& role)
    {
        need(regions.contains(id), item,
             role + " " + quoted(id.value) +
                 " is not a region of the fleet file; add it or correct the "
                 "name");
    }

    void need_customer(const customer_id& id, const std::string& item)
    {
        need(customers.contains(id), item,
             "customer " + quoted(id.value) +
                 " is not in the fleet file; add it or correct the name");
    }

    // Adds a problem for each id that occurs more than once, and for empty ids.
    void need_unique(const auto& list, auto id, std::string_view kind)
    {
        std::map<std::string, int> counts;
        for (const auto& v : list)
            ++counts[id(v)];
        for (const auto& [name, n] : counts)
        {
            need(n == 1, item_name(kind, name),
                 "is given " + std::to_string(n) +
                     " times; keep one or rename the others");
            need(!name.empty(), item_name(kind, name),
                 "has an empty id; name it");
        }
    }
};

// Checks upstreams, routes and rollouts; the rest is checked in validate.cpp.
void check_services(checker& to);

} // namespace parsleyplank::config

#endif
