#ifndef PARSLEYPLANK_EDGE_SETTINGS_HPP
#define PARSLEYPLANK_EDGE_SETTINGS_HPP

// Settings of one edge process, from a TOML file: who and where it is, and the
// bounds that the deployment sets. Everything about services comes from the
// store.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace parsleyplank::edge
{

// Bounds of the deployment. Durations are upper limits that callers or the
// operator count on.
struct fleet_bounds
{
    // Time without a sign of an instance after which it counts as gone.
    milliseconds contact{4'000};
    // Time in which a draining backend server must get no new request.
    milliseconds drain{2'500};
    // Time from the stop signal to the kill.
    milliseconds grace{6'000};
    // Time a caller may cache an answer of the directory.
    milliseconds directory_ttl{5'000};
    // Repeated sends of the whole fleet: a part of the requests, and a number
    // beyond it.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    // Part of a region's requests that may move to another region in 2 s.
    double shift_cap = 0.15;
    // Time in which a withdrawn API key must stop working.
    milliseconds revoke{5'000};
    // Whether that holds for an instance that does not reach the store as well.
    // It then refuses requests with a key.
    bool strict_keys = false;
};

struct settings
{
    // [instance]
    instance_id id;
    region_id region;
    failure_domain_id domain;
    std::string address;
    std::int64_t memory_mb = 256;

    // [listen]
    steering::server_endpoint callers;
    steering::server_endpoint readiness;
    steering::server_endpoint directory;
    // Status and metrics; unset if there is no such address.
    steering::server_endpoint admin;
    // First of two ports for what instances tell each other.
    std::uint16_t peer_port = 0;

    // [store]
    steering::server_endpoint store;

    // [failure_domains]: region of each.
    std::map<failure_domain_id, region_id> regions;

    // [bounds]
    fleet_bounds bounds;

    // [logging]
    std::string log_level = "INFO";
    // Lines per second; those beyond are counted and dropped.
    std::int64_t log_lines_per_s = 400;
};

// Returns the settings that the text holds. The name stands for the file in
// messages. Throws config_error that lists every problem with file and line.
settings parse_settings(std::string_view text, const std::string& name);

// Reads the settings file. Throws as parse_settings does, and if the file can't
// be read.
settings read_settings(const std::filesystem::path& file);

} // namespace parsleyplank::edge

#endif
