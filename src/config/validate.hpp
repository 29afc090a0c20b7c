#ifndef PARSLEYPLANK_CONFIG_VALIDATE_HPP
#define PARSLEYPLANK_CONFIG_VALIDATE_HPP

// Checks of a whole configuration: references between its items, ranges and
// duplicates.

#include <parsleyplank/config/model.hpp>

#include <span>
#include <string>
#include <vector>

namespace parsleyplank::config
{

// One thing that is wrong, and what to do about it.
struct problem
{
    // Names the culprit, e.g. route "orders". Problems of files have
    // "file:line" in front.
    std::string item;
    std::string text;
};

// Returns all problems of the bundle; empty if it may be published.
std::vector<problem> validate(const bundle& content);

// Returns one line per problem.
std::string to_string(std::span<const problem> problems);

} // namespace parsleyplank::config

#endif
