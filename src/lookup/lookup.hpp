#ifndef PARSLEYPLANK_LOOKUP_LOOKUP_HPP
#define PARSLEYPLANK_LOOKUP_LOOKUP_HPP

// Answers GET /v1/lookup, which returns the instances that a client should use.

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

// Thrown for an invalid lookup request. The message is returned to the caller.
class invalid_lookup_request : public error
{
public:
    using error::error;
};

// The decoded parameters of a lookup.
struct lookup_request
{
    config::ip_address client;
    std::optional<customer_id> customer;
};

// The state that lookups are answered from. Immutable, and replaced as a whole
// when the configuration or the membership changes.
struct lookup_snapshot
{
    std::shared_ptr<const config::bundle> content;
    std::shared_ptr<const block_table> blocks;
    regional_instances instances;
};

// The answer to a lookup.
struct lookup_response
{
    // Region of the client.
    region_id region;
    // Epoch of the configuration that the answer is based on.
    parsleyplank::epoch epoch;
    // Time for which the caller may cache the answer.
    milliseconds ttl{0};
    // Best first, see rank_instances.
    std::vector<ranked_instance> instances;
};

// Returns the request that a query string such as "client=10.0.0.1&customer=a"
// holds. Throws invalid_lookup_request if a parameter is missing, unknown,
// given twice or not decodable.
lookup_request parse_lookup(std::string_view query);

// Returns the instances for the client, from its region and the fallbacks or,
// if these have none, from any region. Clients outside all blocks belong to the
// default region. Throws invalid_lookup_request if the customer is unknown.
lookup_response answer_lookup(const lookup_snapshot& snapshot,
                              const lookup_request& request);

// Returns the body of a successful response.
std::string to_json(const lookup_response& response);

// Returns the body {"error": message} for an invalid request.
std::string error_json(std::string_view message);

} // namespace parsleyplank::lookup

#endif
