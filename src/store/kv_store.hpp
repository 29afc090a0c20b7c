#ifndef PARSLEYPLANK_STORE_KV_STORE_HPP
#define PARSLEYPLANK_STORE_KV_STORE_HPP

// The platform's key-value store as the rest of the system sees it. Every call
// blocks until it is answered or times out, so it belongs on a thread of its
// own, never on the control thread.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/ids.hpp>

#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::store
{

// Largest value that the store takes, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

// The history after the revision of a watch is no longer kept: list again.
class history_lost : public error
{
public:
    using error::error;
};

struct entry
{
    std::string key;
    std::string value;
    // Revision at which this key was last written; 0 means that it is absent.
    revision key_revision;
};

struct read_result
{
    std::optional<entry> found;
    // Revision of the whole store that the answer reflects. A stale answer
    // carries a lower one than a later write returned.
    revision store_revision;
};

struct list_result
{
    std::vector<entry> entries;
    revision store_revision;
};

struct write_result
{
    // False if the expected revision did not match; nothing was written.
    bool applied = false;
    // Revision of the key after the call.
    revision key_revision;
    revision store_revision;
};

class kv_store
{
public:
    virtual ~kv_store() = default;

    // Reads one key. Throws store_unavailable.
    virtual read_result get(const std::string& key) = 0;

    // Reads all keys with a prefix, in key order. Throws store_unavailable.
    virtual list_result list(const std::string& prefix) = 0;

    // Writes the value if the key's revision is the expected one; revision 0
    // expects that the key is absent. Throws store_unavailable if the call was
    // surely not taken, store_outcome_unknown if it may have been.
    virtual write_result compare_and_swap(const std::string& key,
                                          revision expected,
                                          const std::string& value) = 0;

    // Removes the key under the same condition and with the same exceptions.
    virtual write_result compare_and_delete(const std::string& key,
                                            revision expected) = 0;

    // Waits until a key with the prefix changes after the given store revision
    // or the wait is over, and returns the changed entries. The store counts a
    // waiting watch as one call. Throws store_unavailable, or history_lost if
    // the changes since that revision are no longer known.
    virtual list_result watch(const std::string& prefix, revision after,
                              milliseconds wait) = 0;
};

} // namespace parsleyplank::store

#endif
