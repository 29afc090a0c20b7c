#ifndef PARSLEYPLANK_EDGE_ADAPTER_HPP
#define PARSLEYPLANK_EDGE_ADAPTER_HPP

// What an edge process needs to know of the platform that it runs on: names of
// headers, places in the store and the forms of what stands there. A platform
// supplies one of these; it translates and decides nothing.

#include <parsleyplank/steering/rollout_plan.hpp>
#include <parsleyplank/steering/server_registry.hpp>
#include <parsleyplank/steering/traffic_config.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace parsleyplank::edge
{

struct header_names
{
    // From callers.
    std::string request_id;
    std::string affinity_key;
    std::string api_key;
    // Milliseconds that the caller, and in turn the backend server, may use.
    std::string time_left_ms;
    // To backend servers: the server that must be the one that runs it, and the
    // customer of the API key.
    std::string expected_server;
    std::string customer;
    // From backend servers: "running,waiting,slots"; a mark that the request
    // has not run; the server's id; the rest of its warm-up time.
    std::string server_load;
    std::string not_executed;
    std::string server_id;
    std::string warmup_ms;
};

struct store_layout
{
    // A prefix of all keys that instances watch.
    std::string watched_prefix;
    std::string configuration_key;
    // Followed by a service, a failure domain, a server id.
    std::string rollout_prefix;
    std::string evacuation_prefix;
    std::string server_prefix;
    // Followed by a service; written by instances for the operator.
    std::string rollout_status_prefix;
};

// Whom a caller asks for instances.
struct directory_query
{
    failure_domain_id domain;
    region_id region;
};

struct adapter
{
    header_names headers;
    store_layout layout;
    // Paths of the health check of an instance and of the directory.
    std::string ready_path;

    // The decoders throw codec_error, which names what is wrong.
    std::function<steering::traffic_config(const std::string& value)>
        decode_configuration;
    std::function<steering::backend_server(
        const backend_server_id& id, const std::string& value,
        const std::map<failure_domain_id, region_id>& regions, time_point now)>
        decode_server;
    std::function<steering::rollout_order(const std::string& value,
                                          revision ordered)>
        decode_rollout;
    std::function<std::string(const steering::rollout_order& order,
                              steering::rollout_phase phase)>
        encode_rollout_status;

    // Returns nothing if the target of a request is not a directory query.
    std::function<std::optional<directory_query>(std::string_view target)>
        parse_directory_query;
    std::function<std::string(
        std::span<const steering::server_endpoint> addresses,
        milliseconds time_to_live)>
        format_directory_answer;
};

} // namespace parsleyplank::edge

#endif
