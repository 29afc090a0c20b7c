#ifndef PARSLEYPLANK_TEST_SUPPORT_EVENTUALLY_HPP
#define PARSLEYPLANK_TEST_SUPPORT_EVENTUALLY_HPP

// Waiting for the effect of another thread.

#include <chrono>
#include <thread>

namespace parsleyplank::test
{

// Returns true as soon as the condition holds. The bound only ends a test that
// has failed; it is no measure of speed.
template <typename Condition>
bool eventually(Condition condition)
{
    const auto bound =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > bound)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace parsleyplank::test

#endif
