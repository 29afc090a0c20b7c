// A zone loses power. A tenant that may be served there only sends several
// times its limit from the other zones, all the while. Counts what its servers
// run in each window.

#include "kit.hpp"

#include <algorithm>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

constexpr int rate = 100;
constexpr milliseconds quota_window{5'000};
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;
constexpr milliseconds power_lost{5'500};
// Three check-ins of a server.
constexpr milliseconds entry_lifetime{4'500};
constexpr milliseconds warmup{3'000};
constexpr double warmup_per_s = 100;
constexpr int servers_in_zone = 16;
constexpr int callers = 300;
// Time between two requests of a caller: all together send four times the
// limit.
constexpr milliseconds interval{callers * 1'000 / rate / 4};

struct run_log
{
    std::mutex mutex;
    std::vector<steady::time_point> runs;
};

struct traffic
{
    std::atomic<bool> end = false;
    std::mutex mutex;
    std::map<int, int> answers;
};

void send_requests(const address& to, int number, traffic& state)
{
    std::this_thread::sleep_for(number * interval / callers);
    std::unique_ptr<connection> peer;
    for (int n = 0; !state.end; ++n)
    {
        const auto began = steady::now();
        if (!peer)
            peer = std::make_unique<connection>(to);
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(n);
        peer->send("GET /stock/1 HTTP/1.1\r\n" +
                   caller_lines("shop.example", id, 4'000) + "\r\n");
        const auto got = read_response(*peer, "GET", milliseconds(6'000));
        if (!got || find_field(got->fields, "connection") == "close")
            peer.reset();
        {
            const std::lock_guard lock(state.mutex);
            ++state.answers[got ? got->status : 0];
        }
        std::this_thread::sleep_until(began + interval);
    }
}

int busiest_window(const std::vector<steady::time_point>& runs)
{
    std::ptrdiff_t most = 0;
    for (auto first = runs.begin(); first != runs.end(); ++first)
        most = std::max(most, std::ranges::upper_bound(first, runs.end(),
                                                       *first + quota_window) -
                                  first);
    return static_cast<int>(most);
}

std::vector<std::unique_ptr<server>>
start_servers(platform_store& store, run_log& log, const std::string& zone,
              const std::string& prefix, int count, bool cold)
{
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 0; n < count; ++n)
    {
        server_entry entry;
        entry.id = prefix + std::to_string(n);
        entry.service = "stock";
        entry.zone = zone;
        entry.capacity = 16;
        entry.warmup_left = cold ? warmup : milliseconds(0);
        servers.push_back(std::make_unique<server>(
            store, entry,
            [&log](const request& got, connection&)
            {
                {
                    const std::lock_guard lock(log.mutex);
                    log.runs.push_back(steady::now());
                }
                std::this_thread::sleep_for(milliseconds(20));
                return std::optional(
                    format_response(200, seal_lines(got), "stock"));
            }));
    }
    return servers;
}

void report(traffic& state, const std::string& part, record& out)
{
    const std::lock_guard lock(state.mutex);
    for (const auto& [status, n] : state.answers)
        out.line(part + ": " + std::to_string(n) + " answers of status " +
                 std::to_string(status));
    state.answers.clear();
}

int run(const std::string& dir, record& out)
{
    platform_store store;
    auto configuration = make_configuration(
        "00000001", {{"r-1", "shop.example", "/stock/", "safe", "stock"}});
    auto& tenant = configuration["tenants"]["rows"][0];
    tenant[3] = rate;
    tenant[4] = rate;
    tenant[5] = {"reg-1"};
    configuration["services"]["rows"][0][6] = warmup_per_s;
    store.put("op/config", configuration);
    run_log log;
    auto home = start_servers(store, log, "z-1", "i-", servers_in_zone, false);
    const auto others = start_servers(store, log, "z-2", "o-", 2, false);
    std::vector<std::unique_ptr<edge_process>> fleet;
    for (int n = 1; n <= 3; ++n)
    {
        const auto number = std::to_string(n);
        edge_settings chosen;
        chosen.id = "edge-" + number;
        chosen.region = "reg-" + number;
        chosen.zone = "z-" + number;
        chosen.ip = "127.0.0." + number;
        chosen.zones = {{"z-1", "reg-1"}, {"z-2", "reg-2"}, {"z-3", "reg-3"}};
        fleet.push_back(
            std::make_unique<edge_process>(chosen, store.where(), dir));
        fleet.back()->start();
    }
    for (const auto& it : fleet)
        if (!it->wait_ready(milliseconds(15'000)))
            return 2;
    std::this_thread::sleep_for(milliseconds(8'000));
    traffic state;
    auto threads = start_threads(
        callers,
        [&](int n)
        {
            send_requests(fleet[static_cast<std::size_t>(1 + n % 2)]->callers,
                          n, state);
        });
    std::this_thread::sleep_for(milliseconds(10'000));
    report(state, "before", out);
    const bool trouble = has_trouble();
    if (trouble)
    {
        out.line("zone z-1 loses power");
        fleet[0]->kill_now();
        std::ranges::for_each(home, [](const auto& it) { it->fall_silent(); });
    }
    std::this_thread::sleep_for(entry_lifetime);
    if (trouble)
        for (const auto& it : home)
            store.remove("servers/" + it->entry().id);
    std::this_thread::sleep_for(power_lost - entry_lifetime);
    if (trouble)
    {
        out.line("zone z-1 has power again");
        home.clear();
        home = start_servers(store, log, "z-1", "n-", servers_in_zone, true);
        fleet[0]->start();
    }
    report(state, "without power", out);
    std::this_thread::sleep_for(warmup + quota_window);
    state.end = true;
    join(threads);
    report(state, "after that", out);
    fleet.clear();
    home.clear();
    const double bound =
        (rate * std::chrono::duration<double>(quota_window).count() + rate) *
            (1 + quota_overage) +
        quota_slack;
    const int most = busiest_window(log.runs);
    out.line("runs " + std::to_string(log.runs.size()) + ", most in a window " +
             std::to_string(most) + ", bound " + std::to_string(bound));
    if (log.runs.empty())
        return 2;
    return most > bound ? 1 : 0;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        if (count != 3)
            return 2;
        record out(arguments[2]);
        const int result = run(arguments[1], out);
        out.line("result " + std::to_string(result));
        return result;
    }
    catch (const std::exception& ec)
    {
        std::cerr << ec.what() << '\n';
        return 2;
    }
}
