#include "standin/store_wire.hpp"

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace parsleyplank::standin
{

namespace protocol = store::protocol;

std::string to_bytes(const store::list_result& result)
{
    protocol::entries_response response{result.store_revision, {}};
    response.entries.reserve(result.entries.size());
    std::ranges::for_each(
        result.entries,
        [&](const store::entry& row) {
            response.entries.push_back({row.key, row.value, row.key_revision});
        });
    return pack_value(response);
}

std::string to_bytes(const store::read_result& result)
{
    store::list_result rows{{}, result.store_revision};
    if (result.found)
        rows.entries.push_back(*result.found);
    return to_bytes(rows);
}

std::string to_bytes(const store::write_result& result)
{
    return pack_value(protocol::write_response{
        result.store_revision, result.applied, result.key_revision});
}

std::string to_text(const arrival_counts& counts)
{
    return nlohmann::json{{"gets", counts.gets},
                          {"lists", counts.lists},
                          {"swaps", counts.swaps},
                          {"deletes", counts.deletes},
                          {"watches", counts.watches},
                          {"leases", counts.leases},
                          {"instance_reads", counts.instance_reads}}
        .dump();
}

std::string to_text(const std::vector<store::listed_instance>& instances)
{
    auto document = nlohmann::json::array();
    std::ranges::for_each(instances, [&](const store::listed_instance& row)
                          { document.push_back(store::to_json(row)); });
    return document.dump();
}

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || stop != end)
        throw error("the query parameter 'value' is '" + text +
                    "', not a number");
    return value;
}

} // namespace parsleyplank::standin
