#ifndef PARSLEYPLANK_CONFIG_MODEL_CODEC_HPP
#define PARSLEYPLANK_CONFIG_MODEL_CODEC_HPP

// MessagePack coding of the configuration model. A struct is an array of its
// members in the order below. New members go to the end: a reader that does not
// know them skips them, and one that misses them leaves their default.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/core/codec.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <tuple>
#include <type_traits>

namespace parsleyplank::config
{

// A backend server as an item of its own: a change of one does not rewrite the
// others of its upstream.
struct placed_server
{
    upstream_id upstream;
    backend_server server;
};

template <typename Value, typename Model>
concept form_of = std::same_as<std::remove_const_t<Value>, Model>;

auto members(form_of<fleet> auto& v)
{
    return std::tie(v.name, v.store_region, v.freshness_bound, v.list_bound,
                    v.lookup_ttl, v.borrow_wait, v.claim_wait,
                    v.claim_retention, v.claim_buckets, v.claim_write_rate,
                    v.shift_cap, v.shift_interval, v.default_region);
}

auto members(form_of<region> auto& v)
{
    return std::tie(v.id, v.domains, v.fallbacks);
}

auto members(form_of<link> auto& v)
{
    return std::tie(v.a, v.b, v.capacity);
}

auto members(form_of<customer> auto& v)
{
    return std::tie(v.id, v.rate, v.burst, v.weight);
}

auto members(form_of<api_key> auto& v)
{
    return std::tie(v.digest, v.customer);
}

auto members(form_of<client_block> auto& v)
{
    return std::tie(v.prefix, v.region);
}

// The servers are items of their own.
auto members(form_of<upstream> auto& v)
{
    return std::tie(v.id, v.service, v.slots_per_server, v.connection_budget);
}

auto members(form_of<placed_server> auto& v)
{
    return std::tie(v.upstream, v.server.id, v.server.region, v.server.domain,
                    v.server.address, v.server.port, v.server.version,
                    v.server.leaving);
}

auto members(form_of<route> auto& v)
{
    return std::tie(v.id, v.service, v.upstream, v.path_prefix, v.methods,
                    v.open, v.customers, v.execution, v.when_stale, v.deadline,
                    v.max_body_bytes);
}

auto members(form_of<rollout> auto& v)
{
    return std::tie(v.upstream, v.from, v.to, v.duration, v.first_share);
}

template <typename Value>
concept coded_model = requires(Value& v)
{
    members(v);
};

// Returns the number of values of an enumeration.
constexpr int enum_size(execution_mode /*kind*/)
{
    return static_cast<int>(execution_mode::at_most_once) + 1;
}

constexpr int enum_size(stale_policy /*kind*/)
{
    return static_cast<int>(stale_policy::serve) + 1;
}

} // namespace parsleyplank::config

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template <typename Rep, typename Period>
    struct convert<std::chrono::duration<Rep, Period>>
    {
        const msgpack::object&
        operator()(const msgpack::object& o,
                   std::chrono::duration<Rep, Period>& v) const
        {
            v = std::chrono::duration<Rep, Period>(o.as<Rep>());
            return o;
        }
    };
    template <typename Rep, typename Period>
    struct pack<std::chrono::duration<Rep, Period>>
    {
        template <typename Stream>
        packer<Stream>&
        operator()(packer<Stream>& o,
                   const std::chrono::duration<Rep, Period>& v) const
        {
            return o.pack(v.count());
        }
    };

    template <parsleyplank::config::coded_model Value>
    struct convert<Value>
    {
        const msgpack::object& operator()(const msgpack::object& o,
                                          Value& v) const
        {
            if (o.type != msgpack::type::ARRAY)
                throw msgpack::type_error();
            const auto& list = o.via.array;
            std::uint32_t n = 0;
            std::apply(
                [&](auto&... member)
                {
                    const auto take = [&](auto& value)
                    {
                        if (n < list.size)
                            list.ptr[n].convert(value);
                        ++n;
                    };
                    (take(member), ...);
                },
                members(v));
            return o;
        }
    };
    template <parsleyplank::config::coded_model Value>
    struct pack<Value>
    {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& o, const Value& v) const
        {
            std::apply(
                [&](const auto&... member)
                {
                    o.pack_array(sizeof...(member));
                    (o.pack(member), ...);
                },
                members(v));
            return o;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

#endif
