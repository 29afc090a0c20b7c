#include "support/fake_store.hpp"

#include <parsleyplank/core/error.hpp>

#include <mutex>
#include <utility>

namespace parsleyplank::test
{

fake_store::fake_store(standin::store_core& core, const clock& time,
                       wait_handler waiting)
    : core(core), time(time), waiting(std::move(waiting))
{
}

void fake_store::wait_for(milliseconds delay)
{
    if (waiting && delay > milliseconds(0))
        waiting(delay);
}

// Carries out a read; the delay of a slow store comes after it.
template <typename Function>
auto fake_store::read_call(std::uint64_t standin::arrival_counts::*count,
                           const std::string& key, Function function)
{
    std::unique_lock lock(core.mutex);
    ++(core.counts.*count);
    if (core.faults.down || core.faults.hang)
        throw store_unavailable("reading '" + key + "': the store is down");
    standin::lapse_due_leases(core, time.now());
    auto result = function();
    const auto delay = core.faults.slow;
    lock.unlock();
    wait_for(delay);
    return result;
}

template <typename Function>
store::write_result
fake_store::write_call(std::uint64_t standin::arrival_counts::*count,
                       const std::string& key, Function function)
{
    std::unique_lock lock(core.mutex);
    ++(core.counts.*count);
    if (core.faults.hang)
        throw store_outcome_unknown("writing '" + key + "': no answer");
    if (core.faults.down)
        throw store_unavailable("writing '" + key + "': the store is down");
    standin::lapse_due_leases(core, time.now());
    const store::write_result result = function();
    const bool lost = standin::take_lost_answer(core);
    const auto delay = core.faults.slow;
    lock.unlock();
    wait_for(delay);
    if (lost)
        throw store_outcome_unknown("writing '" + key + "': answer lost");
    return result;
}

store::read_result fake_store::get(const std::string& key)
{
    return read_call(&standin::arrival_counts::gets, key,
                     [&] { return standin::get(core, key); });
}

store::list_result fake_store::list(const std::string& prefix)
{
    return read_call(&standin::arrival_counts::lists, prefix,
                     [&] { return standin::list(core, prefix); });
}

store::write_result fake_store::compare_and_swap(const std::string& key,
                                                 revision expected,
                                                 const std::string& value)
{
    if (value.size() > store::max_value_bytes)
        throw error("value of store key '" + key + "' is too large");
    return write_call(
        &standin::arrival_counts::swaps, key,
        [&] { return standin::compare_and_swap(core, key, expected, value); });
}

store::write_result fake_store::compare_and_delete(const std::string& key,
                                                   revision expected)
{
    return write_call(
        &standin::arrival_counts::deletes, key,
        [&] { return standin::compare_and_delete(core, key, expected); });
}

store::list_result fake_store::watch(const std::string& prefix, revision after,
                                     milliseconds wait)
{
    auto result =
        read_call(&standin::arrival_counts::watches, prefix,
                  [&] { return standin::changes(core, prefix, after); });
    if (!result.entries.empty())
        return result;
    wait_for(wait);
    const std::lock_guard lock(core.mutex);
    return standin::changes(core, prefix, after);
}

fake_instance_list::fake_instance_list(standin::store_core& core,
                                       const clock& time)
    : core(core), time(time)
{
}

std::vector<store::listed_instance> fake_instance_list::read()
{
    const std::lock_guard lock(core.mutex);
    ++core.counts.instance_reads;
    if (core.faults.list_down)
        throw store_unavailable("the instance list is down");
    return standin::read_instances(core, time.now());
}

} // namespace parsleyplank::test
