// Case: a backend server becomes cold again while the store is down. Counts the
// requests that it gets in one second once it has been cold for the time of a
// heartbeat, and the orders that are lost when it crashes.

#include "fleet.hpp"
#include "order_client.hpp"

#include <algorithm>
#include <iostream>
#include <set>

using namespace review;

namespace
{

constexpr milliseconds heartbeat{1'500};
constexpr milliseconds warmup{3'000};
constexpr double warmup_rate = 13;
constexpr double warmup_overage = 1.5;
constexpr double warmup_slack = 5;
constexpr double most_per_s = warmup_rate * warmup_overage + warmup_slack;
// Well above the rate that it tolerates.
constexpr std::size_t crash_at = 32;
constexpr milliseconds outage{4'500};

// Returns the largest number of requests that arrived in one second while the
// upstream was cold, from the time of a heartbeat after it became cold.
std::size_t most_arrivals(const std::vector<run>& runs,
                          clock::time_point cold_since)
{
    const auto from = cold_since + heartbeat;
    std::vector<clock::time_point> times;
    for (const auto& it : runs)
        if (it.cold && it.start >= from)
            times.push_back(it.start);
    std::ranges::sort(times);
    std::size_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it)
        most = std::max(
            most, static_cast<std::size_t>(
                      std::ranges::lower_bound(it, times.end(),
                                               *it + std::chrono::seconds(1)) -
                      it));
    return most;
}

upstream& busiest(const std::vector<std::unique_ptr<upstream>>& upstreams)
{
    return **std::ranges::max_element(
        upstreams, {}, [](const auto& it) { return it->runs().size(); });
}

int run_case(const std::string& folder, const std::string& record_file)
{
    record log(record_file);
    platform_store store;
    store.put("op/config", make_configuration({{"r-order", "/order/", "unsafe",
                                                "ordre", "2000ms"}},
                                              {{"ordre", "3s", warmup_rate}}));
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (int n = 1; n <= 2; ++n)
        upstreams.push_back(std::make_unique<upstream>(
            upstream_options{"i-" + std::to_string(n), "ordre", "oslo-a", "v1",
                             8, crash_at},
            store, log, [](const std::string&) { return milliseconds(100); }));
    const auto settings = [&](const std::string& id)
    {
        return edge_settings{id,
                             "oslo",
                             "oslo-a",
                             "\"oslo-a\" = \"oslo\"\n",
                             store.endpoint(),
                             folder};
    };
    edge_process first(settings("edge-1"), log);
    edge_process second(settings("edge-2"), log);
    if (!first.wait_ready(milliseconds(20'000)) ||
        !second.wait_ready(milliseconds(20'000)))
        return not_run;
    std::vector<std::unique_ptr<order_client>> clients;
    for (int n = 1; n <= 24; ++n)
        clients.push_back(std::make_unique<order_client>(
            "c" + std::to_string(n),
            n % 2 == 0 ? first.callers_port() : second.callers_port(),
            "/order/", milliseconds(20), log));
    std::this_thread::sleep_for(std::chrono::seconds(6));
    if (has_trouble())
    {
        log.add("the store is down");
        store.set_down(true);
        for (const auto& it : upstreams)
            it->set_store_down(true);
    }
    std::this_thread::sleep_for(milliseconds(500));
    auto& cold = busiest(upstreams);
    cold.become_cold(warmup);
    std::this_thread::sleep_for(outage - milliseconds(500));
    store.set_down(false);
    for (const auto& it : upstreams)
        it->set_store_down(false);
    log.add("the store is up");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const auto& it : clients)
        it->stop();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto runs = cold.runs();
    const auto most = most_arrivals(runs, cold.cold_since());
    std::set<std::string> lost;
    for (const auto& it : runs)
        if (it.crashed)
            lost.insert(it.request);
    std::size_t unanswered = 0;
    for (const auto& client : clients)
        for (const auto& it : client->orders())
            unanswered += it.status != 200 && lost.contains(it.id) ? 1 : 0;
    const auto text =
        "requests in one second at " + cold.settings().id +
        " while it was cold: " + std::to_string(most) + ", allowed " +
        std::to_string(most_per_s) +
        "; orders lost in its crash: " + std::to_string(unanswered);
    log.add(text);
    std::cout << text << std::endl;
    return static_cast<double>(most) > most_per_s ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return argc == 3 ? run_case(argv[1], argv[2]) : not_run;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "cold_again: " << ec.what() << '\n';
        return not_run;
    }
}
