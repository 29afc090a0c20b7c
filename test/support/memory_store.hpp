#ifndef PARSLEYPLANK_TEST_SUPPORT_MEMORY_STORE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_MEMORY_STORE_HPP

// A store with leases in the test's own process, which the threads of several
// instances use at the same time. It is reachable unless a client is cut off,
// its watches wait for real time, and leases end only by a call.

#include <parsleyplank/store/lease_store.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace parsleyplank::test
{

// The contents, which all clients of a store share.
struct memory_store_data
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, store::entry> entries;
    // Lease of each key that has one.
    std::map<std::string, store::lease_id> leases;
    std::set<store::lease_id> live_leases;
    store::lease_id newest_lease;
    // Number of successful renewals, and of watches that wait now.
    std::size_t renewals = 0;
    std::size_t watches = 0;
    // All changes in order; a removal has no value and the revision 0.
    std::vector<std::pair<revision, store::entry>> history;
    // Era of the store, which rises when it goes back to a copy.
    std::uint64_t era = 0;
    // Whether watches fail at once, so that the threads of the clients can be
    // joined.
    bool closed = false;
    // If set, called before each transaction, without the mutex; may block. Set
    // before the first client is created.
    std::function<void(const store::transaction&)> before_commit;
};

// Writes a key, as the operator does.
void write_key(memory_store_data& data, const std::string& key,
               const std::string& value);

// The contents at one moment.
struct store_copy
{
    std::map<std::string, store::entry> entries;
    std::map<std::string, store::lease_id> leases;
    std::set<store::lease_id> live_leases;
    revision newest;
};

store_copy copy_store(memory_store_data& data);

// Lets the store come back from the copy in the next era: what was written
// since is gone, and its revisions are given out again.
void restore_store(memory_store_data& data, const store_copy& from);

// Lets the watches that wait and all later ones fail at once.
void close_store(memory_store_data& data);

// Whether the clients that share it are cut off from the store.
using store_cut = std::shared_ptr<std::atomic<bool>>;

// Cuts the clients off. Their calls fail; the watches that wait end only after
// their wait and the timeout of a call.
void cut_off(memory_store_data& data, const store_cut& clients);

class memory_store final : public store::lease_store
{
public:
    static constexpr milliseconds call_timeout{1'500};

    explicit memory_store(std::shared_ptr<memory_store_data> shared,
                          store_cut cut = {});

    store::read_result get(const std::string& key) override;
    store::list_result list(const std::string& prefix) override;
    store::list_result watch(const std::string& prefix, revision after,
                             milliseconds wait) override;
    store::commit_outcome commit(const store::transaction& changes) override;
    store::lease_id grant_lease(milliseconds ttl) override;
    bool renew_lease(store::lease_id lease) override;
    void end_lease(store::lease_id lease) override;

    // Conditional writes of single keys are not used by the programs under
    // test; these throw store_unavailable.
    store::write_result compare_and_swap(const std::string& key,
                                         revision expected,
                                         const std::string& value) override;
    store::write_result compare_and_delete(const std::string& key,
                                           revision expected) override;

private:
    bool is_cut_off() const;
    // Throws store_unavailable if the client is cut off.
    void check_reachable() const;

    std::shared_ptr<memory_store_data> data;
    store_cut cut;
};

} // namespace parsleyplank::test

#endif
