// A planned stop of one of two instances. A tenant that was quiet sends its
// burst, first to the instance that is being stopped, then to the other.
// Counts what its servers run in each window.

#include "kit.hpp"

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

constexpr int rate = 200;
constexpr int burst = 1'000;
constexpr milliseconds quota_window{5'000};
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;
// Time from the signal to the first request; connections are accepted longer.
constexpr milliseconds quiet{1'950};
constexpr milliseconds first_part{400};
constexpr int callers = 40;

struct run_log
{
    std::mutex mutex;
    std::vector<steady::time_point> runs;
};

struct tally
{
    std::mutex mutex;
    std::map<int, int> answers;
};

// Sends one request after the other, and connects anew when the instance closes
// the connection.
void send_requests(const address& to, const std::string& name,
                   steady::time_point until, tally& counts)
{
    constexpr milliseconds pause{20};
    std::unique_ptr<connection> peer;
    for (int n = 0; steady::now() < until; ++n)
    {
        if (!peer)
            peer = std::make_unique<connection>(to);
        const auto id = name + "-" + std::to_string(n);
        const bool sent =
            peer->is_open() &&
            peer->send("GET /stock/1 HTTP/1.1\r\n" +
                       caller_lines("shop.example", id, 4'000) + "\r\n");
        const auto got = sent ? read_response(*peer, "GET", milliseconds(4'000))
                              : std::nullopt;
        {
            const std::lock_guard lock(counts.mutex);
            ++counts.answers[got ? got->status : 0];
        }
        if (!got || find_field(got->fields, "connection") == "close")
            peer.reset();
        if (!got || got->status != 200)
            std::this_thread::sleep_for(pause);
    }
}

void send_together(const address& to, const std::string& name,
                   milliseconds time, record& out)
{
    tally counts;
    const auto until = steady::now() + time;
    auto threads = start_threads(
        callers, [&](int n)
        { send_requests(to, name + std::to_string(n), until, counts); });
    join(threads);
    for (const auto& [status, n] : counts.answers)
        out.line(name + ": " + std::to_string(n) + " answers of status " +
                 std::to_string(status));
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

int run(const std::string& dir, record& out)
{
    platform_store store;
    auto configuration = make_configuration(
        "00000001", {{"r-1", "shop.example", "/stock/", "safe", "stock"}});
    auto& tenant = configuration["tenants"]["rows"][0];
    tenant[3] = rate;
    tenant[4] = burst;
    store.put("op/config", configuration);
    run_log log;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<edge_process>> fleet;
    for (int n = 0; n < 6; ++n)
    {
        server_entry entry;
        entry.id = "i-" + std::to_string(n);
        entry.service = "stock";
        entry.zone = n % 2 == 0 ? "z-1" : "z-2";
        entry.capacity = 32;
        servers.push_back(std::make_unique<server>(
            store, entry,
            [&log](const request& got, connection&)
            {
                {
                    const std::lock_guard lock(log.mutex);
                    log.runs.push_back(steady::now());
                }
                std::this_thread::sleep_for(milliseconds(10));
                return std::optional(
                    format_response(200, seal_lines(got), "stock"));
            }));
    }
    for (int n = 1; n <= 2; ++n)
    {
        const auto number = std::to_string(n);
        edge_settings chosen;
        chosen.id = "edge-" + number;
        chosen.region = "reg-" + number;
        chosen.zone = "z-" + number;
        chosen.ip = "127.0.0." + number;
        chosen.zones = {{"z-1", "reg-1"}, {"z-2", "reg-2"}};
        fleet.push_back(
            std::make_unique<edge_process>(chosen, store.where(), dir));
        fleet.back()->start();
    }
    for (const auto& it : fleet)
        if (!it->wait_ready(milliseconds(15'000)))
            return 2;
    // The instances have agreed on their parts, and the burst is there.
    std::this_thread::sleep_for(milliseconds(20'000));
    if (has_trouble())
    {
        out.line("SIGTERM to edge-1");
        fleet[0]->signal(SIGTERM);
    }
    std::this_thread::sleep_for(quiet);
    send_together(fleet[0]->callers, "at edge-1 ", first_part, out);
    send_together(fleet[1]->callers, "at edge-2 ", quota_window, out);
    fleet.clear();
    servers.clear();
    const double bound =
        (rate * std::chrono::duration<double>(quota_window).count() + burst) *
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
