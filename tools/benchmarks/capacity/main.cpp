// CPU, bytes and memory of each role of an entry instance at several sizes; the
// figures of docs/CAPACITY.md come from here. Usage: bench_capacity [role...]

#include "measure.hpp"
#include <parsleyplank/core/error.hpp>

#include <algorithm>
#include <array>
#include <span>
#include <string_view>

using namespace parsleyplank::capacity;

namespace
{

struct role
{
    std::string_view name;
    void (*measure)();
};

constexpr std::array roles{role{"heartbeat", &measure_heartbeat},
                           role{"quota", &measure_quota},
                           role{"shares", &measure_share_table},
                           role{"relay", &measure_relay},
                           role{"rollout", &measure_rollout},
                           role{"lookup", &measure_lookup},
                           role{"claims", &measure_claims},
                           role{"placement", &measure_placement},
                           role{"http", &measure_http},
                           role{"transport", &measure_transport},
                           role{"store", &measure_store}};

} // namespace

int main(int argc, char** argv)
{
    const std::span<char*> wanted(argv + 1, argv + argc);
    try
    {
        for (const auto& it : roles)
            if (wanted.empty() ||
                std::ranges::any_of(wanted, [&](const char* name)
                                    { return it.name == name; }))
            {
                it.measure();
                std::printf("\n");
                std::fflush(stdout);
            }
    }
    catch (const parsleyplank::error& ec)
    {
        std::fprintf(stderr, "bench_capacity: %s\n", ec.what());
        return 1;
    }
    return 0;
}
