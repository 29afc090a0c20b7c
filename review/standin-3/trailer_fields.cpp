// Callers send requests ahead on their connections, as chunks with trailers of
// many short fields. The platform's part: it kills a process whose memory
// exceeds the limit of its machine, and starts it again. Two machines are in
// use.

#include "kit.hpp"

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

constexpr int memory_mb = 260;
constexpr std::size_t bytes_per_mb = 1'048'576;
constexpr int machines = 2;
constexpr int rounds = 3;
constexpr int connections = 300;
// Requests behind the first one of each connection.
constexpr int sent_ahead = 15;
// Fields of the trailer of each request.
constexpr int fields = 3'600;

std::string make_trailer()
{
    std::string text;
    for (int n = 0; n < fields; ++n)
        text += "a:\r\n";
    return text;
}

// What a caller sends: a request that takes long, and small uploads to a path
// without a route behind it.
std::string make_requests(const std::string& name, bool trouble)
{
    const auto trailer = trouble ? make_trailer() : std::string();
    auto text = "GET /stock/1 HTTP/1.1\r\n" +
                caller_lines("shop.example", name, 4'000) + "\r\n";
    for (int n = 0; n < sent_ahead; ++n)
    {
        text += "POST /none/1 HTTP/1.1\r\n" +
                caller_lines("shop.example", name + "-" + std::to_string(n),
                             4'000) +
                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
        text += trailer;
        text += "\r\n";
    }
    return text;
}

// One machine with its process, as the platform sees it.
struct machine
{
    std::unique_ptr<edge_process> process;
    std::size_t peak = 0;
    int ends = 0;
};

// Returns whether the process had to be killed for its memory.
bool watch_memory(machine& it, milliseconds time, const std::atomic<bool>& done)
{
    constexpr milliseconds interval{5};
    const auto until = steady::now() + time;
    while (steady::now() < until && !done)
    {
        const auto bytes = it.process->resident_bytes();
        it.peak = std::max(it.peak, bytes);
        if (bytes > memory_mb * bytes_per_mb || it.process->ended())
            return true;
        std::this_thread::sleep_for(interval);
    }
    return false;
}

void send_crowd(const address& to, const std::string& name, bool trouble)
{
    constexpr milliseconds linger{4'000};
    auto callers = start_threads(
        connections,
        [&](int n)
        {
            connection peer(to);
            if (!peer.is_open())
                return;
            peer.send(make_requests(name + "-" + std::to_string(n), trouble));
            while (peer.read_more(linger))
                peer.rest.clear();
        });
    join(callers);
}

bool serves_ordinary_request(const edge_process& to)
{
    connection peer(to.callers);
    if (!peer.is_open() ||
        !peer.send("GET /stock/1 HTTP/1.1\r\n" +
                   caller_lines("shop.example", "ordinary", 4'000) + "\r\n"))
        return false;
    const auto got = read_response(peer, "GET", milliseconds(4'000));
    return got && got->status == 200;
}

// One round at one machine.
void run_round(machine& at, const std::string& name, bool trouble, record& out)
{
    constexpr milliseconds round_time{8'000};
    at.peak = 0;
    std::atomic<bool> done = false;
    std::thread crowd(
        [&]
        {
            send_crowd(at.process->callers, name, trouble);
            done = true;
        });
    const bool killed = watch_memory(at, round_time, done);
    if (killed)
    {
        ++at.ends;
        at.process->kill_now();
    }
    crowd.join();
    out.line(name + ": peak " + std::to_string(at.peak / bytes_per_mb) +
             " MB of " + std::to_string(memory_mb) +
             (killed ? ", process killed for its memory" : ", process lives"));
    if (killed)
    {
        std::this_thread::sleep_for(milliseconds(1'000));
        at.process->start();
        at.process->wait_ready(milliseconds(10'000));
    }
    out.line(name + ": ordinary request afterwards " +
             (serves_ordinary_request(*at.process) ? "served" : "not served"));
}

int run(const std::string& dir, record& out)
{
    platform_store store;
    store.put("op/config",
              make_configuration("00000001", {{"r-1", "shop.example", "/stock/",
                                               "safe", "stock"}}));
    server_entry entry;
    entry.id = "i-1";
    entry.service = "stock";
    entry.zone = "z-1";
    entry.capacity = 512;
    server stock(store, entry,
                 [](const request& got, connection&)
                 {
                     std::this_thread::sleep_for(milliseconds(1'500));
                     return std::optional(
                         format_response(200, seal_lines(got), "stock"));
                 });
    std::vector<machine> fleet(machines);
    for (int n = 0; n < machines; ++n)
    {
        edge_settings chosen;
        chosen.id = "edge-" + std::to_string(n + 1);
        chosen.region = "reg-1";
        chosen.zone = "z-1";
        chosen.ip = "127.0.0." + std::to_string(n + 1);
        chosen.zones = {{"z-1", "reg-1"}};
        chosen.memory_mb = memory_mb;
        auto& it = fleet[static_cast<std::size_t>(n)];
        it.process = std::make_unique<edge_process>(chosen, store.where(), dir);
        it.process->start();
    }
    for (const auto& it : fleet)
        if (!it.process->wait_ready(milliseconds(15'000)) ||
            !serves_ordinary_request(*it.process))
            return 2;
    const bool trouble = has_trouble();
    for (int n = 0; n < rounds; ++n)
    {
        auto at_once =
            start_threads(machines,
                          [&](int m)
                          {
                              run_round(fleet[static_cast<std::size_t>(m)],
                                        "machine " + std::to_string(m + 1) +
                                            " round " + std::to_string(n + 1),
                                        trouble, out);
                          });
        join(at_once);
    }
    const auto broken = std::ranges::count_if(fleet, [](const machine& it)
                                              { return it.ends >= rounds; });
    out.line("machines whose process ended three times: " +
             std::to_string(broken));
    fleet.clear();
    return broken >= machines ? 1 : 0;
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
