// Case: an instance is stopped while callers pipeline idempotent requests.
// Counts the requests that a backend server was working on, or had answered,
// when the connection of their caller ended without a response.

#include "fleet.hpp"
#include "pipelining_client.hpp"

#include <algorithm>
#include <iostream>
#include <map>

using namespace review;

namespace
{

constexpr milliseconds grace{6'000};
constexpr milliseconds deadline{2'000};
constexpr milliseconds short_work{350};
constexpr milliseconds long_work{1'200};

// Every fourth request takes longer.
milliseconds work_of(const std::string& id)
{
    const auto n = std::stoi(id.substr(id.rfind('-') + 1));
    return n % 4 == 0 ? long_work : short_work;
}

// Returns whether the rule excuses the lost request.
bool is_excused(const sent_request& it, const run& done,
                clock::time_point stopped_at)
{
    const bool at_work_at_end = done.end >= stopped_at + grace * 5 / 6;
    return it.ended >= it.sent + deadline ||
           (at_work_at_end && it.sent <= stopped_at + std::chrono::seconds(3));
}

// Returns how many requests were lost.
int count_lost(const std::vector<sent_request>& requests,
               const std::map<std::string, run>& runs,
               clock::time_point stopped_at, record& log)
{
    int lost = 0;
    for (const auto& it : requests)
    {
        const auto done = runs.find(it.id);
        if (it.status != 0 || done == runs.end())
            continue;
        const bool excused = is_excused(it, done->second, stopped_at);
        const auto ms = [&](clock::time_point at)
        {
            return std::to_string(
                std::chrono::duration_cast<milliseconds>(at - stopped_at)
                    .count());
        };
        log.add((excused ? "excused: " : "LOST: ") + it.id + " sent " +
                ms(it.sent) + " ms after the stop, run from " +
                ms(done->second.start) + " to " + ms(done->second.end) +
                " ms, connection ended at " + ms(it.ended) + " ms");
        lost += excused ? 0 : 1;
    }
    return lost;
}

int run_case(const std::string& folder, const std::string& record_file)
{
    record log(record_file);
    platform_store store;
    store.put("op/config", make_configuration({{"r-read", "/read/", "safe",
                                                "katalog", "2000ms"}},
                                              {{"katalog"}}));
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (int n = 1; n <= 4; ++n)
        upstreams.push_back(std::make_unique<upstream>(
            upstream_options{"i-" + std::to_string(n), "katalog", "oslo-a"},
            store, log, work_of));
    const auto settings = [&](const std::string& id)
    {
        return edge_settings{id,
                             "oslo",
                             "oslo-a",
                             "\"oslo-a\" = \"oslo\"\n",
                             store.endpoint(),
                             folder};
    };
    edge_process leaving(settings("edge-1"), log);
    edge_process staying(settings("edge-2"), log);
    if (!leaving.wait_ready(milliseconds(20'000)) ||
        !staying.wait_ready(milliseconds(20'000)))
        return not_run;
    std::vector<std::unique_ptr<pipelining_client>> clients;
    for (int n = 1; n <= 3; ++n)
        clients.push_back(std::make_unique<pipelining_client>(
            "c" + std::to_string(n), leaving.callers_port(), "/read/",
            milliseconds(90), deadline, log));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const auto named =
        call(leaving.directory_port(),
             "/resolve?name=shop.example&region=oslo&zone=oslo-a");
    if (!named)
        return not_run;
    log.add("the directory answers " + named->body());
    const auto stopped_at = clock::now();
    if (has_trouble())
        leaving.stop(grace);
    else
        std::this_thread::sleep_for(grace);
    std::for_each(clients.begin(), clients.end(),
                  [](const auto& it) { it->stop(); });
    std::this_thread::sleep_for(long_work);
    std::map<std::string, run> runs;
    for (const auto& it : upstreams)
        for (const auto& done : it->runs())
            runs[done.request] = done;
    int lost = 0;
    for (const auto& it : clients)
        lost += count_lost(it->requests(), runs, stopped_at, log);
    log.add("requests lost: " + std::to_string(lost));
    std::cout << "requests lost: " << lost << std::endl;
    return lost > 0 ? rule_broken : rule_held;
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
        std::cerr << "stop_pipelined: " << ec.what() << '\n';
        return not_run;
    }
}
