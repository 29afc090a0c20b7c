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

// Returns the revision, or the id of a lease, with this number. Number 0 stands
// for none in all eras.
template <typename Id>
Id with_era(std::uint64_t era, std::uint64_t number)
{
    return Id(number == 0 ? 0 : (era << era_shift) + number);
}

template <typename Id>
std::uint64_t era_of(Id id)
{
    return id.value >> era_shift;
}

// Returns the store's own number.
template <typename Id>
std::uint64_t number_in_era(Id id)
{
    return id.value & ((std::uint64_t(1) << era_shift) - 1);
}

} // namespace parsleyplank::store

#endif
