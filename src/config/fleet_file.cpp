#include <parsleyplank/config/fleet_file.hpp>
#include <parsleyplank/config/toml_reader.hpp>

#include <algorithm>

namespace parsleyplank::config
{

namespace
{

constexpr std::int64_t max_count = 1'000'000;
// 1 Mbit/s in bytes per second.
constexpr double bytes_per_mbit = 125'000;

void read_fleet(table_reader& from, fleet& v)
{
    from.rename("fleet");
    v.name = from.text("name", "\"tokachi\"");
    v.store_region = region_id(from.text("store_region", "\"doto\""));
    v.default_region = region_id(from.text("default_region", "\"doto\""));
    v.freshness_bound =
        from.duration("freshness_bound_ms", "3000", v.freshness_bound);
    v.list_bound = from.duration("list_bound_ms", "30000", v.list_bound);
    v.lookup_ttl = from.duration("lookup_ttl_ms", "5000", v.lookup_ttl);
    v.borrow_wait = from.duration("borrow_wait_ms", "250", v.borrow_wait);
    v.claim_wait = from.duration("claim_wait_ms", "2000", v.claim_wait);
    v.claim_retention =
        from.duration("claim_retention_s", "86400", v.claim_retention);
    v.claim_buckets = static_cast<std::uint32_t>(
        from.integer("claim_buckets", "16", 0, max_count, v.claim_buckets));
    v.claim_write_rate =
        from.number("claim_writes_per_s", "30", v.claim_write_rate);
    v.shift_cap = from_percent(from.number(
        "shift_cap_percent", "5", v.shift_cap.value / ppm_per_percent));
    v.shift_interval =
        from.duration("shift_interval_s", "10", v.shift_interval);
}

region read_region(table_reader& from)
{
    region v;
    v.id = region_id(from.text("id", "\"doto\""));
    from.rename(item_name("region", v.id.value));
    v.domains = to_ids<failure_domain_id>(
        from.texts("failure_domains", "[\"doto-a\", \"doto-b\"]", true));
    v.fallbacks = to_ids<region_id>(from.texts("fallbacks", "[\"doo\"]"));
    return v;
}

link read_link(table_reader& from)
{
    link v;
    const auto ends = from.texts("between", "[\"doto\", \"doo\"]", true);
    if (ends.size() == 2)
    {
        v.a = region_id(std::min(ends[0], ends[1]));
        v.b = region_id(std::max(ends[0], ends[1]));
    }
    else if (!ends.empty())
        from.report("between", "between must name two regions, names " +
                                   std::to_string(ends.size()));
    from.rename(item_name("link", v.a.value + " - " + v.b.value));
    v.capacity =
        byte_rate(from.number("capacity_mbit_s", "280") * bytes_per_mbit);
    return v;
}

customer read_customer(table_reader& from)
{
    customer v;
    v.id = customer_id(from.text("id", "\"shop-1\""));
    from.rename(item_name("customer", v.id.value));
    v.rate = token_rate(from.number("rate_per_s", "50"));
    v.burst = tokens(from.number("burst", "100"));
    v.weight = from.number("weight", "1", v.weight);
    return v;
}

api_key read_key(table_reader& from)
{
    api_key v;
    v.digest = from.text("sha256", "\"<64 hexadecimal digits>\"");
    from.rename(key_name(v.digest));
    v.customer = customer_id(from.text("customer", "\"shop-1\""));
    return v;
}

void read_blocks(table_reader& from, bundle& content)
{
    const region_id region(from.text("region", "\"doto\""));
    const auto prefixes = from.texts("prefixes", "[\"10.1.0.0/16\"]", true);
    for (std::size_t i = 0; i < prefixes.size(); ++i)
    {
        from.note_element(item_name("client block", prefixes[i]), "prefixes",
                          i);
        content.client_blocks.push_back({prefixes[i], region});
    }
}

} // namespace

void add_fleet_file(collected_files& files, const std::string& file,
                    const toml::table& root)
{
    bundle& to = files.content;
    table_reader from(files, file, "fleet file", root);
    if (const toml::table* const table = from.table("fleet"))
    {
        table_reader item(files, file, "fleet", *table);
        read_fleet(item, to.settings);
        item.end();
    }
    read_list(from, "region", files, file, to.regions, read_region);
    read_list(from, "link", files, file, to.links, read_link);
    read_list(from, "customer", files, file, to.customers, read_customer);
    read_list(from, "key", files, file, to.keys, read_key);
    for (const toml::table* table : from.tables("client_block"))
    {
        table_reader item(files, file, "client_block", *table);
        read_blocks(item, to);
        item.end();
    }
    from.end();
}

} // namespace parsleyplank::config
