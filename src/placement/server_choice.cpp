#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/placement/server_choice.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

namespace parsleyplank::placement
{

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr std::size_t min_subset_size = 3;
constexpr double min_slow_start_factor = 0.1;

struct candidate
{
    const backend_server_id* id = nullptr;
    server_state* state = nullptr;
    double weight = 0;
};

// Returns the lowest latency of the servers with samples, in milliseconds. It
// is the expected latency of servers without samples: with the mean or the
// median they would lose every comparison and never get a sample. Returns 1 if
// no server has samples; any value does, since it is the same for all servers.
double lowest_latency(const server_pool& pool)
{
    double best = std::numeric_limits<double>::infinity();
    for (const auto& [id, it] : pool.servers)
    {
        if (it.latency_ms > 0)
            best = std::min(best, it.latency_ms);
    }
    return std::isinf(best) ? 1 : best;
}

// Returns the latency of a server in milliseconds. It decays towards the lowest
// latency of the pool with the time since the last sample.
double expected_latency(const server_state& server, const choice_options& opts,
                        double best, time_point now)
{
    if (server.latency_ms <= 0)
        return best;
    const auto age = seconds_double(now - server.latency_at);
    const double keep =
        std::exp(-std::max(0.0, age / seconds_double(opts.latency_decay)));
    return server.latency_ms * keep + best * (1 - keep);
}

// Returns the expected latency multiplied by the load of the server with one
// more request.
double cost(const server_state& server, const choice_options& opts, double best,
            time_point now)
{
    double factor = 1;
    if (now - server.reported_at <= opts.max_report_age)
        factor += opts.reported_load_weight * server.reported_load;
    return (server.in_flight + 1) * factor *
           expected_latency(server, opts, best, now);
}

// Returns the servers that may serve a request now, in order of id.
std::vector<candidate>
find_candidates(server_pool& pool,
                const std::function<bool(const backend_server_id&)>& accepts,
                time_point now)
{
    std::vector<candidate> found;
    found.reserve(pool.servers.size());
    for (auto& [id, it] : pool.servers)
    {
        if (it.leaving || it.in_flight >= usable_slots(it, pool.options, now) ||
            !accepts(id))
            continue;
        found.push_back({&id, &it, slow_start_factor(it, pool.options, now)});
    }
    // The iteration order of the hash table differs between library versions.
    // Sorting keeps the draws reproducible for a given seed.
    std::ranges::sort(found, {}, [](const candidate& it) { return *it.id; });
    return found;
}

// Draws a candidate by weight and removes it from the list.
candidate draw(std::vector<candidate>& from, std::mt19937_64& rng)
{
    double total = 0;
    std::ranges::for_each(from,
                          [&](const candidate& it) { total += it.weight; });
    double at = std::uniform_real_distribution<double>(0, total)(rng);
    auto it = std::ranges::find_if(from,
                                   [&](const candidate& one)
                                   {
                                       at -= one.weight;
                                       return at < 0;
                                   });
    // Rounding can leave a remainder after the last candidate.
    if (it == from.end())
        it = std::prev(from.end());
    const auto drawn = *it;
    from.erase(it);
    return drawn;
}

} // namespace

std::vector<backend_server_id>
choose_subset(const instance_id& self, const upstream_id& upstream,
              std::span<const backend_server_id> servers,
              std::uint32_t connection_budget, std::uint32_t instances,
              std::uint32_t slots_per_server)
{
    const auto part = connection_budget / std::max(1U, instances);
    const std::size_t wanted = std::max<std::size_t>(
        min_subset_size, part / std::max(1U, slots_per_server));
    const auto key = upstream.value + '/' + self.value;
    std::vector<backend_server_id> order(servers.begin(), servers.end());
    std::ranges::sort(
        order, {},
        [&](const backend_server_id& id)
        { return std::pair(~rendezvous_weight(key, id.value), id.value); });
    order.resize(std::min(wanted, order.size()));
    return order;
}

void set_members(server_pool& pool, std::span<const backend_server_id> members,
                 time_point now)
{
    // If all servers are new, there is no warm server to prefer, and a slow
    // start of all would only reduce the number of usable slots.
    const auto slow_start_began =
        pool.servers.empty() ? now - pool.options.slow_start : now;
    std::erase_if(
        pool.servers, [&](const auto& it)
        { return std::ranges::find(members, it.first) == members.end(); });
    for (const auto& id : members)
    {
        const auto [it, added] = pool.servers.try_emplace(id);
        if (added)
            it->second.slow_start_began = slow_start_began;
    }
}

void set_leaving(server_pool& pool, const backend_server_id& id, bool leaving)
{
    if (const auto it = pool.servers.find(id); it != pool.servers.end())
        it->second.leaving = leaving;
}

void restart_slow_start(server_pool& pool, const backend_server_id& id,
                        time_point now)
{
    if (const auto it = pool.servers.find(id); it != pool.servers.end())
    {
        it->second.slow_start_began = now;
        it->second.latency_ms = 0;
    }
}

double slow_start_factor(const server_state& server,
                         const choice_options& options, time_point now)
{
    if (options.slow_start <= std::chrono::seconds::zero())
        return 1;
    const double part = seconds_double(now - server.slow_start_began) /
                        seconds_double(options.slow_start);
    return std::clamp(part, min_slow_start_factor, 1.0);
}

std::uint32_t usable_slots(const server_state& server,
                           const choice_options& options, time_point now)
{
    const double slots = std::floor(options.slots_per_server *
                                    slow_start_factor(server, options, now));
    return std::max(1U, static_cast<std::uint32_t>(slots));
}

const backend_server_id*
choose_server(server_pool& pool,
              const std::function<bool(const backend_server_id&)>& accepts,
              time_point now, std::mt19937_64& rng)
{
    auto candidates = find_candidates(pool, accepts, now);
    if (candidates.empty())
        return nullptr;
    auto chosen = draw(candidates, rng);
    if (!candidates.empty())
    {
        const auto other = draw(candidates, rng);
        const double best = lowest_latency(pool);
        if (cost(*other.state, pool.options, best, now) <
            cost(*chosen.state, pool.options, best, now))
            chosen = other;
    }
    ++chosen.state->in_flight;
    return chosen.id;
}

void finish_request(server_pool& pool, const backend_server_id& id,
                    std::chrono::microseconds latency, time_point now)
{
    const auto it = pool.servers.find(id);
    if (it == pool.servers.end())
        return;
    auto& server = it->second;
    if (server.in_flight > 0)
        --server.in_flight;
    if (latency <= std::chrono::microseconds::zero())
        return;
    const double sample =
        std::chrono::duration<double, std::milli>(latency).count();
    if (server.latency_ms <= 0)
        server.latency_ms = sample;
    // The average starts from the decayed latency, so that an old value does
    // not keep its weight after a long time without requests.
    const double before =
        expected_latency(server, pool.options, lowest_latency(pool), now);
    server.latency_ms =
        before + pool.options.latency_weight * (sample - before);
    server.latency_at = now;
}

void record_report(server_pool& pool, const backend_server_id& id, double load,
                   time_point now)
{
    const auto it = pool.servers.find(id);
    if (it == pool.servers.end() || std::isnan(load))
        return;
    it->second.reported_load = std::clamp(load, 0.0, 1.0);
    it->second.reported_at = now;
}

} // namespace parsleyplank::placement
