#ifndef PARSLEYPLANK_CLAIMS_BUCKET_HPP
#define PARSLEYPLANK_CLAIMS_BUCKET_HPP

// One bucket as its writer holds it in memory: the content of the store as of
// one revision of the head, the operations that wait for a write, and the rules
// for a claim or finish that meets an entry. No I/O.

#include <parsleyplank/claims/segment.hpp>
#include <parsleyplank/core/clock.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyplank::claims
{

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
    // For write and erase; 0 expects that the key is absent.
    revision expected;
    std::string value;
};

struct store_outcome
{
    enum class kind : std::uint8_t
    {
        value_read,
        applied,
        conflict,
        unavailable, // surely not written
        unknown      // maybe written
    };

    std::uint64_t id = 0;
    kind type = kind::unavailable;
    // For value_read; nothing if the key is absent.
    std::optional<std::string> value;
    // Revision of the key after the call; for value_read and applied.
    revision key_revision;
};

// A claim or a finish that waits for a write.
struct operation
{
    bool is_claim = true;
    claim_entry entry;
    time_point received_at;
};

// A claim that waits for the owner of another claim of the same key.
struct blocked_claim
{
    operation op;
    attempt_id owner;
    time_point deadline;
};

enum class bucket_phase : std::uint8_t
{
    unloaded,
    reading_head,
    reading_sealed,
    ready,
    writing_copy,   // the sealed copy of the current segment is being written
    verifying_copy, // reading a copy that existed already
    writing_head    // the head is being written
};

struct sealed_entry
{
    std::uint64_t segment = 0;
    claim_entry entry;
};

struct key_hasher
{
    std::size_t operator()(const hash128_value& key) const noexcept
    {
        return key.low;
    }
};

template <typename Value>
using key_map = std::unordered_map<hash128_value, Value, key_hasher>;

// A change of the head that is not yet in the store.
struct staged_write
{
    // The head without its entries.
    bucket_head head;
    // The current segment starts empty because the last one was sealed.
    bool sealing = false;
    // Changed entries by key, and new keys in order.
    key_map<claim_entry> changed;
    std::vector<hash128_value> added;
    std::vector<operation> operations;
    // Size of the entries in the current segment.
    std::size_t bytes = 0;
    // An operation did not fit: the current segment has to be sealed.
    bool needs_sealing = false;
};

struct bucket
{
    std::uint32_t number = 0;
    bucket_phase phase = bucket_phase::unloaded;
    time_point retry_at;
    time_point used_at;

    // Content as of head_revision.
    revision head_revision;
    bucket_head head;
    std::size_t current_bytes = 0;
    key_map<std::size_t> current_index;
    key_map<sealed_entry> sealed_index;
    std::vector<std::uint64_t> loaded_segments;

    // Head that was read, while its sealed segments are being read.
    std::optional<bucket_head> loading_head;
    revision loading_revision;

    std::deque<operation> pending;
    std::vector<blocked_claim> blocked;
    staged_write staged;
    // Reference to the copy of the current segment, once it is written.
    std::optional<segment_ref> sealed_copy;
    // Copies that no head refers to: another writer sealed the segment at a
    // later revision.
    std::vector<segment_ref> orphans;
    // Retired copies whose deletion is confirmed, and the one in flight.
    std::vector<segment_ref> deleted;
    std::optional<segment_ref> deleting;
    std::uint64_t delete_call = 0;
    time_point delete_retry_at;
    // Pending operations may be answered without a write.
    bool recheck_pending = false;
};

// What to do about an operation that meets an entry.
enum class decision : std::uint8_t
{
    write,
    ask_owner, // the key is claimed by another attempt
    granted,
    replay,
    unknown,
    key_reused,
    released,
    recorded
};

// Returns the decision; existing is the newest entry of the key or nullptr.
decision decide(const claim_entry* existing, const operation& op);

// Returns the newest entry of the key in the store as of head_revision, or
// nullptr.
const claim_entry* find_entry(const bucket& b, const hash128_value& key);

// Prepares a change that holds as many pending operations as fit into
// limit bytes of entries, in order; they move from pending to
// staged.operations. Operations that need no write, or have to wait for this
// one, stay. Retires segments whose newest entry is older than oldest_ms. With
// a copy, the change seals the current segment.
void stage(bucket& b, std::size_t limit, std::int64_t time_ms,
           std::int64_t oldest_ms);

// Returns true if the staged change is worth a write.
bool has_change(const bucket& b);

// Returns the value of the head with the staged change.
std::string encode_staged(const bucket& b);

// Makes the staged change the content as of this revision and returns its
// operations.
std::vector<operation> commit(bucket& b, revision head_revision);

// Puts the staged operations back in front of the pending ones.
void unstage(bucket& b);

// Returns the first sealed segment of the incoming head that is not loaded, or
// nullptr.
const segment_ref* first_unloaded_segment(const bucket& b);

// Replaces the head by the incoming one. All its sealed segments are loaded.
void adopt_loaded_head(bucket& b);

// Adds a sealed segment that was read.
void add_sealed(bucket& b, const segment& sealed);

// Returns the reference to a copy of the current segment with these bytes; its
// copy_revision is still to be set.
segment_ref make_segment_ref(const bucket& b, std::string_view sealed_copy);

// Returns the next copy to delete, or nothing: an orphan, or a retired one that
// is not yet confirmed deleted.
std::optional<segment_ref> next_copy_to_delete(const bucket& b);

} // namespace parsleyplank::claims

#endif
