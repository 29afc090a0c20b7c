#include <parsleyplank/entry/caller_handler.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

constexpr std::string_view key_header = "x-api-key";

// Finds the customer whose key came with the request. More than one key header
// is refused: only one of them could be checked.
std::optional<refusal_reason> find_caller(const traffic_snapshot& snapshot,
                                          routed_request& request)
{
    const auto& headers = request.in.headers;
    const auto keys =
        std::ranges::count(headers, key_header, &dataplane::header_field::name);
    const auto* key = dataplane::find_header(headers, key_header);
    if (keys > 1)
        return refusal_reason::bad_request;
    if (key == nullptr || key->empty())
        return request.route->open ? std::nullopt
                                   : std::optional(refusal_reason::missing_key);
    request.api_key = *key;
    const auto* owner = snapshot.tables->keys.find(*key);
    if (owner != nullptr)
        request.customer = find_customer(*snapshot.tables->content, *owner);
    return request.customer == nullptr && !request.route->open
               ? std::optional(refusal_reason::unknown_key)
               : std::nullopt;
}

bool may_use(const config::route& route, const config::customer* customer)
{
    return route.open || route.customers.empty() ||
           std::ranges::find(route.customers, customer->id) !=
               route.customers.end();
}

std::optional<refusal_reason> check(const traffic_snapshot& snapshot,
                                    routed_request& request)
{
    const auto& content = *snapshot.tables->content;
    request.route = find_route(content, request.in.method, request.in.path);
    if (request.route == nullptr)
        return refusal_reason::no_route;
    if (const auto refusal = find_caller(snapshot, request))
        return refusal;
    if (!may_use(*request.route, request.customer))
        return refusal_reason::wrong_customer;
    const bool target_holds_key = !dataplane::filter_target(
        request.in.path, request.in.query, request.api_key);
    const bool body_too_large =
        request.in.body.size() > request.route->max_body_bytes;
    return target_holds_key || body_too_large
               ? std::optional(refusal_reason::bad_request)
               : std::nullopt;
}

dataplane::outbound_response lookup_json(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

} // namespace

route_result route_request(const traffic_snapshot* snapshot,
                           dataplane::inbound_request in,
                           const dataplane::responder& out,
                           const request_id& id)
{
    route_result result{
        std::nullopt,
        {id, std::move(in), nullptr, out, nullptr, nullptr, nullptr, {}}};
    auto& request = result.request;
    if (snapshot == nullptr)
    {
        result.refusal = refusal_reason::stale_state;
        return result;
    }
    request.tables = snapshot->tables;
    result.refusal = check(*snapshot, request);
    request.body =
        std::make_shared<const std::string>(std::move(request.in.body));
    return result;
}

dataplane::outbound_response
answer_caller_lookup(const traffic_snapshot* snapshot, std::string_view query)
{
    if (snapshot == nullptr)
        return lookup_json(503,
                           lookup::error_json("no configuration is held yet"));
    try
    {
        const auto response = lookup::answer_lookup(
            snapshot->lookup, lookup::parse_lookup(query));
        return lookup_json(200, lookup::to_json(response));
    }
    catch (const lookup::invalid_lookup_request& ec)
    {
        return lookup_json(400, lookup::error_json(ec.what()));
    }
}

} // namespace parsleyplank::entry
