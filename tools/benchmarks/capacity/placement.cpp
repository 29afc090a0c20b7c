// Placement: the subset of servers, and the choice of a server per request.

#include "measure.hpp"
#include <parsleyplank/placement/server_choice.hpp>

namespace parsleyplank::capacity
{

namespace
{

void measure(std::size_t n)
{
    std::vector<backend_server_id> servers;
    for (std::size_t i = 0; i < n; ++i)
        servers.emplace_back("server-" + std::to_string(i));
    const double subset = cpu_us_of(
        [&](std::size_t)
        {
            keep(placement::choose_subset(instance_id("self"),
                                          upstream_id("desk"), servers,
                                          1'000'000, 1, 4));
        },
        1e5);
    const double before = heap_bytes();
    placement::server_pool pool;
    pool.options.slots_per_server = 4;
    time_point now{std::chrono::hours(1)};
    placement::set_members(pool, servers, now);
    const double memory = heap_bytes() - before;
    std::mt19937_64 random(1);
    const std::function<bool(const backend_server_id&)> accepts =
        [](const backend_server_id&)
    {
        return true;
    };
    const double choosing = cpu_us_of(
        [&](std::size_t i)
        {
            now += std::chrono::microseconds(100);
            const auto* id =
                placement::choose_server(pool, accepts, now, random);
            if (id != nullptr)
                placement::finish_request(
                    pool, *id, std::chrono::microseconds(500 + i % 100), now);
        },
        1e5);
    std::printf("%7zu %10.1f %10.2f %10.0f\n", n, subset, choosing,
                memory / static_cast<double>(n));
}

} // namespace

void measure_placement()
{
    std::printf("placement: CPU us of the subset, and of one choice with its "
                "end; heap bytes per server\n");
    std::printf("servers  subset_us  choice_us   B/server\n");
    for (const std::size_t n : {14, 140, 1'400})
        measure(n);
}

} // namespace parsleyplank::capacity
