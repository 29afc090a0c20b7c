#ifndef PARSLEYPLANK_CORE_IDS_HPP
#define PARSLEYPLANK_CORE_IDS_HPP

// Strong types for identifiers. Ids of different kinds neither compare nor
// convert to each other: passing a customer where a region is expected does not
// compile.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace parsleyplank
{

// An identifier that is a name, usually chosen by operators.
template <typename Tag>
struct name_id
{
    std::string value;

    name_id() = default;
    explicit name_id(std::string name) : value(std::move(name))
    {
    }

    auto operator<=>(const name_id&) const = default;
};

// An identifier that is a number, usually one that only increases.
template <typename Tag>
struct number_id
{
    std::uint64_t value = 0;

    number_id() = default;
    constexpr explicit number_id(std::uint64_t n) : value(n)
    {
    }

    auto operator<=>(const number_id&) const = default;
};

using instance_id = name_id<struct instance_tag>;
using region_id = name_id<struct region_tag>;
using failure_domain_id = name_id<struct failure_domain_tag>;
using customer_id = name_id<struct customer_tag>;
using service_id = name_id<struct service_tag>;
using upstream_id = name_id<struct upstream_tag>;
using backend_server_id = name_id<struct backend_server_tag>;
using version_id = name_id<struct version_tag>;
using route_id = name_id<struct route_tag>;
using request_id = name_id<struct request_tag>;

// Number of an accepted version of the configuration.
using epoch = number_id<struct epoch_tag>;
// Revision of one key in the store, or of the whole store.
using revision = number_id<struct revision_tag>;
// Distinguishes successive runs of an instance with the same id.
using incarnation = number_id<struct incarnation_tag>;

} // namespace parsleyplank

template <typename Tag>
struct std::hash<parsleyplank::name_id<Tag>>
{
    std::size_t operator()(const parsleyplank::name_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <typename Tag>
struct std::hash<parsleyplank::number_id<Tag>>
{
    std::size_t
    operator()(const parsleyplank::number_id<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
