// A rollout of a version that is bad on one route only: half of its responses
// there are failures. The route has one in 24 of the requests of the service.

#include "kit.hpp"

#include <algorithm>
#include <exception>
#include <iostream>
#include <set>

using namespace review;

namespace
{

constexpr milliseconds rollout_duration{16'000};
constexpr milliseconds rollback{5'000};
constexpr double exposure_share = 0.1;
constexpr double exposure_slack = 50;
constexpr std::size_t counted_bad_answers = 50;
// Of 24 callers, one uses the route on which the version is bad.
constexpr int callers = 48;
constexpr int route_part = 24;
constexpr milliseconds pause{60};
constexpr milliseconds warm_work{60};
constexpr milliseconds cold_work{150};
constexpr int objects = 60;
constexpr int slots = 16;

struct arrival
{
    steady::time_point at;
    bool new_version = false;
    bool bad = false;
};

struct arrival_log
{
    std::mutex mutex;
    std::vector<arrival> arrivals;
};

struct send_log
{
    std::mutex mutex;
    std::map<std::string, steady::time_point> sent;
    std::map<int, int> answers;
};

void send_requests(const address& to, int number, const std::atomic<bool>& end,
                   send_log& log)
{
    const bool minor = number % route_part == 0;
    connection peer(to);
    for (int n = 0; !end; ++n)
    {
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(n);
        {
            const std::lock_guard lock(log.mutex);
            log.sent[id] = steady::now();
        }
        peer.send(std::string(minor ? "POST /order/1" : "GET /stock/1") +
                  " HTTP/1.1\r\n" + caller_lines("shop.example", id, 4'000) +
                  "Parsleyplank-Affinity-Key: " +
                  std::to_string((number * 7 + n) % objects) + "\r\n" +
                  (minor ? "Content-Length: 0\r\n\r\n" : "\r\n"));
        const auto got = read_response(peer, "GET", milliseconds(5'000));
        {
            const std::lock_guard lock(log.mutex);
            ++log.answers[got ? got->status : 0];
        }
        if (!got)
            return;
        std::this_thread::sleep_for(pause);
    }
}

struct fleet_of_versions
{
    arrival_log log;
    std::atomic<int> minor_answers = 0;
    std::mutex mutex;
    std::map<std::string, bool> to_new_version;
};

// What one server knows of its work.
struct workplace
{
    std::mutex mutex;
    std::set<std::string> known_objects;
    std::atomic<int> running = 0;
};

// A server that tells its load, and works faster on an object that it has
// handled before.
std::unique_ptr<server> start_server(platform_store& store,
                                     fleet_of_versions& fleet,
                                     const std::string& id,
                                     const std::string& version, bool spoils)
{
    server_entry entry;
    entry.id = id;
    entry.service = "shop";
    entry.zone = "z-1";
    entry.version = version;
    entry.capacity = slots;
    const auto place = std::make_shared<workplace>();
    return std::make_unique<server>(
        store, entry,
        [&fleet, spoils, place, is_new = version == "v2"](const request& got,
                                                          connection&)
        {
            const bool minor = got.target.starts_with("/order/");
            const bool bad = spoils && minor && fleet.minor_answers++ % 2 == 0;
            {
                const std::lock_guard lock(fleet.log.mutex);
                fleet.log.arrivals.push_back({steady::now(), is_new, bad});
            }
            {
                const std::lock_guard lock(fleet.mutex);
                fleet.to_new_version[find_field(
                    got.fields, "parsleyplank-request-id")] = is_new;
            }
            ++place->running;
            bool known = false;
            {
                const std::lock_guard lock(place->mutex);
                const auto object =
                    find_field(got.fields, "parsleyplank-affinity-key");
                known = !place->known_objects.insert(object).second;
            }
            std::this_thread::sleep_for(known ? warm_work : cold_work);
            const auto load = "Parsleyplank-Server-Load: " +
                              std::to_string(--place->running) + ",0," +
                              std::to_string(slots) + "\r\n";
            return std::optional(format_response(bad ? 500 : 200,
                                                 seal_lines(got) + load,
                                                 bad ? "failed" : "taken"));
        });
}

std::string state_of(platform_store& store)
{
    const auto value = store.value_of("status/rollout/shop");
    return value ? json::parse(*value).value("state", "") : "none";
}

int judge(const fleet_of_versions& fleet, const send_log& sends,
          steady::time_point ordered, record& out)
{
    const auto limit = ordered + rollout_duration;
    double all = 0;
    double exposed = 0;
    std::vector<steady::time_point> bad;
    for (const auto& it : fleet.log.arrivals)
    {
        if (it.at >= ordered && it.at <= limit)
        {
            all += 1;
            exposed += it.new_version ? 1 : 0;
        }
        if (it.bad)
            bad.push_back(it.at);
    }
    const double bound = all * exposure_share + exposure_slack;
    out.line("arrivals until the time limit " + std::to_string(all) +
             ", at the new version " + std::to_string(exposed) + ", bound " +
             std::to_string(bound));
    out.line("bad answers " + std::to_string(bad.size()));
    int late = 0;
    if (bad.size() >= counted_bad_answers)
    {
        const auto due = bad[counted_bad_answers - 1] + rollback;
        for (const auto& [id, is_new] : fleet.to_new_version)
            late += is_new && sends.sent.at(id) > due ? 1 : 0;
        out.line("sent to the new version later than rollback after its 50th "
                 "bad answer " +
                 std::to_string(late));
    }
    // A good version may have all requests.
    const bool is_bad = has_trouble();
    return is_bad && (exposed > bound || late > 0) ? 1 : 0;
}

int run(const std::string& dir, record& out)
{
    platform_store store;
    auto configuration = make_configuration(
        "00000001", {{"r-1", "shop.example", "/stock/", "safe", "shop"},
                     {"r-2", "shop.example", "/order/", "unsafe", "shop"}});
    constexpr std::size_t affinity_column = 10;
    for (auto& row : configuration["routes"]["rows"])
        row[affinity_column] = true;
    store.put("op/config", configuration);
    fleet_of_versions fleet;
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 3; ++n)
        servers.push_back(
            start_server(store, fleet, "i-" + std::to_string(n), "v1", false));
    edge_settings chosen;
    chosen.id = "edge-1";
    chosen.region = "reg-1";
    chosen.zone = "z-1";
    chosen.ip = "127.0.0.1";
    chosen.zones = {{"z-1", "reg-1"}};
    edge_process edge(chosen, store.where(), dir);
    edge.start();
    if (!edge.wait_ready(milliseconds(15'000)))
        return 2;
    std::atomic<bool> end = false;
    send_log sends;
    auto threads = start_threads(
        callers, [&](int n) { send_requests(edge.callers, n, end, sends); });
    // Ten seconds of ordinary traffic before the order.
    std::this_thread::sleep_for(milliseconds(10'000));
    const auto ordered = steady::now();
    store.put(
        "op/rollout/shop",
        {{"service", "shop"}, {"targetVersion", "v2"}, {"duration", "16s"}});
    for (int n = 1; n <= 3; ++n)
        servers.push_back(start_server(store, fleet, "n-" + std::to_string(n),
                                       "v2", has_trouble()));
    std::string state;
    const auto stop = ordered + rollout_duration + milliseconds(12'000);
    while (steady::now() < stop)
    {
        if (const auto now = state_of(store); now != state)
        {
            state = now;
            out.line("state of the rollout: " + state);
            // The platform stops the old servers at once.
            if (state == "completed")
                for (std::size_t n = 0; n < 3; ++n)
                {
                    store.remove("servers/" + servers[n]->entry().id);
                    servers[n]->crash();
                }
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    end = true;
    join(threads);
    edge.kill_now();
    servers.clear();
    for (const auto& [status, n] : sends.answers)
        out.line("answers of status " + std::to_string(status) + ": " +
                 std::to_string(n));
    if (sends.answers[200] == 0)
        return 2;
    return judge(fleet, sends, ordered, out);
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
