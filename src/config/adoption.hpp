#ifndef PARSLEYPLANK_CONFIG_ADOPTION_HPP
#define PARSLEYPLANK_CONFIG_ADOPTION_HPP

// Which configuration an instance holds, and whether it adopts one that arrives
// from the store or from a peer. The epoch held never goes back, whatever
// arrives: stale store responses, late peers, damaged parts.

#include <parsleyplank/config/bundle.hpp>

#include <memory>
#include <optional>

namespace parsleyplank::config
{

enum class offer_verdict
{
    wanted,     // newer than what is held: parts are being collected
    known,      // already held or being collected
    older,      // ignored: an epoch below the one held or being collected
    conflicting // ignored: same epoch, other change; the store lost data
};

struct adoption
{
    // False leaves the client blocks out of the held bundle: 570,000 of them
    // take more memory than all other state. Their parts are held in any case,
    // and make_block_table reads these.
    bool with_client_blocks = true;
    // Null until the first adoption.
    std::shared_ptr<const bundle> held;
    manifest held_manifest;
    // Sorted digests of the parts of held_manifest, all of them held.
    std::vector<part_digest> complete;
    // Newer than held_manifest; its parts are not complete yet.
    std::optional<manifest> wanted;
    // Parts of both manifests, to serve peers and to save transfers.
    part_map parts;
};

// Returns the epoch held; 0 if none.
epoch held_epoch(const adoption& state);

// Takes note of a manifest that arrived.
offer_verdict offer_manifest(adoption& state, const manifest& arrived);

// Returns the digests to ask for next; empty if nothing is wanted or nothing is
// missing.
std::vector<part_digest> missing_parts(const adoption& state);

// Takes the missing ones of the parts that arrived and returns how many these
// were. Throws codec_error if the bytes of any do not have its digest; then it
// takes none.
std::size_t offer_parts(adoption& state, const part_map& arrived);

// Adopts the wanted manifest if all its parts are held, and drops parts that it
// does not need. Returns whether the held bundle changed. Throws codec_error if
// the parts do not decode; then the state keeps what it held and forgets the
// wanted manifest.
bool try_adopt(adoption& state);

} // namespace parsleyplank::config

#endif
