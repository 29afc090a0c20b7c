#ifndef PARSLEYPLANK_CORE_UNITS_HPP
#define PARSLEYPLANK_CORE_UNITS_HPP

// Strong types for quantities. Durations use std::chrono.

#include <compare>
#include <cstdint>

namespace parsleyplank
{

// A floating-point quantity in the unit that the tag identifies. Supports only
// arithmetic whose result has the same unit.
template <typename Tag>
struct quantity
{
    double value = 0;

    quantity() = default;
    constexpr explicit quantity(double n) : value(n)
    {
    }

    auto operator<=>(const quantity&) const = default;

    constexpr quantity& operator+=(quantity other)
    {
        value += other.value;
        return *this;
    }

    constexpr quantity& operator-=(quantity other)
    {
        value -= other.value;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b)
    {
        return quantity(a.value + b.value);
    }

    friend constexpr quantity operator-(quantity a, quantity b)
    {
        return quantity(a.value - b.value);
    }

    friend constexpr quantity operator*(quantity a, double factor)
    {
        return quantity(a.value * factor);
    }
};

// Tokens in a token bucket; a request costs one token.
using tokens = quantity<struct tokens_tag>;
// Tokens per second.
using token_rate = quantity<struct token_rate_tag>;
// Bytes per second.
using byte_rate = quantity<struct byte_rate_tag>;

// Share of a fleet-wide quota in parts per million.
struct share_ppm
{
    std::uint32_t value = 0;

    auto operator<=>(const share_ppm&) const = default;
};

// The whole of a quota in parts per million.
inline constexpr std::uint32_t ppm_total = 1'000'000;

} // namespace parsleyplank

#endif
