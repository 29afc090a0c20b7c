// Lowers the limit of a tenant that is quiet, waits until the lower limit
// binds, and lets the tenant send far more than that. Counts what its servers
// run in each window.

#include "kit.hpp"

#include <algorithm>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

constexpr int first_rate = 300;
constexpr int lower_rate = 10;
constexpr milliseconds quota_window{5'000};
constexpr milliseconds config_apply{2'500};
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;

// The bursts equal the rates.
json limited_configuration(const std::string& version, int rate)
{
    auto body = make_configuration(
        version, {{"r-1", "shop.example", "/stock/", "safe", "stock"}});
    auto& row = body["tenants"]["rows"][0];
    row[3] = rate;
    row[4] = rate;
    return body;
}

struct run_log
{
    std::mutex mutex;
    std::vector<steady::time_point> runs;
};

// Sends one request after the other until then.
void send_requests(const address& to, const std::string& name,
                   steady::time_point until, record& out)
{
    constexpr milliseconds timeout{4'000};
    connection peer(to);
    std::map<int, int> answers;
    for (int n = 0; steady::now() < until; ++n)
    {
        const auto id = name + "-" + std::to_string(n);
        if (!peer.send("GET /stock/1 HTTP/1.1\r\n" +
                       caller_lines("shop.example", id, 4'000) + "\r\n"))
            break;
        const auto got = read_response(peer, "GET", timeout);
        ++answers[got ? got->status : 0];
        if (!got)
            break;
        // A caller that is refused comes back at once.
        std::this_thread::sleep_for(milliseconds(got->status == 200 ? 5 : 20));
    }
    for (const auto& [status, count] : answers)
        out.line("caller " + name + ": " + std::to_string(count) +
                 " answers of status " + std::to_string(status));
}

// Returns the largest number of runs in a window.
int busiest_window(const std::vector<steady::time_point>& runs)
{
    int most = 0;
    for (auto first = runs.begin(); first != runs.end(); ++first)
    {
        const auto last =
            std::ranges::upper_bound(first, runs.end(), *first + quota_window);
        most = std::max(most, static_cast<int>(last - first));
    }
    return most;
}

int run(const std::string& dir, record& out)
{
    const std::map<std::string, std::string> zones{
        {"z-1", "reg-1"}, {"z-2", "reg-2"}, {"z-3", "reg-3"}};
    platform_store store;
    store.put("op/config", limited_configuration("00000001", first_rate));
    run_log log;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<edge_process>> fleet;
    for (int n = 1; n <= 3; ++n)
    {
        const auto number = std::to_string(n);
        server_entry entry;
        entry.id = "i-" + number;
        entry.service = "stock";
        entry.zone = "z-" + number;
        entry.capacity = 16;
        servers.push_back(
            std::make_unique<server>(store, entry,
                                     [&log](const request& got, connection&)
                                     {
                                         const std::lock_guard lock(log.mutex);
                                         log.runs.push_back(steady::now());
                                         return std::optional(format_response(
                                             200, seal_lines(got), "stock"));
                                     }));
        edge_settings chosen;
        chosen.id = "edge-" + number;
        chosen.region = "reg-" + number;
        chosen.zone = "z-" + number;
        chosen.ip = "127.0.0." + number;
        chosen.zones = zones;
        fleet.push_back(
            std::make_unique<edge_process>(chosen, store.where(), dir));
        fleet.back()->start();
    }
    for (const auto& it : fleet)
        if (!it->wait_ready(milliseconds(15'000)))
            return 2;
    // The instances have agreed on their parts, and the burst is there.
    std::this_thread::sleep_for(milliseconds(12'000));
    const bool trouble = has_trouble();
    const int rate = trouble ? lower_rate : first_rate;
    store.put("op/config", limited_configuration("00000002", rate));
    out.line("version 2 acknowledged, ratePerS and burst " +
             std::to_string(rate));
    std::this_thread::sleep_for(config_apply + quota_window +
                                milliseconds(1'000));
    out.line("callers begin");
    const auto until = steady::now() + quota_window;
    auto callers = start_threads(
        9,
        [&](int n)
        {
            send_requests(fleet[static_cast<std::size_t>(n % 3)]->callers,
                          "c" + std::to_string(n), until, out);
        });
    join(callers);
    fleet.clear();
    servers.clear();
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
