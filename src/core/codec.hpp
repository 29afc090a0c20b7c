#ifndef PARSLEYPLANK_CORE_CODEC_HPP
#define PARSLEYPLANK_CORE_CODEC_HPP

// MessagePack encoding and decoding of plain structs. A struct lists its
// encoded members with MSGPACK_DEFINE_ARRAY(...). Ids and quantities of the
// core library are encoded as their bare value.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <msgpack.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleyplank
{

// Maximum nesting depth that unpack_object and unpack_value accept.
inline constexpr std::size_t max_codec_depth = 32;

// Returns the MessagePack encoding of the value.
template <typename Value>
std::string pack_value(const Value& value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

// Decodes the bytes, which must hold exactly one object. The name identifies
// the source of the bytes in error messages. Throws codec_error if the bytes
// are malformed, are nested deeper than max_codec_depth or continue after the
// object.
inline msgpack::object_handle unpack_object(std::string_view bytes,
                                            std::string_view name)
{
    try
    {
        std::size_t n = 0;
        // Limits every encoded size to the number of bytes: five bytes can
        // claim an array of 4 billion elements, which must not be allocated.
        const msgpack::unpack_limit limit(bytes.size(), bytes.size(),
                                          bytes.size(), bytes.size(),
                                          bytes.size(), max_codec_depth);
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), n, nullptr,
                                      nullptr, limit);
        if (n != bytes.size())
            throw codec_error(std::string(name) + ": " +
                              std::to_string(bytes.size() - n) +
                              " bytes after the value");
        return handle;
    }
    catch (const msgpack::unpack_error& ec)
    {
        throw codec_error(std::string(name) + ": " + ec.what());
    }
}

// Decodes a value of this type from the bytes. Throws codec_error as
// unpack_object does, and if the object has another type.
template <typename Value>
Value unpack_value(std::string_view bytes, std::string_view name)
{
    const auto handle = unpack_object(bytes, name);
    try
    {
        return handle.get().template as<Value>();
    }
    catch (const msgpack::type_error& ec)
    {
        throw codec_error(std::string(name) + ": " + ec.what());
    }
}

// An enumeration that is encoded as its number. A function enum_size in its
// namespace returns the number of its values; decoding rejects numbers outside
// of this range.
template <typename Value>
concept coded_enum = std::is_enum_v<Value> && requires(Value v)
{
    enum_size(v);
};

} // namespace parsleyplank

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    // Decodes a struct from the encoding of its only member, value.
    template <typename Wrapped>
    struct convert_wrapped
    {
        const msgpack::object& operator()(const msgpack::object& o,
                                          Wrapped& wrapped) const
        {
            o.convert(wrapped.value);
            return o;
        }
    };

    // Encodes a struct as its only member, value.
    template <typename Wrapped>
    struct pack_wrapped
    {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& o,
                                   const Wrapped& wrapped) const
        {
            o.pack(wrapped.value);
            return o;
        }
    };

    template <typename Tag>
    struct convert<parsleyplank::name_id<Tag>>
        : convert_wrapped<parsleyplank::name_id<Tag>>
    {
    };
    template <typename Tag>
    struct pack<parsleyplank::name_id<Tag>>
        : pack_wrapped<parsleyplank::name_id<Tag>>
    {
    };
    template <typename Tag>
    struct convert<parsleyplank::number_id<Tag>>
        : convert_wrapped<parsleyplank::number_id<Tag>>
    {
    };
    template <typename Tag>
    struct pack<parsleyplank::number_id<Tag>>
        : pack_wrapped<parsleyplank::number_id<Tag>>
    {
    };
    template <typename Tag>
    struct convert<parsleyplank::quantity<Tag>>
        : convert_wrapped<parsleyplank::quantity<Tag>>
    {
    };
    template <typename Tag>
    struct pack<parsleyplank::quantity<Tag>>
        : pack_wrapped<parsleyplank::quantity<Tag>>
    {
    };
    template <>
    struct convert<parsleyplank::share_ppm>
        : convert_wrapped<parsleyplank::share_ppm>
    {
    };
    template <>
    struct pack<parsleyplank::share_ppm> : pack_wrapped<parsleyplank::share_ppm>
    {
    };

    template <parsleyplank::coded_enum Value>
    struct convert<Value>
    {
        const msgpack::object& operator()(const msgpack::object& o,
                                          Value& v) const
        {
            const auto n = o.as<int>();
            if (n < 0 || n >= enum_size(v))
                throw msgpack::type_error();
            v = static_cast<Value>(n);
            return o;
        }
    };
    template <parsleyplank::coded_enum Value>
    struct pack<Value>
    {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& o, const Value& v) const
        {
            return o.pack(static_cast<int>(v));
        }
    };

    template <>
    struct convert<parsleyplank::hash128_value>
    {
        const msgpack::object& operator()(const msgpack::object& o,
                                          parsleyplank::hash128_value& v) const
        {
            if (o.type != msgpack::type::ARRAY || o.via.array.size != 2)
                throw msgpack::type_error();
            o.via.array.ptr[0].convert(v.high);
            o.via.array.ptr[1].convert(v.low);
            return o;
        }
    };
    template <>
    struct pack<parsleyplank::hash128_value>
    {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& o,
                                   const parsleyplank::hash128_value& v) const
        {
            o.pack_array(2);
            o.pack(v.high);
            o.pack(v.low);
            return o;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

#endif
