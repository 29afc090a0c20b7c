#include <parsleyplank/config/section_tree.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/hash.hpp>

#include <algorithm>
#include <charconv>

namespace parsleyplank::config
{

namespace
{

enum class part_kind : std::uint8_t
{
    leaf = 0,
    page = 1
};

// Space for the array headers of a part.
constexpr std::size_t header_bytes = 16;

// Pages above this level are not cut by hash; its bits are used up.
constexpr unsigned max_cut_level = 10;

std::string pack_part(part_kind kind, const std::vector<std::string_view>& list)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint8_t>(kind));
    packer.pack_array(static_cast<std::uint32_t>(list.size()));
    std::ranges::for_each(list, [&](std::string_view item)
                          { buf.write(item.data(), item.size()); });
    return {buf.data(), buf.size()};
}

// Returns whether a part of this level ends after an item of this hash. Each
// level uses other bits of the hash.
bool ends_part(std::uint64_t key_hash, unsigned level)
{
    if (level == 0)
        return key_hash % leaf_items == 0;
    if (level > max_cut_level)
        return false;
    std::uint64_t bits = key_hash / leaf_items;
    for (unsigned n = 1; n < level; ++n)
        bits /= page_digests;
    return bits % page_digests == 0;
}

// Cuts the items of one level into parts. Returns for each part the item that
// stands for it on the level above: its digest and the hash of its last item.
std::vector<tree_item> cut_level(const std::vector<tree_item>& items,
                                 unsigned level, part_map& parts)
{
    const auto kind = level == 0 ? part_kind::leaf : part_kind::page;
    std::vector<tree_item> above;
    std::vector<std::string_view> list;
    std::size_t bytes = header_bytes;
    std::uint64_t last_hash = 0;
    const auto end_part = [&]
    {
        std::string part = pack_part(kind, list);
        auto digest = sha256_hex(part);
        msgpack::sbuffer buf;
        msgpack::pack(buf, msgpack::type::raw_ref(to_bytes(digest).data(), 32));
        above.push_back({last_hash, {buf.data(), buf.size()}});
        parts.insert_or_assign(std::move(digest), std::move(part));
        list.clear();
        bytes = header_bytes;
    };
    for (const tree_item& item : items)
    {
        if (item.bytes.size() + header_bytes > max_part_bytes)
            throw config_error("one item takes " +
                               std::to_string(item.bytes.size()) +
                               " bytes; a part holds at most " +
                               std::to_string(max_part_bytes));
        if (bytes + item.bytes.size() > max_part_bytes)
            end_part();
        list.emplace_back(item.bytes);
        bytes += item.bytes.size();
        last_hash = item.key_hash;
        if (ends_part(item.key_hash, level))
            end_part();
    }
    if (!list.empty() || above.empty())
        end_part();
    return above;
}

std::string short_name(const part_digest& digest)
{
    return "configuration part " + digest.substr(0, 12);
}

const std::string& find_part(const part_digest& digest, const part_map& parts)
{
    const auto it = parts.find(digest);
    if (it == parts.end())
        throw codec_error(short_name(digest) + " is missing");
    return it->second;
}

// Returns the kind of a part from its first two bytes: the header of an array
// of two and a small integer.
part_kind kind_of(const part_digest& digest, std::string_view bytes)
{
    constexpr char array_of_two = '\x92';
    if (bytes.size() < 2 || bytes[0] != array_of_two || bytes[1] > 1)
        throw codec_error(short_name(digest) + " is neither leaf nor page");
    return static_cast<part_kind>(bytes[1]);
}

// Calls the function with each entry of a part.
template <typename Function>
void for_each_entry(const part_digest& digest, std::string_view bytes,
                    Function use)
{
    const auto handle = unpack_object(bytes, short_name(digest));
    try
    {
        const msgpack::object& part = handle.get();
        if (part.type != msgpack::type::ARRAY || part.via.array.size != 2 ||
            part.via.array.ptr[1].type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        const auto& list = part.via.array.ptr[1].via.array;
        std::for_each(list.ptr, list.ptr + list.size, use);
    }
    catch (const msgpack::type_error& ec)
    {
        throw codec_error(short_name(digest) + ": " + ec.what());
    }
}

template <typename Function>
void for_each_child(const part_digest& digest, std::string_view bytes,
                    Function use)
{
    for_each_entry(
        digest, bytes,
        [&](const msgpack::object& entry)
        { use(from_bytes(entry.as<msgpack::type::raw_ref>().str())); });
}

} // namespace

part_digest build_tree(const std::vector<tree_item>& items, part_map& parts)
{
    auto level_items = cut_level(items, 0, parts);
    for (unsigned level = 1; level_items.size() > 1; ++level)
        level_items = cut_level(level_items, level, parts);
    constexpr std::size_t digest_bytes = 32;
    const std::string& packed = level_items.front().bytes;
    return from_bytes(
        std::string_view(packed).substr(packed.size() - digest_bytes));
}

void for_each_item(const part_digest& root, const part_map& parts,
                   const std::function<void(const msgpack::object&)>& use)
{
    const std::string& bytes = find_part(root, parts);
    check_part(root, bytes);
    if (kind_of(root, bytes) == part_kind::leaf)
        for_each_entry(root, bytes, use);
    else
        for_each_child(root, bytes,
                       [&](const part_digest& child)
                       { for_each_item(child, parts, use); });
}

void for_each_part(const part_digest& root, const part_map& parts,
                   const std::function<bool(const part_digest&)>& use)
{
    if (!use(root))
        return;
    const auto it = parts.find(root);
    if (it != parts.end() && kind_of(root, it->second) == part_kind::page)
        for_each_child(root, it->second,
                       [&](const part_digest& child)
                       { for_each_part(child, parts, use); });
}

void check_part(const part_digest& digest, std::string_view bytes)
{
    if (sha256_hex(bytes) != digest)
        throw codec_error(short_name(digest) + " has another digest (" +
                          std::to_string(bytes.size()) + " bytes)");
}

std::string to_bytes(const part_digest& digest)
{
    std::string bytes(digest.size() / 2, '\0');
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        unsigned n = 0;
        std::from_chars(digest.data() + 2 * i, digest.data() + 2 * i + 2, n,
                        16);
        bytes[i] = static_cast<char>(n);
    }
    return bytes;
}

part_digest from_bytes(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t digest_bytes = 32;
    if (bytes.size() != digest_bytes)
        throw codec_error("digest of " + std::to_string(bytes.size()) +
                          " bytes; 32 expected");
    part_digest digest;
    std::ranges::for_each(
        bytes,
        [&](char byte)
        {
            digest.push_back(digits[static_cast<unsigned char>(byte) >> 4U]);
            digest.push_back(digits[static_cast<unsigned char>(byte) & 0xFU]);
        });
    return digest;
}

} // namespace parsleyplank::config
