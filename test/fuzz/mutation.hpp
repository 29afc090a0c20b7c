#ifndef PARSLEYPLANK_TEST_FUZZ_MUTATION_HPP
#define PARSLEYPLANK_TEST_FUZZ_MUTATION_HPP

// Damages valid inputs of a parser, from a seeded random source.

#include <random>
#include <string>
#include <vector>

namespace parsleyplank::fuzz
{

// Longest input; with the limit on memory it bounds how much larger than its
// input a decoded value may be.
inline constexpr std::size_t max_input_bytes = 65'536;

// Returns one of the samples with a few mutations: flipped bits, truncation,
// inserted and repeated bytes, parts of other samples, overwritten lengths.
std::string mutate(const std::vector<std::string>& samples,
                   std::mt19937_64& rng);

} // namespace parsleyplank::fuzz

#endif
