#ifndef PARSLEYPLANK_CLAIMS_SEGMENT_HPP
#define PARSLEYPLANK_CLAIMS_SEGMENT_HPP

// What the store holds about one bucket of claims:
//
//   claims/<bucket>/head           the current segment and references to the
//                                  sealed ones; never deleted
//   claims/<bucket>/<n>.<revision> sealed copy of segment n as the head held it
//                                  at this revision; never changed
//
// Every change is a compare-and-swap of the head. Because the head is never
// deleted, a write that was delayed for any time finds another revision and
// fails. A segment key that could be created again after its deletion would
// let a writer that slept past the retention continue an old chain.

#include <parsleyplank/claims/message.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::claims
{

// Smallest size of a segment: several entries with the largest response.
inline constexpr std::size_t min_segment_bytes = 16'384;

// Most references to copies that are still to be deleted.
inline constexpr std::size_t max_retired = 64;

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

struct segment
{
    std::uint64_t number = 1;
    bool sealed = false;
    std::vector<claim_entry> entries;

    MSGPACK_DEFINE_ARRAY(number, sealed, entries)
};

// Reference to a sealed segment.
struct segment_ref
{
    std::uint64_t number = 0;
    // Revision of the head whose current segment was copied.
    revision head_revision;
    // Revision at which the copy was written.
    revision copy_revision;
    // XXH3 of the copy.
    std::uint64_t digest = 0;
    // Time of its newest entry, in milliseconds since 1970.
    std::int64_t newest_ms = 0;

    bool operator==(const segment_ref&) const = default;

    MSGPACK_DEFINE_ARRAY(number, head_revision, copy_revision, digest,
                         newest_ms)
};

struct bucket_head
{
    // Oldest first. An entry of a later segment replaces one of the same key.
    std::vector<segment_ref> sealed;
    // Past the retention; their copies are still to be deleted.
    std::vector<segment_ref> retired;
    segment current;

    MSGPACK_DEFINE_ARRAY(sealed, retired, current)
};

// Store keys of the head and of a sealed copy.
std::string head_key(std::uint32_t bucket);
std::string sealed_key(std::uint32_t bucket, const segment_ref& ref);

// Returns the number of bytes that the entry takes in a segment.
std::size_t packed_size(const claim_entry& entry);

// Returns a bound in bytes for a head without its entries, with this number of
// references.
std::size_t head_overhead(std::size_t references);

// Returns the value to store: the head with these entries in place of
// head.current.entries. Throws error if it exceeds the store's limit.
std::string encode_head(const bucket_head& head,
                        std::span<const claim_entry* const> entries);
std::string encode_head(const bucket_head& head);

// Returns the sealed copy of a current segment, with the same exception.
std::string encode_sealed(segment current);

// Returns the decoded value. Throws codec_error naming the key.
bucket_head decode_head(std::string_view value, std::string_view key);
segment decode_sealed(std::string_view value, std::string_view key);

} // namespace parsleyplank::claims

#endif
