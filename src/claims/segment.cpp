#include <parsleyplank/claims/segment.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <algorithm>

namespace parsleyplank::claims
{

namespace
{

// Returns the bytes. Throws error if they exceed the store's limit.
std::string checked_value(const msgpack::sbuffer& buf)
{
    if (buf.size() > store::max_value_bytes)
        throw error("a claim segment of " + std::to_string(buf.size()) +
                    " bytes exceeds the store's limit");
    return {buf.data(), buf.size()};
}

} // namespace

std::string head_key(std::uint32_t bucket)
{
    return "claims/" + std::to_string(bucket) + "/head";
}

std::string sealed_key(std::uint32_t bucket, const segment_ref& ref)
{
    return "claims/" + std::to_string(bucket) + "/" +
           std::to_string(ref.number) + "." +
           std::to_string(ref.head_revision.value);
}

std::size_t packed_size(const claim_entry& entry)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, entry);
    return buf.size();
}

std::size_t head_overhead(std::size_t references)
{
    // Two array headers of up to 5 bytes, the number and the flag of the
    // segment, and five fields of up to 9 bytes per reference.
    constexpr std::size_t fixed = 64;
    constexpr std::size_t per_reference = 48;
    return fixed + per_reference * references;
}

std::string encode_head(const bucket_head& head,
                        std::span<const claim_entry* const> entries)
{
    // Writes the layout of MSGPACK_DEFINE_ARRAY without copying the entries.
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(3);
    out.pack(head.sealed);
    out.pack(head.retired);
    out.pack_array(3);
    out.pack(head.current.number);
    out.pack(head.current.sealed);
    out.pack_array(static_cast<std::uint32_t>(entries.size()));
    std::ranges::for_each(entries,
                          [&](const claim_entry* it) { out.pack(*it); });
    return checked_value(buf);
}

std::string encode_head(const bucket_head& head)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, head);
    return checked_value(buf);
}

std::string encode_sealed(segment current)
{
    current.sealed = true;
    msgpack::sbuffer buf;
    msgpack::pack(buf, current);
    return checked_value(buf);
}

bucket_head decode_head(std::string_view value, std::string_view key)
{
    return unpack_value<bucket_head>(value, key);
}

segment decode_sealed(std::string_view value, std::string_view key)
{
    auto seg = unpack_value<segment>(value, key);
    if (!seg.sealed)
        throw codec_error(std::string(key) + ": the segment is not sealed");
    return seg;
}

} // namespace parsleyplank::claims
