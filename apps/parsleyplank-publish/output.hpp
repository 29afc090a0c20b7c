#ifndef PARSLEYPLANK_PUBLISH_OUTPUT_HPP
#define PARSLEYPLANK_PUBLISH_OUTPUT_HPP

// What parsleyplank-publish prints.

#include <parsleyplank/config/compare.hpp>
#include <parsleyplank/config/validate.hpp>
#include <parsleyplank/core/ids.hpp>

#include <string>
#include <vector>

namespace parsleyplank::publish_app
{

struct outcome
{
    // One of "checked", "problems", "compared", "unchanged", "published",
    // "conflict", "failed" and "unknown".
    std::string result;
    // One line for operators; empty if the lists say all.
    std::string message;
    // Epoch in force; 0 if it is not known.
    epoch in_force;
    std::vector<config::problem> problems;
    std::vector<config::difference> differences;
};

// Prints the outcome as lines, problems and failures to standard error, or as
// one JSON object to standard output.
void print(const outcome& v, bool json);

} // namespace parsleyplank::publish_app

#endif
