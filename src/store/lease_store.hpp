#ifndef PARSLEYPLANK_STORE_LEASE_STORE_HPP
#define PARSLEYPLANK_STORE_LEASE_STORE_HPP

// A key-value store that also has leases and transactions. Like kv_store, every
// call blocks until it is answered or times out.

#include <parsleyplank/store/kv_store.hpp>

#include <string>
#include <vector>

namespace parsleyplank::store
{

// A lease; 0 means none.
using lease_id = number_id<struct lease_tag>;

struct expected_revision
{
    std::string key;
    // 0 expects that the key is absent.
    revision key_revision;
};

struct key_write
{
    std::string key;
    std::string value;
    // The key is removed when this lease ends.
    lease_id lease;
};

// Applied whole or not at all.
struct transaction
{
    std::vector<expected_revision> expected;
    std::vector<key_write> writes;
    // Removed whether they exist or not.
    std::vector<std::string> removes;
};

enum class commit_outcome
{
    applied,
    // A revision did not match; nothing was written.
    conflict,
    // The lease has ended; nothing was written.
    lease_ended
};

class lease_store : public kv_store
{
public:
    // Throws store_unavailable, or store_outcome_unknown if it may have been
    // applied or may still be.
    virtual commit_outcome commit(const transaction& changes) = 0;

    // Returns a new lease. Throws store_unavailable.
    virtual lease_id grant_lease(milliseconds ttl) = 0;

    // Renews a lease for its whole time. Returns false if it has ended. Throws
    // store_unavailable.
    virtual bool renew_lease(lease_id lease) = 0;

    // Ends a lease, which removes the keys that are attached to it. Does
    // nothing if it has ended. Throws store_unavailable, or
    // store_outcome_unknown if it may still end later.
    virtual void end_lease(lease_id lease) = 0;
};

} // namespace parsleyplank::store

#endif
