#ifndef PARSLEYPLANK_CLAIMS_BUCKET_HPP
#define PARSLEYPLANK_CLAIMS_BUCKET_HPP

// In-memory state of one bucket on its writer: the content of the store as of
// one revision of the head, the operations that wait for a write, and the rules
// that decide a claim or finish against the stored entry of its key. No I/O.

#include <parsleyplank/claims/segment.hpp>
#include <parsleyplank/core/clock.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyplank::claims
{

// A call of the store that the caller of the writer has to carry out.
struct store_call
{
    enum class kind : std::uint8_t
    {
        read,
        write,
        erase
    };

    std::uint64_t id = 0;
    kind type = kind::read;
    std::string key;
    // Expected revision of the key, for write and erase; 0 if the key must be
    // absent.
    revision expected;
    std::string value;
};

// Outcome of a store_call.
struct store_outcome
{
    enum class kind : std::uint8_t
    {
        value_read,
        applied,
        conflict,
        unavailable, // certainly not written
        unknown      // possibly written
    };

    std::uint64_t id = 0;
    kind type = kind::unavailable;
    // Value that was read; empty if the key is absent.
    std::optional<std::string> value;
    // Revision of the key after the call, for value_read and applied.
    revision key_revision;
};

// A claim or a finish that waits for a write of the head.
struct operation
{
    bool is_claim = true;
    claim_entry entry;
    time_point received_at;
};

// A claim of a key that another attempt has claimed; it waits for the answer of
// that attempt's owner.
struct blocked_claim
{
    operation op;
    attempt_id owner;
    time_point deadline;
};

// State of a bucket's loading and writing; the content is loaded from ready on.
enum class bucket_phase : std::uint8_t
{
    unloaded,
    reading_head,
    reading_sealed,
    ready,
    writing_copy,   // writing the sealed copy of the current segment
    verifying_copy, // reading a copy that exists or may exist already
    writing_head    // writing the head
};

// Entry of a sealed segment, with the number of the segment.
struct sealed_entry
{
    std::uint64_t segment = 0;
    claim_entry entry;
};

// Uses the low half of the key hash, which is already evenly distributed.
struct key_hasher
{
    std::size_t operator()(const hash128_value& key) const noexcept
    {
        return key.low;
    }
};

template <typename Value>
using key_map = std::unordered_map<hash128_value, Value, key_hasher>;

// A change of the head that is not yet confirmed by the store.
struct staged_write
{
    // The new head, without the entries of its current segment.
    bucket_head head;
    // True if the write seals the current segment, so that the new one starts
    // empty.
    bool sealing = false;
    // Changed entries by key, and the keys that are added to the current
    // segment, in order.
    key_map<claim_entry> changed;
    std::vector<hash128_value> added;
    std::vector<operation> operations;
    // Size of the entries of the current segment in bytes.
    std::size_t bytes = 0;
    // True if an operation did not fit, so that the current segment has to be
    // sealed.
    bool needs_sealing = false;
};

// One bucket on its writer.
struct bucket
{
    std::uint32_t number = 0;
    bucket_phase phase = bucket_phase::unloaded;
    time_point retry_at;
    time_point used_at;

    // Content of the store as of head_revision.
    revision head_revision;
    bucket_head head;
    std::size_t current_bytes = 0;
    key_map<std::size_t> current_index;
    key_map<sealed_entry> sealed_index;
    std::vector<std::uint64_t> loaded_segments;

    // Head that was read while its sealed segments are not yet all loaded.
    std::optional<bucket_head> loading_head;
    revision loading_revision;

    std::deque<operation> pending;
    std::vector<blocked_claim> blocked;
    staged_write staged;
    // Reference to the written copy of the current segment. The next write of
    // the head uses it to seal the segment.
    std::optional<segment_ref> sealed_copy;
    // Copies without a reference in the head, because another writer sealed the
    // segment at a later revision. They are to be deleted.
    std::vector<segment_ref> orphans;
    // Retired copies whose deletion is confirmed, and the copy whose deletion
    // is in flight.
    std::vector<segment_ref> deleted;
    std::optional<segment_ref> deleting;
    std::uint64_t delete_call = 0;
    time_point delete_retry_at;
    // True if a pending operation may have become answerable without a write.
    bool recheck_pending = false;
};

// How an operation is handled, given the entry of its key.
enum class decision : std::uint8_t
{
    write,
    ask_owner, // claimed by another attempt, whose owner is queried
    granted,
    replay,
    unknown,
    key_reused,
    released,
    recorded
};

// Returns how to handle the operation; existing is the newest entry of the key,
// or nullptr if there is none.
decision decide(const claim_entry* existing, const operation& op);

// Returns the newest entry of the key in the content as of head_revision, or
// nullptr.
const claim_entry* find_entry(const bucket& b, const hash128_value& key);

// Stages a write with as many pending operations as fit into limit bytes of
// entries, in their order; they move from pending to staged.operations.
// Operations that need no write, or that have to wait for this one, stay
// pending. Moves the oldest segments whose newest entry is older than oldest_ms
// to the retired ones. Seals the current segment if its copy is written.
// time_ms is the time of the new entries; both times are in milliseconds since
// 1970.
void stage(bucket& b, std::size_t limit, std::int64_t time_ms,
           std::int64_t oldest_ms);

// Returns true if the staged write changes an entry or the list of sealed
// segments.
bool has_change(const bucket& b);

// Returns the value of the head after the staged write. Throws error if it
// exceeds the store's limit.
std::string encode_staged(const bucket& b);

// Applies the staged write to the content, which is then as of this revision,
// and returns its operations.
std::vector<operation> commit(bucket& b, revision head_revision);

// Cancels the staged write and puts its operations in front of the pending
// ones.
void unstage(bucket& b);

// Returns the first sealed segment of loading_head that is not loaded, or
// nullptr. Assumes that loading_head is set.
const segment_ref* first_unloaded_segment(const bucket& b);

// Replaces the head by loading_head. Assumes that all its sealed segments are
// loaded.
void adopt_loaded_head(bucket& b);

// Adds the entries of a loaded sealed segment to the index; for each key the
// entry of the latest segment counts.
void add_sealed(bucket& b, const segment& sealed);

// Returns the reference to a copy of the current segment with these bytes,
// without its copy_revision.
segment_ref make_segment_ref(const bucket& b, std::string_view sealed_copy);

// Returns the next copy to delete, or nothing if there is none: an orphan, or a
// retired copy whose deletion is not yet confirmed.
std::optional<segment_ref> next_copy_to_delete(const bucket& b);

} // namespace parsleyplank::claims

#endif
