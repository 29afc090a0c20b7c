#ifndef PARSLEYPLANK_EDGE_ADAPTER_HPP
#define PARSLEYPLANK_EDGE_ADAPTER_HPP

// The interface between an edge process and the platform that it runs on:
// header names, store keys, and the encodings of the stored values. Each
// platform supplies one adapter, which only translates and makes no steering
// decisions.

#include <parsleyplank/steering/rollout_plan.hpp>
#include <parsleyplank/steering/server_registry.hpp>
#include <parsleyplank/steering/traffic_config.hpp>
#include <parsleyplank/usage/hand_over.hpp>
#include <parsleyplank/usage/report_ledger.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::edge
{

// Names of the HTTP headers that instances exchange with callers and backend
// servers.
struct header_names
{
    // Headers of requests from callers.
    std::string request_id;
    std::string affinity_key;
    std::string api_key;
    // Remaining time of the request in milliseconds. Read from the request of a
    // caller and sent to the backend server as well.
    std::string time_left_ms;
    // Headers of requests to backend servers: the only server that may execute
    // the request, and the customer that owns the API key.
    std::string expected_server;
    std::string customer;
    // Header of responses from backend servers with which each success proves
    // that it comes from the server itself; empty if the platform has none.
    std::string response_seal;
    // Headers of responses from backend servers: the load as
    // "running,waiting,slots"; the requests per second that the server takes
    // from all instances together; a marker that the server is leaving; with
    // status 503, the seconds in which the server wants no requests from the
    // receiver; a marker that the request was not executed; the id of the
    // server; the remaining warm-up time in milliseconds.
    std::string server_load;
    std::string server_limit;
    std::string server_leaving;
    std::string retry_after;
    std::string not_executed;
    std::string server_id;
    std::string warmup_ms;
};

// Keys and key prefixes in the store.
struct store_layout
{
    // Common prefix of all keys that instances watch.
    std::string watched_prefix;
    std::string configuration_key;
    // Key prefixes, followed by the name of a service, the name of a failure
    // domain, and the id of a server.
    std::string rollout_prefix;
    std::string evacuation_prefix;
    std::string server_prefix;
    // Key prefix, followed by the name of a service. Instances write the status
    // of a rollout there for the operator.
    std::string rollout_status_prefix;
};

// A request of a caller to the directory: the failure domain and the region for
// which it wants the addresses of instances.
struct directory_query
{
    failure_domain_id domain;
    region_id region;
};

// A usage report as a POST request to the platform.
struct usage_request
{
    std::string path;
    // Each "NAME: VALUE".
    std::vector<std::string> headers;
    std::string body;
};

// What a response of the platform to a usage report means.
enum class usage_verdict
{
    accepted,
    // The platform has seen a higher fencing token.
    fenced,
    // To be repeated later.
    failed,
    // A repetition has the same result.
    rejected
};

struct adapter
{
    header_names headers;
    store_layout layout;
    // Path of the health check of an instance.
    std::string ready_path;

    // The decoders throw codec_error with a message that names the invalid
    // part.
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

    // Returns nullopt if the request target is not a directory query.
    std::function<std::optional<directory_query>(std::string_view target)>
        parse_directory_query;
    std::function<std::string(
        std::span<const steering::server_endpoint> addresses,
        milliseconds time_to_live)>
        format_directory_answer;

    // Name of the duty to report usage.
    std::string usage_duty;
    std::function<usage_request(const instance_id& holder,
                                usage::fence_token token,
                                const usage::window_report& report)>
        encode_usage_report;
    // The status is 0 if there was no response.
    std::function<usage_verdict(int status)> judge_usage_response;
};

} // namespace parsleyplank::edge

#endif
