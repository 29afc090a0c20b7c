#include <parsleyplank/lookup/lookup.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>

namespace parsleyplank::lookup
{

namespace
{

// Decodes percent escapes and "+" in the name or value of a query parameter.
// Throws invalid_lookup_request if an escape is malformed.
std::string decode_parameter(std::string_view text)
{
    std::string decoded;
    while (!text.empty())
    {
        if (text.front() != '%')
        {
            decoded.push_back(text.front() == '+' ? ' ' : text.front());
            text.remove_prefix(1);
            continue;
        }
        unsigned n = 0;
        const auto digits = text.substr(1, 2);
        const auto* const end = digits.data() + digits.size();
        const auto [it, ec] = std::from_chars(digits.data(), end, n, 16);
        if (ec != std::errc() || it != end || digits.size() != 2)
            throw invalid_lookup_request(
                "query holds a \"%\" without two hexadecimal "
                "digits");
        decoded.push_back(static_cast<char>(n));
        text.remove_prefix(3);
    }
    return decoded;
}

// Returns the decoded parameters of a query string. Throws
// invalid_lookup_request if a parameter is unknown, repeated or malformed.
std::map<std::string, std::string> split_query(std::string_view query)
{
    std::map<std::string, std::string> parameters;
    while (!query.empty())
    {
        const auto pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const auto equals = pair.find('=');
        const auto name = decode_parameter(pair.substr(0, equals));
        const auto value = equals == pair.npos
                               ? ""
                               : decode_parameter(pair.substr(equals + 1));
        // The message does not quote an unknown name, which could be an API
        // key.
        if (name != "client" && name != "customer")
            throw invalid_lookup_request(
                "unknown parameter; use client and customer");
        if (!parameters.emplace(name, value).second)
            throw invalid_lookup_request("parameter " + name +
                                         " is given twice");
    }
    return parameters;
}

// Returns the region and its fallbacks in order of preference.
std::vector<region_id> preferred_regions(const config::bundle& content,
                                         const region_id& first)
{
    std::vector<region_id> regions{first};
    const auto it =
        std::ranges::find(content.regions, first, &config::region::id);
    if (it != content.regions.end())
        regions.insert(regions.end(), it->fallbacks.begin(),
                       it->fallbacks.end());
    return regions;
}

} // namespace

lookup_request parse_lookup(std::string_view query)
{
    const auto parameters = split_query(query);
    const auto client = parameters.find("client");
    if (client == parameters.end())
        throw invalid_lookup_request("parameter client is missing; use "
                                     "/v1/lookup?client=10.0.0.1");
    lookup_request request;
    try
    {
        request.client = config::parse_address(client->second);
    }
    catch (const config_error& ec)
    {
        throw invalid_lookup_request(std::string("parameter client: ") +
                                     ec.what());
    }
    const auto customer = parameters.find("customer");
    if (customer != parameters.end())
        request.customer = customer_id(customer->second);
    return request;
}

lookup_response answer_lookup(const lookup_snapshot& snapshot,
                              const lookup_request& request)
{
    const config::bundle& content = *snapshot.content;
    if (request.customer &&
        std::ranges::find(content.customers, *request.customer,
                          &config::customer::id) == content.customers.end())
        throw invalid_lookup_request(
            "parameter customer is not a customer's id");
    lookup_response response;
    const region_index index = snapshot.blocks->find(request.client);
    response.region = index < content.regions.size()
                          ? content.regions[index].id
                          : content.settings.default_region;
    response.epoch = content.epoch;
    response.ttl = content.settings.lookup_ttl;
    const std::string client = config::to_string(request.client);
    rank_request ranking;
    ranking.regions = preferred_regions(content, response.region);
    ranking.customer = request.customer;
    ranking.spread_key = client;
    response.instances = rank_instances(snapshot.instances, ranking);
    if (response.instances.empty())
    {
        // Neither the region nor its fallbacks have an instance, so all other
        // regions are considered.
        std::ranges::transform(content.regions,
                               std::back_inserter(ranking.regions),
                               &config::region::id);
        response.instances = rank_instances(snapshot.instances, ranking);
    }
    return response;
}

std::string to_json(const lookup_response& response)
{
    // Sets members one by one because initializer lists copy every value.
    nlohmann::ordered_json body;
    body["region"] = response.region.value;
    body["epoch"] = response.epoch.value;
    body["ttl_ms"] = response.ttl.count();
    auto& list = body["instances"] = nlohmann::ordered_json::array();
    std::ranges::for_each(response.instances,
                          [&](const ranked_instance& v)
                          {
                              auto& item = list.emplace_back(
                                  nlohmann::ordered_json::object());
                              item["id"] = v.id.value;
                              item["address"] = v.address;
                              item["port"] = v.port;
                              item["region"] = v.region.value;
                              item["weight"] = v.weight;
                          });
    return body.dump();
}

std::string error_json(std::string_view message)
{
    // Messages quote input that may not be valid UTF-8.
    return nlohmann::json{{"error", message}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace parsleyplank::lookup
