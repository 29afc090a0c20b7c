#ifndef PARSLEYPLANK_CONFIG_PUBLISH_HPP
#define PARSLEYPLANK_CONFIG_PUBLISH_HPP

// Reads the configuration in force from the store and publishes a new one.
// Parts are written first; the compare-and-swap of the manifest is the commit.

#include <parsleyplank/config/bundle.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <functional>
#include <string>

namespace parsleyplank::config
{

// Key of the manifest, and what precedes the digest in the key of a part.
inline constexpr const char* manifest_key = "state/config";
inline constexpr const char* part_key_prefix = "config/part/";

// Another publisher committed first; the message names it.
class publish_conflict : public error
{
public:
    using error::error;
};

struct publisher
{
    // Name of the operator or program, shown to those who lose a race.
    std::string name;
    // Unique per publication, e.g. from new_change_id().
    std::string change_id;
};

struct publish_limits
{
    // Attempts to read, and to write if the outcome is unknown or, for
    // modify_published, another publisher was first.
    int attempts = 8;
    // Called before attempt n >= 1 is repeated; null means no pause.
    std::function<void(int n)> pause;
};

// The configuration in force.
struct published
{
    // No changes, epoch 0, if nothing has been published.
    manifest description;
    // Store revision of the manifest; 0 if nothing has been published.
    revision key_revision;
    // Holds the pages and leaves that were read.
    part_map parts;
    bundle content;
};

// Returns a change id that no other call on any machine returns.
std::string new_change_id();

// Reads the manifest only.
published load_manifest(store::kv_store& store);

// Reads the configuration in force. Parts in `known` are not read again. Throws
// store_unavailable; codec_error if a part is damaged; error if a part is still
// missing after all attempts.
published load_published(store::kv_store& store, part_map known = {},
                         bool with_client_blocks = true,
                         const publish_limits& limits = {});

// Returns only the bundle of load_published, its epoch set.
bundle load_bundle(store::kv_store& store);

// Publishes the content as the successor of `base` and returns its epoch, which
// is that of base plus 1.
// Throws config_error with all problems if the content is not valid or is for a
// fleet of another name,
// publish_conflict if base is no longer in force, store_unavailable if nothing
// was published, store_outcome_unknown if that could not be found out.
epoch publish(store::kv_store& store, const published& base,
              const bundle& content, const publisher& by,
              const publish_limits& limits = {});

// Applies a small change to the configuration in force and publishes it;
// repeats on the new base if another publisher was first, so the function may
// be called several times. It sees no client blocks and must not add any; those
// in force stay. Returns the new epoch. Throws as publish does, and what the
// function throws.
epoch modify_published(store::kv_store& store,
                       const std::function<void(bundle&)>& modify,
                       const publisher& by, const publish_limits& limits = {});

// Deletes parts that the manifest in force does not use and that were written
// before it; returns how many. Safe beside publishers: they write every part
// that their base lacks anew after reading the base, so such a part is newer
// than the manifest or its publisher's commit fails. A reader of an older
// manifest may find parts missing and has to read the manifest again.
std::size_t remove_unused_parts(store::kv_store& store);

} // namespace parsleyplank::config

#endif
