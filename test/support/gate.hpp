#ifndef PARSLEYPLANK_TEST_SUPPORT_GATE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_GATE_HPP

// Events between the threads of a test, in place of sleeps.

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace parsleyplank::test
{

// Collects values from other threads.
template <typename Value>
class mailbox
{
public:
    void put(Value value)
    {
        const std::lock_guard lock(mutex);
        values.push_back(std::move(value));
        changed.notify_all();
    }

    // Returns the oldest value. Throws if none arrives within 20 s.
    Value take()
    {
        std::unique_lock lock(mutex);
        if (!changed.wait_for(lock, std::chrono::seconds(20),
                              [&] { return !values.empty(); }))
            throw std::runtime_error("an expected event did not happen");
        auto value = std::move(values.front());
        values.erase(values.begin());
        return value;
    }

    bool empty() const
    {
        const std::lock_guard lock(mutex);
        return values.empty();
    }

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<Value> values;
};

// Waits until the condition holds, looking at short intervals. Returns false
// after 20 s.
template <typename Condition>
bool eventually(Condition condition)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    for (int n = 0; n < 4'000; ++n)
    {
        if (condition())
            return true;
        never.wait_for(lock, std::chrono::milliseconds(5));
    }
    return false;
}

} // namespace parsleyplank::test

#endif
