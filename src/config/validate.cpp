#include <parsleyplank/config/checker.hpp>
#include <parsleyplank/config/ip_prefix.hpp>
#include <parsleyplank/core/error.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <utility>

namespace parsleyplank::config
{

namespace
{

constexpr std::uint32_t max_claim_buckets = 4'096;

bool is_amount(double n)
{
    return std::isfinite(n) && n >= 0;
}

void check_fleet(checker& to)
{
    const fleet& v = to.content.settings;
    const std::string item = "fleet";
    to.need(!v.name.empty(), item, "name is empty; name the deployment");
    to.need(!to.content.regions.empty(), item,
            "has no region; add a [[region]] table");
    to.need_region(v.store_region, item, "store_region");
    to.need_region(v.default_region, item, "default_region");
    const auto positive = [&](auto duration, const std::string& name)
    {
        to.need(duration.count() > 0, item, name + " must be above 0");
    };
    positive(v.freshness_bound, "freshness_bound_ms");
    positive(v.list_bound, "list_bound_ms");
    positive(v.lookup_ttl, "lookup_ttl_ms");
    positive(v.claim_wait, "claim_wait_ms");
    positive(v.claim_retention, "claim_retention_s");
    positive(v.shift_interval, "shift_interval_s");
    to.need(v.borrow_wait.count() >= 0, item,
            "borrow_wait_ms must not be below 0");
    to.need(v.claim_buckets > 0 && v.claim_buckets <= max_claim_buckets, item,
            "claim_buckets must be from 1 to " +
                std::to_string(max_claim_buckets));
    to.need(std::isfinite(v.claim_write_rate) && v.claim_write_rate > 0, item,
            "claim_writes_per_s must be above 0");
    to.need(v.shift_cap.value > 0 && v.shift_cap.value <= ppm_total, item,
            "shift_cap_percent must be above 0 and at most 100");
}

void check_regions(checker& to)
{
    to.need_unique(
        to.content.regions, [](const region& v) { return v.id.value; },
        "region");
    for (const region& v : to.content.regions)
    {
        const auto item = item_name("region", v.id.value);
        to.need(!v.domains.empty(), item,
                "has no failure domain; add failure_domains = [...]");
        const std::set<failure_domain_id> domains(v.domains.begin(),
                                                  v.domains.end());
        to.need(domains.size() == v.domains.size(), item,
                "lists a failure domain twice; remove one");
        const std::set<region_id> fallbacks(v.fallbacks.begin(),
                                            v.fallbacks.end());
        to.need(fallbacks.size() == v.fallbacks.size(), item,
                "lists a fallback twice; remove one");
        for (const region_id& id : v.fallbacks)
            to.need_region(id, item, "fallback");
        to.need(!fallbacks.contains(v.id), item,
                "is its own fallback; remove it from fallbacks");
    }
}

void check_links(checker& to)
{
    to.need_unique(
        to.content.links,
        [](const link& v)
        { return std::min(v.a, v.b).value + " - " + std::max(v.a, v.b).value; },
        "link");
    for (const link& v : to.content.links)
    {
        const auto item = item_name("link", std::min(v.a, v.b).value + " - " +
                                                std::max(v.a, v.b).value);
        to.need_region(v.a, item, "end");
        to.need_region(v.b, item, "end");
        to.need(v.a != v.b, item, "joins a region with itself; remove it");
        to.need(std::isfinite(v.capacity.value) && v.capacity.value > 0, item,
                "capacity_mbit_s must be above 0");
    }
}

void check_customers(checker& to)
{
    to.need_unique(
        to.content.customers, [](const customer& v) { return v.id.value; },
        "customer");
    for (const customer& v : to.content.customers)
    {
        const auto item = item_name("customer", v.id.value);
        to.need(is_amount(v.rate.value), item,
                "rate_per_s must not be below 0; 0 refuses all requests");
        to.need(is_amount(v.burst.value), item, "burst must not be below 0");
        to.need(std::isfinite(v.weight) && v.weight > 0, item,
                "weight must be above 0");
    }
}

void check_keys(checker& to)
{
    std::map<std::string, std::set<customer_id>> holders;
    std::map<std::string, int> counts;
    for (const api_key& v : to.content.keys)
    {
        const auto item = key_name(v.digest);
        constexpr std::size_t digits = 64;
        to.need(v.digest.size() == digits &&
                    v.digest.find_first_not_of("0123456789abcdef") ==
                        std::string::npos,
                item,
                "sha256 must be 64 lower-case hexadecimal digits, has " +
                    std::to_string(v.digest.size()) +
                    " characters; write the digest that sha256sum prints, "
                    "never the key");
        to.need_customer(v.customer, item);
        holders[v.digest].insert(v.customer);
        ++counts[v.digest];
    }
    for (const auto& [digest, n] : counts)
    {
        std::string names;
        for (const auto& id : holders[digest])
            names += (names.empty() ? "" : ", ") + quoted(id.value);
        to.need(n == 1, key_name(digest),
                "is given " + std::to_string(n) + " times, for customer " +
                    names + "; issue each customer a key of its own");
    }
}

// Checks that no prefix is given twice and that nested ones go to different
// regions. A nested block for another region is an exception to the outer one;
// one for the same region is redundant, and often a typing error.
void check_nesting(checker& to,
                   std::vector<std::pair<ip_prefix, std::size_t>>& prefixes)
{
    const auto& blocks = to.content.client_blocks;
    std::ranges::sort(prefixes);
    std::vector<std::pair<ip_prefix, std::size_t>> outer;
    for (const auto& [prefix, at] : prefixes)
    {
        while (!outer.empty() && !contains(outer.back().first, prefix.first))
            outer.pop_back();
        const auto item = item_name("client block", blocks[at].prefix);
        if (!outer.empty() && outer.back().first == prefix)
        {
            to.need(false, item,
                    "is given twice, for region " +
                        quoted(blocks[outer.back().second].region.value) +
                        " and " + quoted(blocks[at].region.value) +
                        "; remove one");
            continue;
        }
        if (!outer.empty())
        {
            const client_block& around = blocks[outer.back().second];
            to.need(around.region != blocks[at].region, item,
                    "lies in " + quoted(around.prefix) +
                        ", which is for the same region " +
                        quoted(around.region.value) + "; remove one");
        }
        outer.emplace_back(prefix, at);
    }
}

void check_client_blocks(checker& to)
{
    std::vector<std::pair<ip_prefix, std::size_t>> prefixes;
    const auto& blocks = to.content.client_blocks;
    for (std::size_t i = 0; i < blocks.size(); ++i)
    {
        if (!to.regions.contains(blocks[i].region))
            to.need_region(blocks[i].region,
                           item_name("client block", blocks[i].prefix),
                           "region");
        try
        {
            prefixes.emplace_back(parse_prefix(blocks[i].prefix), i);
        }
        catch (const config_error& ec)
        {
            to.need(false, item_name("client block", blocks[i].prefix),
                    ec.what());
        }
    }
    check_nesting(to, prefixes);
}

} // namespace

std::vector<problem> validate(const bundle& content)
{
    checker to(content);
    check_fleet(to);
    check_regions(to);
    check_links(to);
    check_customers(to);
    check_keys(to);
    check_client_blocks(to);
    check_services(to);
    return to.found;
}

std::string item_name(std::string_view kind, std::string_view id)
{
    return std::string(kind) + " " + quoted(id);
}

std::string key_name(std::string_view digest)
{
    // What is no digest may be the key itself, so none of it is shown.
    constexpr std::size_t digits = 64;
    constexpr std::size_t shown = 12;
    if (digest.size() != digits ||
        digest.find_first_not_of("0123456789abcdefABCDEF") != digest.npos)
        return "key with a malformed digest";
    return "key " + std::string(digest.substr(0, shown));
}

std::string to_string(std::span<const problem> problems)
{
    return std::accumulate(problems.begin(), problems.end(), std::string(),
                           [](std::string text, const problem& v)
                           {
                               text += v.item + ": " + v.text + "\n";
                               return text;
                           });
}

} // namespace parsleyplank::config
