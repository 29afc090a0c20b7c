#ifndef PARSLEYPLANK_PUBLISH_OPTIONS_HPP
#define PARSLEYPLANK_PUBLISH_OPTIONS_HPP

// Command line of parsleyplank-publish.

#include <filesystem>
#include <string>
#include <vector>

namespace parsleyplank::publish_app
{

struct options
{
    std::vector<std::filesystem::path> paths;
    std::string store_url;
    std::string publisher;
    bool check = false;
    bool diff = false;
    bool json = false;
    bool rewrite = false;
    bool remove_unused = false;
};

// Returns the options. Throws TCLAP::ArgException for a wrong argument,
// TCLAP::ExitException after --help or --version.
options parse_options(int argc, const char* const* argv);

} // namespace parsleyplank::publish_app

#endif
