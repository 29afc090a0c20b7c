#ifndef PARSLEYPLANK_CONFIG_VALIDATE_HPP
#define PARSLEYPLANK_CONFIG_VALIDATE_HPP

// Checks of a whole configuration: references between its items, ranges and
// duplicates.

#include <parsleyplank/config/model.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::config
{

// One thing that is wrong, and what to do about it.
struct problem
{
    // Names the culprit, e.g. route "orders". Problems of files have
    // "file:line: " in front.
    std::string item;
    std::string text;
};

// Returns all problems of the bundle; empty if it may be published.
std::vector<problem> validate(const bundle& content);

// Returns the name of an item in problems, e.g. route "orders".
std::string item_name(std::string_view kind, std::string_view id);

// Returns the name of an API key in problems: the first digits of its digest.
std::string key_name(std::string_view digest);

// Returns one line per problem.
std::string to_string(std::span<const problem> problems);

} // namespace parsleyplank::config

#endif
