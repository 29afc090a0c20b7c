// A server spoils a few of its answers: it sends bytes that are not its
// response, with neither the id of the request nor the seal. Counts the
// successes without a seal that callers get.

#include "kit.hpp"

#include <algorithm>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

constexpr int instances = 3;
constexpr int orders = 70;
constexpr milliseconds pause{350};
// One in 20 answers of one of the two servers.
constexpr int spoilt_each = 20;

std::string spoilt_bytes()
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage";
}

struct tally
{
    std::mutex mutex;
    int sealed = 0;
    int unsealed = 0;
    int failed = 0;
};

// A caller that sends an order now and then, each on a new connection.
void send_orders(const address& to, const std::string& name, tally& counts,
                 record& out)
{
    for (int n = 0; n < orders; ++n)
    {
        std::this_thread::sleep_for(pause);
        const auto id = name + "-" + std::to_string(n);
        connection peer(to);
        std::optional<response> got;
        if (peer.send("POST /order/1 HTTP/1.1\r\n" +
                      caller_lines("shop.example", id, 4'000) +
                      "Parsleyplank-Affinity-Key: " + std::to_string(n) +
                      "\r\nContent-Length: 0\r\n\r\n"))
            got = read_response(peer, "POST", milliseconds(5'000));
        const std::lock_guard lock(counts.mutex);
        if (!got || got->status != 200)
        {
            ++counts.failed;
            continue;
        }
        const auto seal = find_field(got->fields, "parsleyplank-response-seal");
        if (seal == "seal-" + id)
        {
            ++counts.sealed;
            continue;
        }
        ++counts.unsealed;
        out.line("POST " + id + ": status 200 without a seal, body '" +
                 got->body + "'");
    }
}

int run(const std::string& dir, record& out)
{
    platform_store store;
    auto configuration = make_configuration(
        "00000001", {{"r-1", "shop.example", "/order/", "unsafe", "shop"}});
    constexpr std::size_t affinity_column = 10;
    configuration["routes"]["rows"][0][affinity_column] = true;
    store.put("op/config", configuration);
    const bool trouble = has_trouble();
    std::atomic<int> answered = 0;
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 2; ++n)
    {
        server_entry entry;
        entry.id = "i-" + std::to_string(n);
        entry.service = "shop";
        entry.zone = "z-1";
        servers.push_back(std::make_unique<server>(
            store, entry,
            [&, spoils = trouble && n == 1](const request& got, connection&)
            {
                std::this_thread::sleep_for(milliseconds(20));
                return std::optional(
                    spoils && ++answered % spoilt_each == 0
                        ? spoilt_bytes()
                        : format_response(200, seal_lines(got), "whole"));
            }));
    }
    std::vector<std::unique_ptr<edge_process>> fleet;
    for (int n = 1; n <= instances; ++n)
    {
        edge_settings chosen;
        chosen.id = "edge-" + std::to_string(n);
        chosen.region = "reg-1";
        chosen.zone = "z-1";
        chosen.ip = "127.0.0." + std::to_string(n);
        chosen.zones = {{"z-1", "reg-1"}};
        fleet.push_back(
            std::make_unique<edge_process>(chosen, store.where(), dir));
        fleet.back()->start();
    }
    for (const auto& it : fleet)
        if (!it->wait_ready(milliseconds(15'000)))
            return 2;
    std::this_thread::sleep_for(milliseconds(1'000));
    tally counts;
    auto threads = start_threads(
        instances,
        [&](int n)
        {
            send_orders(fleet[static_cast<std::size_t>(n)]->callers,
                        "c" + std::to_string(n), counts, out);
        });
    join(threads);
    fleet.clear();
    servers.clear();
    out.line("successes with a seal " + std::to_string(counts.sealed) +
             ", without " + std::to_string(counts.unsealed) + ", failures " +
             std::to_string(counts.failed) + ", answers of the server " +
             std::to_string(answered));
    if (counts.sealed == 0)
        return 2;
    return counts.unsealed > 0 ? 1 : 0;
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
