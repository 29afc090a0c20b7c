// Case: the instance that holds the tokens of a customer is frozen for a moment
// while the customer sends more than its rate. Counts the requests that run in
// any span of the window.

#include "fleet.hpp"
#include "order_client.hpp"

#include <algorithm>
#include <iostream>
#include <map>

using namespace review;

namespace
{

constexpr std::chrono::seconds window{5};
constexpr double rate = 5;
constexpr double burst = 5;
constexpr double overage = 0.1;
constexpr double slack = 20;
constexpr milliseconds freeze_time{2'000};
constexpr int instance_count = 48;
// Holds the tokens of the customer: rendezvous hashing chooses it by the names
// of the customer and of the instances.
constexpr int holder_number = 12;
constexpr auto customer_name = "verksted";
constexpr auto customer_key = "key-verksted";

double most_allowed()
{
    const auto seconds = static_cast<double>(window.count());
    return (rate * seconds + burst) * (1 + overage) + slack;
}

struct admitted
{
    clock::time_point sent;
    clock::time_point start;
};

// Returns the largest number of requests that were sent and began to run in one
// window.
std::size_t most_in_window(const std::vector<admitted>& all)
{
    std::size_t most = 0;
    for (const auto& first : all)
        most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(
                                  all,
                                  [&](const admitted& it) {
                                      return it.sent >= first.sent &&
                                             it.start <= first.sent + window;
                                  })));
    return most;
}

std::vector<admitted>
find_admitted(const std::vector<std::unique_ptr<upstream>>& upstreams,
              const std::vector<std::unique_ptr<order_client>>& clients)
{
    std::map<std::string, clock::time_point> sent;
    for (const auto& client : clients)
        for (const auto& it : client->orders())
            sent[it.id] = it.sent;
    std::vector<admitted> all;
    for (const auto& server : upstreams)
        for (const auto& it : server->runs())
            all.push_back({sent.at(it.request), it.start});
    return all;
}

int run_case(const std::string& folder, const std::string& record_file)
{
    record log(record_file);
    platform_store store;
    store.put("op/config",
              make_configuration(
                  {{"r-order", "/order/", "unsafe", "ordre", "2000ms"}},
                  {{"ordre"}}, {{customer_name, customer_key, rate, burst}}));
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (int n = 1; n <= 4; ++n)
        upstreams.push_back(std::make_unique<upstream>(
            upstream_options{"i-" + std::to_string(n), "ordre",
                             n % 2 == 0 ? "oslo-a" : "oslo-b"},
            store, log, [](const std::string&) { return milliseconds(30); }));
    std::vector<std::unique_ptr<edge_process>> instances;
    for (int n = 1; n <= instance_count; ++n)
        instances.push_back(std::make_unique<edge_process>(
            edge_settings{"edge-" + std::to_string(n), "oslo",
                          n % 2 == 0 ? "oslo-a" : "oslo-b",
                          "\"oslo-a\" = \"oslo\"\n\"oslo-b\" = \"oslo\"\n",
                          store.endpoint(), folder},
            log));
    for (const auto& it : instances)
        if (!it->wait_ready(milliseconds(20'000)))
            return not_run;
    std::this_thread::sleep_for(std::chrono::seconds(6));
    std::vector<std::unique_ptr<order_client>> clients;
    clients.reserve(instance_count);
    for (int n = 0; n < instance_count; ++n)
        clients.push_back(std::make_unique<order_client>(
            "c" + std::to_string(n),
            instances[n % instance_count]->callers_port(), "/order/",
            milliseconds(50), log, customer_key));
    std::this_thread::sleep_for(milliseconds(400));
    if (has_trouble())
        instances[holder_number - 1]->freeze(freeze_time);
    else
        std::this_thread::sleep_for(freeze_time);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    for (const auto& it : clients)
        it->stop();
    std::this_thread::sleep_for(milliseconds(500));
    const auto most = most_in_window(find_admitted(upstreams, clients));
    const auto text =
        "requests of the customer in 5 s: " + std::to_string(most) +
        ", allowed " + std::to_string(most_allowed());
    log.add(text);
    std::cout << text << std::endl;
    return static_cast<double>(most) > most_allowed() ? rule_broken : rule_held;
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
        std::cerr << "frozen_holder: " << ec.what() << '\n';
        return not_run;
    }
}
