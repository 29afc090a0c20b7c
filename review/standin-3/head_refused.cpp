// Callers send pairs of requests on kept connections: a HEAD request that asks
// whether an article is there, then an order. The operator removes the route of
// the first. Counts the answers that begin with bytes that are no answer, and
// the orders that have run behind such bytes.

#include "kit.hpp"

#include <algorithm>
#include <exception>
#include <iostream>
#include <set>

using namespace review;

namespace
{

constexpr int callers = 4;
constexpr milliseconds interval{100};
// Time before and after the change.
constexpr milliseconds part{6'000};

struct tally
{
    std::mutex mutex;
    std::map<int, int> heads;
    std::map<int, int> orders;
    int no_answer = 0;
    std::set<std::string> unreadable;
};

void note(tally& counts, const std::string& id, const std::string& begin,
          record& out)
{
    const std::lock_guard lock(counts.mutex);
    ++counts.no_answer;
    counts.unreadable.insert(id);
    if (counts.no_answer <= 5)
        out.line("POST " + id + ": the answer begins with '" +
                 begin.substr(0, begin.find('\r')) + "'");
}

// Sends pairs of requests, and connects anew when an answer is unreadable.
void send_pairs(const address& to, const std::string& name, tally& counts,
                record& out)
{
    constexpr milliseconds timeout{4'000};
    const auto until = steady::now() + 2 * part;
    std::unique_ptr<connection> peer;
    for (int n = 0; steady::now() < until; ++n)
    {
        std::this_thread::sleep_for(interval);
        if (!peer)
            peer = std::make_unique<connection>(to);
        const auto id = name + "-" + std::to_string(n);
        peer->send("HEAD /stock/1 HTTP/1.1\r\n" +
                   caller_lines("shop.example", id + "h", 4'000) + "\r\n");
        const auto head = read_response(*peer, "HEAD", timeout);
        if (!head || find_field(head->fields, "connection") == "close")
        {
            peer.reset();
            continue;
        }
        peer->send("POST /order/1 HTTP/1.1\r\n" +
                   caller_lines("shop.example", id + "o", 4'000) +
                   "Content-Length: 0\r\n\r\n");
        const bool came = !peer->rest.empty() || peer->read_more(timeout);
        if (came && !peer->rest.starts_with("HTTP/1.1 "))
        {
            // The order runs meanwhile.
            peer->read_more(milliseconds(200));
            note(counts, id + "o", peer->rest, out);
            peer.reset();
            continue;
        }
        const auto order = read_response(*peer, "POST", timeout);
        const std::lock_guard lock(counts.mutex);
        ++counts.heads[head->status];
        ++counts.orders[order ? order->status : 0];
        if (!order)
            peer.reset();
    }
}

int run(const std::string& dir, record& out)
{
    platform_store store;
    const route stock{"r-1", "shop.example", "/stock/", "safe", "shop"};
    const route order{"r-2", "shop.example", "/order/", "unsafe", "shop"};
    store.put("op/config", make_configuration("00000001", {stock, order}));
    std::mutex mutex;
    std::set<std::string> ran;
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 2; ++n)
    {
        server_entry entry;
        entry.id = "i-" + std::to_string(n);
        entry.service = "shop";
        entry.zone = "z-1";
        servers.push_back(std::make_unique<server>(
            store, entry,
            [&](const request& got, connection&)
            {
                {
                    const std::lock_guard lock(mutex);
                    ran.insert(
                        find_field(got.fields, "parsleyplank-request-id"));
                }
                std::this_thread::sleep_for(milliseconds(10));
                if (got.method == "HEAD")
                    return std::optional("HTTP/1.1 200 OK\r\n" +
                                         seal_lines(got) +
                                         "Content-Length: 5\r\n\r\n");
                return std::optional(
                    format_response(200, seal_lines(got), "taken"));
            }));
    }
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
    tally counts;
    auto threads = start_threads(
        callers, [&](int n)
        { send_pairs(edge.callers, "c" + std::to_string(n), counts, out); });
    std::this_thread::sleep_for(part);
    auto routes = std::vector{order};
    if (!has_trouble())
        routes.push_back(stock);
    store.put("op/config", make_configuration("00000002", routes));
    out.line("version 2 acknowledged, routes " + std::to_string(routes.size()));
    join(threads);
    edge.kill_now();
    servers.clear();
    for (const auto& [status, n] : counts.heads)
        out.line("HEAD answered " + std::to_string(status) + ": " +
                 std::to_string(n));
    for (const auto& [status, n] : counts.orders)
        out.line("POST answered " + std::to_string(status) + ": " +
                 std::to_string(n));
    const auto run_unread =
        std::ranges::count_if(counts.unreadable, [&](const std::string& it)
                              { return ran.contains(it); });
    out.line("answers that begin with other bytes " +
             std::to_string(counts.no_answer) + ", orders that ran behind " +
             "such bytes " + std::to_string(run_unread) + ", requests run " +
             std::to_string(ran.size()));
    if (counts.orders[200] == 0)
        return 2;
    return counts.no_answer > 0 ? 1 : 0;
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
