// Calls per second of the store adapter against the stand-in on loopback, in
// one process. Usage: bench_store [calls per row]

#include "standin/store_server.hpp"
#include <parsleyplank/store/http_kv_store.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace parsleyplank;

namespace
{

using seconds = std::chrono::duration<double>;
using work = void (*)(store::http_kv_store&, int worker, int calls,
                      const std::string& value);

void run_swaps(store::http_kv_store& store, int worker, int calls,
               const std::string& value)
{
    const auto key = "bench/" + std::to_string(worker);
    auto at = store.get(key).found.value_or(store::entry()).key_revision;
    for (int n = 0; n < calls; ++n)
        at = store.compare_and_swap(key, at, value).key_revision;
}

void run_gets(store::http_kv_store& store, int worker, int calls,
              const std::string& /*value*/)
{
    const auto key = "bench/" + std::to_string(worker);
    for (int n = 0; n < calls; ++n)
        store.get(key);
}

// Runs the work on several connections at once and prints the rate.
void measure(const char* name, work function, std::size_t bytes, int workers,
             int calls)
{
    standin::store_server server("127.0.0.1", 0);
    const store::http_settings settings{"127.0.0.1", server.port()};
    const std::string value(bytes, 'x');
    const auto run = [&](work called, int n)
    {
        std::vector<std::thread> threads;
        threads.reserve(workers);
        for (int worker = 0; worker < workers; ++worker)
            threads.emplace_back(
                [&, worker]
                {
                    store::http_kv_store store(settings);
                    called(store, worker, n, value);
                });
        std::ranges::for_each(threads, &std::thread::join);
    };
    run(&run_swaps, 1);
    const auto start = std::chrono::steady_clock::now();
    run(function, calls / workers);
    const seconds took = std::chrono::steady_clock::now() - start;
    std::printf("%-4s %8zu bytes %2d connections %8.0f calls/s\n", name, bytes,
                workers, calls / took.count());
}

} // namespace

int main(int argc, char** argv)
{
    const int calls = argc > 1 ? std::stoi(argv[1]) : 8'000;
    constexpr std::size_t large = 100'000;
    for (const std::size_t bytes :
         {std::size_t(100), std::size_t(10'000), large})
        for (const int workers : {1, 8})
        {
            const int n = bytes == large ? calls / 8 : calls;
            measure("swap", &run_swaps, bytes, workers, n);
            measure("get", &run_gets, bytes, workers, n);
        }
    return 0;
}
