#ifndef PARSLEYPLANK_STORE_STORE_ERA_HPP
#define PARSLEYPLANK_STORE_STORE_ERA_HPP

// Revisions that keep rising when the store comes back from an older copy and
// gives out its numbers again: the era of the store, which rises each time, is
// the upper part of a revision. In era 0 a revision is the store's own number.

#include <parsleyplank/core/ids.hpp>

#include <cstdint>

namespace parsleyplank::store
{

// Number of bits of the store's own numbers.
constexpr unsigned era_shift = 44;

// Returns the revision with this number. Number 0 stands for none in all eras.
inline revision with_era(std::uint64_t era, std::uint64_t number)
{
    return revision(number == 0 ? 0 : (era << era_shift) + number);
}

inline std::uint64_t era_of(revision known)
{
    return known.value >> era_shift;
}

// Returns the store's own number.
inline std::uint64_t number_in_era(revision known)
{
    return known.value & ((std::uint64_t(1) << era_shift) - 1);
}

} // namespace parsleyplank::store

#endif
