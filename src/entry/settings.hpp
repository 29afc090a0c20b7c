#ifndef PARSLEYPLANK_ENTRY_SETTINGS_HPP
#define PARSLEYPLANK_ENTRY_SETTINGS_HPP

// Settings of one entry process, from a TOML file. They say who and where the
// process is; everything about services comes from the configuration in force.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace parsleyplank::entry
{

struct endpoint
{
    // IP address.
    std::string address;
    std::uint16_t port = 0;
};

struct settings
{
    // [instance]
    instance_id id;
    // Start number that the platform gave this life of the instance.
    incarnation life;
    region_id region;
    failure_domain_id domain;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t peer_port = 0;

    // [platform]
    endpoint store;
    endpoint instance_list;
    milliseconds store_timeout{1'000};

    // [traffic]
    int caller_threads = 2;
    std::uint64_t max_body_memory_bytes = 200'000'000;
    std::size_t decision_log_size = 10'000;
    // Connections of this instance to one upstream: the budget of the upstream
    // (about 330) divided by ten instances.
    std::size_t connections_per_upstream = 32;

    // [logging]
    std::string log_level = "INFO";
};

// Returns the settings that the text holds. The name stands for the file in
// messages. Throws config_error that lists every problem with file and line.
settings parse_settings(std::string_view text, const std::string& name);

// Reads the settings file. Throws as parse_settings does, and if the file can't
// be read.
settings read_settings(const std::filesystem::path& file);

} // namespace parsleyplank::entry

#endif
