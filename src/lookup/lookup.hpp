#ifndef PARSLEYPLANK_LOOKUP_LOOKUP_HPP
#define PARSLEYPLANK_LOOKUP_LOOKUP_HPP

// GET /v1/lookup: which instances should a client use.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/lookup/block_table.hpp>
#include <parsleyplank/lookup/instance_rank.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::lookup
{

// A lookup request is wrong; the message is meant for the caller.
class invalid_lookup_request : public error
{
public:
    using error::error;
};

struct lookup_request
{
    config::ip_address client;
    std::optional<customer_id> customer;
};

// Immutable; replaced as a whole when configuration or membership changes.
struct lookup_snapshot
{
    std::shared_ptr<const config::bundle> content;
    std::shared_ptr<const block_table> blocks;
    regional_instances instances;
};

struct lookup_response
{
    region_id region;
    parsleyplank::epoch epoch;
    milliseconds ttl{0};
    std::vector<ranked_instance> instances;
};

// Returns the request that a query string such as "client=10.0.0.1&customer=a"
// holds. Throws invalid_lookup_request if a parameter is missing, unknown,
// given twice or not decodable.
lookup_request parse_lookup(std::string_view query);

// Throws invalid_lookup_request if the customer is unknown.
lookup_response answer_lookup(const lookup_snapshot& snapshot,
                              const lookup_request& request);

// Returns the response body, and the body {"error": message} of a refusal.
std::string to_json(const lookup_response& response);
std::string error_json(std::string_view message);

} // namespace parsleyplank::lookup

#endif
