#ifndef PARSLEYPLANK_CONFIG_COMPARE_HPP
#define PARSLEYPLANK_CONFIG_COMPARE_HPP

// What differs between two configurations, item by item.

#include <parsleyplank/config/model.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::config
{

enum class difference_kind
{
    added,
    removed,
    changed
};

struct difference
{
    difference_kind kind = difference_kind::changed;
    // Names the item as problems do, e.g. route "orders".
    std::string item;

    bool operator==(const difference&) const = default;
};

// Returns the items that differ, in order of section and key. The epoch and the
// order of items do not matter.
std::vector<difference> compare(const bundle& from, const bundle& to);

// Returns "added", "removed" or "changed".
std::string_view to_string(difference_kind kind);

} // namespace parsleyplank::config

#endif
