#ifndef PARSLEYPLANK_CONFIG_FLEET_FILE_HPP
#define PARSLEYPLANK_CONFIG_FLEET_FILE_HPP

// Reads the fleet file; used by service_file only.

#include <parsleyplank/config/service_file.hpp>

#include <string>
#include <toml++/toml.h>

namespace parsleyplank::config
{

// Adds the contents of a parsed fleet file and its problems.
void add_fleet_file(collected_files& files, const std::string& file,
                    const toml::table& root);

} // namespace parsleyplank::config

#endif
