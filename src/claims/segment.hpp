#ifndef PARSLEYPLANK_CLAIMS_SEGMENT_HPP
#define PARSLEYPLANK_CLAIMS_SEGMENT_HPP

// Layout of one bucket of claims in the store:
//
//   claims/<bucket>/head           the current segment and references to the
//                                  sealed ones; never deleted
//   claims/<bucket>/<n>.<revision> sealed copy of segment n as of this revision
//                                  of the head; never changed
//
// Every change is a compare-and-swap of the head. Because the head is never
// deleted, a write with any delay finds another revision and fails. If segments
// could be recreated under the same key after their deletion, a writer that was
// paused for longer than the retention could continue an outdated chain of
// segments.

#include <parsleyplank/claims/message.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::claims
{

// Smallest allowed segment_bytes: room for several entries with a response of
// the largest size.
inline constexpr std::size_t min_segment_bytes = 16'384;

// Largest number of references to copies that are still to be deleted.
inline constexpr std::size_t max_retired = 64;

// Newest state of one claim in a segment.
struct claim_entry
{
    hash128_value key;
    std::uint64_t body_hash = 0;
    attempt_id attempt;
    claim_state state = claim_state::claimed;
    // Calendar time of the last change, in milliseconds since 1970.
    std::int64_t time_ms = 0;
    stored_response response;

    bool operator==(const claim_entry&) const = default;

    MSGPACK_DEFINE_ARRAY(key, body_hash, attempt, state, time_ms, response)
};

// A part of a bucket's entries, in the order in which they were added.
struct segment
{
    std::uint64_t number = 1;
    bool sealed = false;
    std::vector<claim_entry> entries;

    MSGPACK_DEFINE_ARRAY(number, sealed, entries)
};

// Reference to the copy of a sealed segment.
struct segment_ref
{
    std::uint64_t number = 0;
    // Revision of the head whose current segment was copied.
    revision head_revision;
    // Revision at which the copy was written.
    revision copy_revision;
    // XXH3 of the copy.
    std::uint64_t digest = 0;
    // Time of the newest entry of the segment, in milliseconds since 1970.
    std::int64_t newest_ms = 0;

    bool operator==(const segment_ref&) const = default;

    MSGPACK_DEFINE_ARRAY(number, head_revision, copy_revision, digest,
                         newest_ms)
};

// Value of the head key.
struct bucket_head
{
    // Sealed segments, oldest first. An entry of a later segment replaces one
    // of the same key.
    std::vector<segment_ref> sealed;
    // Segments that exceeded the retention and whose copies are still to be
    // deleted.
    std::vector<segment_ref> retired;
    segment current;

    MSGPACK_DEFINE_ARRAY(sealed, retired, current)
};

// Return the store keys of the head and of a sealed copy.
std::string head_key(std::uint32_t bucket);
std::string sealed_key(std::uint32_t bucket, const segment_ref& ref);

// Returns the size of the encoded entry in bytes.
std::size_t packed_size(const claim_entry& entry);

// Returns an upper bound in bytes for the size of a head without entries and
// with this number of references.
std::size_t head_overhead(std::size_t references);

// Returns the encoded head; the first overload encodes these entries in place
// of head.current.entries. Throws error if the value exceeds the store's limit.
std::string encode_head(const bucket_head& head,
                        std::span<const claim_entry* const> entries);
std::string encode_head(const bucket_head& head);

// Returns the encoded sealed copy of a current segment. Throws error if the
// value exceeds the store's limit.
std::string encode_sealed(segment current);

// Return the decoded value. Throw codec_error, which names the key, if the
// value can't be decoded; decode_sealed also if the segment is not sealed.
bucket_head decode_head(std::string_view value, std::string_view key);
segment decode_sealed(std::string_view value, std::string_view key);

} // namespace parsleyplank::claims

#endif
