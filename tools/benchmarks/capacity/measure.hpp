#ifndef PARSLEYPLANK_TOOLS_BENCHMARKS_CAPACITY_MEASURE_HPP
#define PARSLEYPLANK_TOOLS_BENCHMARKS_CAPACITY_MEASURE_HPP

// CPU time and heap memory of a piece of code. CPU time and not elapsed time,
// since other programs share the machine.

#include <parsleyplank/core/ids.hpp>

#include <malloc.h>

#include <cstddef>
#include <cstdio>
#include <ctime>
#include <string>

namespace parsleyplank::capacity
{

// Returns the CPU time of this process in microseconds.
inline double cpu_us()
{
    constexpr double micro = 1e6;
    constexpr double nano = 1e-3;
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * micro +
           static_cast<double>(spent.tv_nsec) * nano;
}

// Returns the CPU microseconds of one call of the function, as the mean of
// enough calls to fill at least the budget. Passes the number of the call.
template <typename Function>
double cpu_us_of(const Function& function, double budget_us = 200'000)
{
    function(std::size_t(0));
    const double begin = cpu_us();
    double spent = 0;
    std::size_t n = 0;
    for (std::size_t batch = 1; spent < budget_us; batch *= 2)
    {
        for (std::size_t i = 0; i < batch; ++i)
            function(++n);
        spent = cpu_us() - begin;
    }
    return spent / static_cast<double>(n);
}

// Returns the heap bytes in use.
inline double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Keeps a result from being optimized away.
template <typename Value>
void keep(const Value& value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

inline instance_id instance_name(std::size_t n)
{
    return instance_id("entry-region-a-" + std::to_string(n));
}

// Each prints one table for its role.
void measure_heartbeat();
void measure_quota();
void measure_share_table();
void measure_relay();
void measure_rollout();
void measure_lookup();
void measure_claims();
void measure_placement();
void measure_http();
void measure_transport();
void measure_store();

} // namespace parsleyplank::capacity

#endif
