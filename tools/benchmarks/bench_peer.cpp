// Messages per second, CPU per message, and memory per peer of the transport on
// loopback. CPU is that of sender and receiver together, which run in one
// process. Usage: bench_peer [seconds per row]

#include <parsleyplank/peer/nng_transport.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

using namespace parsleyplank;
using namespace parsleyplank::peer;

namespace
{

using std::chrono::steady_clock;
using seconds = std::chrono::duration<double>;

const instance_id sender_id("entry-a");
const instance_id receiver_id("entry-b");

double cpu_seconds()
{
    constexpr double micro = 1e-6;
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) *
               micro;
}

double resident_megabytes()
{
    constexpr double mega = 1e6;
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / mega;
}

nng_settings settings_of(const instance_id& self)
{
    return {self, incarnation(1), {"127.0.0.1", 0}};
}

// Sends at the rate, or as fast as the buffer takes messages with rate 0.
void measure(std::size_t bytes, double rate, seconds duration)
{
    constexpr double micro = 1e6;
    std::atomic<std::uint64_t> arrived{0};
    nng_transport to(settings_of(receiver_id),
                     [&](const envelope&) { ++arrived; });
    nng_transport from(settings_of(sender_id), [](const envelope&) {});
    from.replace_peer(receiver_id, {"127.0.0.1", to.port()});
    const std::string body(bytes, 'x');
    while (arrived == 0)
        from.send(receiver_id, message_kind::ping, body);
    std::this_thread::sleep_for(milliseconds(200));
    const auto before = arrived.load();
    const auto dropped = from.counts().dropped_buffer_full;
    const double cpu = cpu_seconds();
    const auto start = steady_clock::now();
    std::uint64_t n = 0;
    for (seconds passed{0}; passed < duration;
         passed = steady_clock::now() - start)
    {
        if (rate > 0 && static_cast<double>(n) > passed.count() * rate)
            std::this_thread::sleep_for(milliseconds(1));
        else if (from.send(receiver_id, message_kind::ping, body))
            ++n;
        else
            std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
    const auto count = static_cast<double>(arrived - before);
    std::printf("%8zu bytes %-10s %9.0f messages/s %8.1f MB/s %8.1f us CPU per "
                "message, %llu refused\n",
                bytes, rate > 0 ? "paced" : "saturated",
                count / duration.count(),
                count * static_cast<double>(bytes) / micro / duration.count(),
                (cpu_seconds() - cpu) / count * micro,
                static_cast<unsigned long long>(
                    from.counts().dropped_buffer_full - dropped));
}

void measure_memory(int peers)
{
    constexpr double kilo = 1e3;
    nng_transport to(settings_of(receiver_id), [](const envelope&) {});
    nng_transport from(settings_of(sender_id), [](const envelope&) {});
    const double before = resident_megabytes();
    for (int n = 0; n < peers; ++n)
        from.replace_peer(instance_id("entry-" + std::to_string(n)),
                          {"127.0.0.1", to.port()});
    for (int n = 0; n < peers; ++n)
        from.send(instance_id("entry-" + std::to_string(n)), message_kind::ping,
                  "");
    while (to.counts().messages_received < static_cast<std::uint64_t>(peers))
        std::this_thread::sleep_for(milliseconds(10));
    const double grown = resident_megabytes() - before;
    std::printf("%d peers: %.1f MB resident before, %.1f kB per peer (both "
                "ends)\n",
                peers, before, grown * kilo / peers);
}

} // namespace

int main(int argc, char** argv)
{
    const seconds duration(argc > 1 ? std::stod(argv[1]) : 3.0);
    constexpr double rate = 1'000;
    measure_memory(300);
    for (const std::size_t bytes : {100, 1'000, 10'000, 100'000})
    {
        measure(bytes, 0, duration);
        measure(bytes, rate, duration);
    }
    return 0;
}
