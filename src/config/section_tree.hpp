#ifndef PARSLEYPLANK_CONFIG_SECTION_TREE_HPP
#define PARSLEYPLANK_CONFIG_SECTION_TREE_HPP

// A list of sorted items as a tree of content-addressed parts.
//
// A part is the MessagePack array [kind, entries]. A leaf (kind 0) holds items,
// a page (kind 1) the digests of further parts. A part ends after an item whose
// key has a hash with certain bits zero. So an item that changes, comes or goes
// rewrites its own leaf and the pages above it, and no neighbour shifts.

#include <msgpack.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::config
{

// Largest part and largest manifest, in bytes; below the store's limit.
inline constexpr std::size_t max_part_bytes = 999'999;

// Mean number of items of a leaf and of digests of a page. Small ones keep a
// change small, large ones keep the number of parts small.
inline constexpr std::uint64_t leaf_items = 64;
inline constexpr std::uint64_t page_digests = 32;

// SHA-256 of a part, 64 lower-case hexadecimal digits.
using part_digest = std::string;

// Parts by digest.
using part_map = std::map<part_digest, std::string>;

struct tree_item
{
    // hash64 of the item's key.
    std::uint64_t key_hash = 0;
    // MessagePack form.
    std::string bytes;
};

// Adds the parts of the items to the map and returns the digest of the root.
// Throws config_error if one item alone exceeds the size of a part.
part_digest build_tree(const std::vector<tree_item>& items, part_map& parts);

// Calls the function with each item in order. Throws codec_error that names the
// part if one is missing, damaged or of another digest.
void for_each_item(const part_digest& root, const part_map& parts,
                   const std::function<void(const msgpack::object&)>& use);

// Calls the function with the digest of each part that the tree names, as far
// as its pages are held; leaves out what is below a part if the function
// returns false. Throws codec_error for a page that does not decode.
void for_each_part(const part_digest& root, const part_map& parts,
                   const std::function<bool(const part_digest&)>& use);

// Throws codec_error that names the digest if the bytes do not have it.
void check_part(const part_digest& digest, std::string_view bytes);

// Returns the 32 bytes of a digest, and back. from_bytes throws codec_error if
// there are not 32.
std::string to_bytes(const part_digest& digest);
part_digest from_bytes(std::string_view bytes);

} // namespace parsleyplank::config

#endif
