#ifndef PARSLEYPLANK_STORE_STORE_PROTOCOL_HPP
#define PARSLEYPLANK_STORE_STORE_PROTOCOL_HPP

// Requests and responses of the store's HTTP protocol, as MessagePack arrays.
// docs/STORE-PROTOCOL.md describes them. For the adapter and the stand-in only.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyplank::store::protocol
{

inline constexpr auto get_path = "/v1/get";
inline constexpr auto list_path = "/v1/list";
inline constexpr auto swap_path = "/v1/swap";
inline constexpr auto delete_path = "/v1/delete";
inline constexpr auto watch_path = "/v1/watch";
inline constexpr auto lease_grant_path = "/v1/lease/grant";
inline constexpr auto lease_keep_path = "/v1/lease/keep";
inline constexpr auto instances_path = "/v1/instances";

// Of get and list; for list the key is the prefix.
struct read_request
{
    std::string key;

    MSGPACK_DEFINE_ARRAY(key)
};

struct swap_request
{
    std::string key;
    revision expected;
    std::string value;
    // 0: the key does not depend on a lease.
    std::uint64_t lease = 0;

    MSGPACK_DEFINE_ARRAY(key, expected, value, lease)
};

struct delete_request
{
    std::string key;
    revision expected;

    MSGPACK_DEFINE_ARRAY(key, expected)
};

struct watch_request
{
    std::string prefix;
    revision after;
    std::uint64_t wait_ms = 0;

    MSGPACK_DEFINE_ARRAY(prefix, after, wait_ms)
};

struct lease_request
{
    // Of a grant: 0. Of a renewal: the lease.
    std::uint64_t lease = 0;
    std::uint64_t ttl_ms = 0;

    MSGPACK_DEFINE_ARRAY(lease, ttl_ms)
};

struct wire_entry
{
    std::string key;
    std::string value;
    revision key_revision;

    MSGPACK_DEFINE_ARRAY(key, value, key_revision)
};

// Of get, list and watch.
struct entries_response
{
    revision store_revision;
    std::vector<wire_entry> entries;

    MSGPACK_DEFINE_ARRAY(store_revision, entries)
};

struct write_response
{
    revision store_revision;
    bool applied = false;
    revision key_revision;

    MSGPACK_DEFINE_ARRAY(store_revision, applied, key_revision)
};

struct lease_response
{
    revision store_revision;
    // 0: the lease is unknown or has lapsed.
    std::uint64_t lease = 0;

    MSGPACK_DEFINE_ARRAY(store_revision, lease)
};

} // namespace parsleyplank::store::protocol

#endif
