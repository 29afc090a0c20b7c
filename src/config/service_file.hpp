#ifndef PARSLEYPLANK_CONFIG_SERVICE_FILE_HPP
#define PARSLEYPLANK_CONFIG_SERVICE_FILE_HPP

// Reads the operators' TOML files: one fleet file and one file per service.
// docs/design.md, section 9, and examples/ show their form.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/config/validate.hpp>

#include <filesystem>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace parsleyplank::config
{

// What a set of files says.
struct collected_files
{
    // Epoch 0; holds what could be read if there are problems.
    bundle content;
    // Each item names its file and line.
    std::vector<problem> problems;
    // Item, as problem::item names it, to "file:line".
    std::map<std::string, std::string> sources;
    // False if a file could not be read as a whole; checks of references
    // between items would report the items of that file as missing.
    bool complete = true;
};

// Adds the contents of one file, which is a fleet file if it has a [fleet]
// table and a service file otherwise. The name appears in problems. Throws
// nothing for bad contents: all problems are added to the collection.
void add_file(collected_files& files, const std::string& name,
              std::string_view text);

// Reads the files. A folder is searched for files named fleet.toml and
// service.toml. Adds a problem for each file that can't be read and if there
// is not exactly one fleet file.
collected_files collect_files(std::span<const std::filesystem::path> paths);

// Returns the problems of the files and, if these are complete, of the whole
// bundle, each with its file and line where known.
std::vector<problem> check_files(const collected_files& files);

} // namespace parsleyplank::config

#endif
