#ifndef PARSLEYPLANK_TEST_STANDIN_STORE_CORE_HPP
#define PARSLEYPLANK_TEST_STANDIN_STORE_CORE_HPP

// The stand-in for the platform's key-value store and instance list: state,
// rules and faults without I/O. Served over HTTP by store_server and in the
// test's own process by fake_store.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/store/instance_list.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::standin
{

// A key that exists or existed: deleted keys stay so that a watch shows them.
struct record
{
    std::string value;
    bool deleted = false;
    // Store revision of the last write or deletion.
    revision changed;
    // 0: does not depend on a lease.
    std::uint64_t lease = 0;
};

struct key_space
{
    std::map<std::string, record> records;
    revision store_revision;
};

struct lease
{
    time_point ends;
    milliseconds ttl{0};
};

// Calls that arrived, by kind, refused ones included.
struct arrival_counts
{
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t swaps = 0;
    std::uint64_t deletes = 0;
    std::uint64_t watches = 0;
    std::uint64_t leases = 0;
    std::uint64_t instance_reads = 0;
};

struct fault_switches
{
    // Refuses every call.
    bool down = false;
    // Takes no call and never answers.
    bool hang = false;
    // Delays every answer, after the call took effect.
    milliseconds slow{0};
    // Number of writes from now on that take effect without an answer.
    std::uint64_t lost_answers = 0;
    // Watches are not woken by writes and end without entries.
    bool silent_watch = false;
    // Refuses to show the instance list. Independent of the store's faults.
    bool list_down = false;
    // The instance list stays as it is now.
    bool list_frozen = false;
    // Age of a change before the instance list shows it.
    milliseconds list_lag{0};
};

struct instance_change
{
    time_point at;
    instance_id id;
    // Empty: the entry is removed.
    std::optional<store::listed_instance> entry;
};

struct store_core
{
    // For callers with several threads; the functions below do not lock it.
    std::mutex mutex;
    key_space live;
    // While set, reads and watches see this older state.
    std::optional<key_space> stale;
    std::map<std::uint64_t, lease> leases;
    std::uint64_t last_lease = 0;
    std::map<std::string, store::listed_instance> listed;
    std::vector<instance_change> pending_changes;
    fault_switches faults;
    arrival_counts counts;
};

// Reads one key, or all keys with a prefix, from the state that reads see.
store::read_result get(const store_core& core, const std::string& key);
store::list_result list(const store_core& core, const std::string& prefix);

// Returns the keys with the prefix that changed after the revision, deleted
// ones with revision 0, from the state that reads see; nothing while watches
// are silent.
store::list_result changes(const store_core& core, const std::string& prefix,
                           revision after);

// Writes the value if the key is at the expected revision and the lease, if
// not 0, is held.
store::write_result compare_and_swap(store_core& core, const std::string& key,
                                     revision expected,
                                     const std::string& value,
                                     std::uint64_t lease_id = 0);
store::write_result compare_and_delete(store_core& core, const std::string& key,
                                       revision expected);

// Uses up one of the lost answers; returns whether there was one.
bool take_lost_answer(store_core& core);

// Grants a lease and returns its id.
std::uint64_t grant_lease(store_core& core, milliseconds ttl, time_point now);

// Extends a lease by its duration; returns false if it is not held.
bool keep_lease(store_core& core, std::uint64_t id, time_point now);

// Ends a lease, or all with id 0, and deletes the keys that depend on it.
void lapse_lease(store_core& core, std::uint64_t id);

// Ends the leases whose time is over.
void lapse_due_leases(store_core& core, time_point now);

// Holds reads and watches at the present state until it is switched off.
void set_stale_reads(store_core& core, bool on);

// Adds, changes or removes an entry of the instance list.
void put_instance(store_core& core, const store::listed_instance& entry,
                  time_point now);
void remove_instance(store_core& core, const instance_id& id, time_point now);

// Returns the instance list as the platform shows it.
std::vector<store::listed_instance> read_instances(store_core& core,
                                                   time_point now);

// Switches a fault by its name: down, hang, slow_ms, lost_answers,
// stale_reads, silent_watch, lapse_lease, list_down, list_frozen, list_lag_ms.
// Throws error, which holds the name, if there is no such fault.
void set_fault(store_core& core, const std::string& name, std::uint64_t value);

} // namespace parsleyplank::standin

#endif
