#ifndef PARSLEYPLANK_CONFIG_BUNDLE_HPP
#define PARSLEYPLANK_CONFIG_BUNDLE_HPP

// The stored form of a configuration: a manifest and content-addressed parts.
//
// Each section (regions, keys, client blocks, ...) is a tree of its own, so a
// change of one item of 570,000 rewrites one leaf and the few pages above it.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/config/section_tree.hpp>
#include <parsleyplank/core/codec.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::config
{

// Form of manifest and parts that this code reads and writes.
inline constexpr std::uint32_t bundle_format = 1;

// Number of changes that a manifest lists.
inline constexpr std::size_t listed_changes = 16;

// Who made an accepted change. The change id is unique to one publication.
struct change
{
    parsleyplank::epoch epoch;
    std::string publisher;
    std::string change_id;

    bool operator==(const change&) const = default;

    MSGPACK_DEFINE_ARRAY(epoch, publisher, change_id)
};

// The root part of one section.
struct section_ref
{
    // E.g. "client_blocks".
    std::string name;
    part_digest root;

    bool operator==(const section_ref&) const = default;
};

struct manifest
{
    // The change that made this manifest, then earlier ones, newest first. A
    // publisher whose answer was lost finds its change here even if others have
    // published since.
    std::vector<change> changes;
    // Sections that are not listed are empty; unknown ones are skipped.
    std::vector<section_ref> sections;

    // Returns the epoch of the newest change; 0 if there is none.
    parsleyplank::epoch epoch() const;

    bool operator==(const manifest&) const = default;
};

// Name of the section of client blocks.
inline constexpr const char* client_blocks_section = "client_blocks";

struct encoded_bundle
{
    std::vector<section_ref> sections;
    part_map parts;
};

// Returns the parts of a bundle. The same content gives the same parts in
// whatever order its items are listed. Throws config_error if one item alone
// exceeds the size of a part.
encoded_bundle encode_bundle(const bundle& content);

// Returns the bundle that the manifest describes, its items sorted by id.
// Client blocks are left out, and their parts not needed, if with_client_blocks
// is false. Throws codec_error that names the part if one is missing, damaged
// or of another digest.
bundle decode_bundle(const manifest& description, const part_map& parts,
                     bool with_client_blocks = true);

// Calls the function with each client block of the manifest, in order of the
// prefix text, without holding all of them. Throws as decode_bundle does.
void for_each_client_block(const manifest& description, const part_map& parts,
                           const std::function<void(const client_block&)>& use);

// Returns whether both manifests have the same regions and client blocks, so
// that a table made from one holds for the other.
bool same_client_blocks(const manifest& a, const manifest& b);

// Returns the digests of parts that are known to be needed and not held. Pages
// name further parts, so the caller asks again once it holds these; an empty
// answer means that all parts are held. Digests in the sorted list `complete`
// are not looked below: all parts there are known to be held. Throws
// codec_error for a damaged page.
std::vector<part_digest>
missing_parts(const manifest& description, const part_map& parts,
              bool with_client_blocks = true,
              std::span<const part_digest> complete = {});

// Returns the sorted digests of all parts that the manifest names, as far as
// its pages are held. Throws codec_error for a damaged page.
std::vector<part_digest> named_parts(const manifest& description,
                                     const part_map& parts);

// Returns the bytes of a manifest, and back. encode throws config_error if the
// manifest is too large, decode throws codec_error if the bytes are damaged or
// of a newer format.
std::string encode_manifest(const manifest& description);
manifest decode_manifest(std::string_view bytes);

} // namespace parsleyplank::config

#endif
