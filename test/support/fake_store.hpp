#ifndef PARSLEYPLANK_TEST_SUPPORT_FAKE_STORE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_FAKE_STORE_HPP

// The stand-in store in the test's own process, without HTTP. Several objects
// may share one core, as several instances share one store.

#include "standin/store_core.hpp"
#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/store/instance_list.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <functional>

namespace parsleyplank::test
{

// Called in place of waiting: for the delay of a slow store and for the time
// of a watch without changes. A test advances its clock here, or writes a key.
using wait_handler = std::function<void(milliseconds)>;

// Throws as the HTTP adapter does: store_unavailable while the store is down
// and for a read that hangs; store_outcome_unknown for a write that hangs (it
// has no effect) and for a write whose answer is lost (it took effect).
class fake_store final : public store::kv_store
{
public:
    // The core and the clock must live as long as this object.
    fake_store(standin::store_core& core, const clock& time,
               wait_handler waiting = nullptr);

    store::read_result get(const std::string& key) override;
    store::list_result list(const std::string& prefix) override;
    store::write_result compare_and_swap(const std::string& key,
                                         revision expected,
                                         const std::string& value) override;
    store::write_result compare_and_delete(const std::string& key,
                                           revision expected) override;
    store::list_result watch(const std::string& prefix, revision after,
                             milliseconds wait) override;

private:
    void wait_for(milliseconds delay);
    template <typename Function>
    auto read_call(std::uint64_t standin::arrival_counts::*count,
                   const std::string& key, Function function);
    template <typename Function>
    store::write_result
    write_call(std::uint64_t standin::arrival_counts::*count,
               const std::string& key, Function function);

    standin::store_core& core;
    const clock& time;
    wait_handler waiting;
};

// The instance list of the same core.
class fake_instance_list final : public store::instance_list
{
public:
    fake_instance_list(standin::store_core& core, const clock& time);

    std::vector<store::listed_instance> read() override;

private:
    standin::store_core& core;
    const clock& time;
};

} // namespace parsleyplank::test

#endif
