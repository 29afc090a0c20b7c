#ifndef PARSLEYPLANK_TEST_FUZZ_TARGETS_HPP
#define PARSLEYPLANK_TEST_FUZZ_TARGETS_HPP

// The parsers of bytes from outside, each with valid samples.

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::fuzz
{

// A parser accepted what breaks its contract.
struct broken_contract : std::logic_error
{
    using std::logic_error::logic_error;
};

struct target
{
    std::string name;
    std::vector<std::string> samples;
    // Parses the input; lets out nothing but what the parser may throw, which
    // parse itself catches, and faults.
    std::function<void(std::string_view)> parse;
};

// Messages between instances and values in the store.
std::vector<target> binary_targets();

// Files, HTTP and JSON.
std::vector<target> text_targets();

} // namespace parsleyplank::fuzz

#endif
