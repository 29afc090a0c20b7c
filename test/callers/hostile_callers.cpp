// Tests that callers that do not behave can't end a process of
// parsleyplank-edge: its memory and its descriptors stay below the bounds in
// its settings, and an ordinary request is answered afterwards.
//
//     hostile-callers FOLDER KIND [DOOR]
//
// The environment variable EDGE names the program. Each crowd meets a process
// of its own, whose log is written into FOLDER. Exits with 0 if all checks
// held, 1 if one failed, and 2 if the test couldn't run.

#include "crowd_kinds.hpp"

#include <backend.hpp>
#include <fleet.hpp>
#include <instance.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

using namespace callers;

namespace
{

// Bounds in the settings of the process, and the sizes of the crowds: more
// callers than it may accept, and fewer where each one costs much.
constexpr int memory_mb = 64;
constexpr long memory_kb = 64'000;
constexpr int max_descriptors = 640;
constexpr std::size_t callers_at_door = 300;
constexpr std::size_t callers_at_service = 40;
// A process that has exceeded its memory by this factor has failed; the crowd
// ends so that it takes no more from the machine.
constexpr long giving_up_factor = 3;
// The crowd ends if the process's figures have not changed for this time, or
// after the longest time.
constexpr milliseconds settled_time{1'500};
constexpr milliseconds longest_crowd{8'000};
// Far longer than a process needs that works.
constexpr milliseconds patience{20'000};
constexpr const char* ordinary_path = "/read/20/0/ordinary";

// A watch of all keys after a revision that will not come, which waits for a
// minute.
const std::string watch_body("\x93\xa0\xce\x7f\xff\xff\xff\xcd\xea\x60", 10);

struct usage
{
    long peak_kb = 0;
    long descriptors = 0;

    bool operator==(const usage&) const = default;
};

long peak_memory_kb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    long kb = 0;
    while (in >> word)
        if (word == "VmHWM:")
            in >> kb;
    return kb;
}

long open_descriptors(pid_t pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator files(
        "/proc/" + std::to_string(pid) + "/fd", ec);
    return ec ? 0 : std::distance(begin(files), end(files));
}

// Records the largest use of a process.
class usage_monitor
{
public:
    explicit usage_monitor(pid_t process) : pid(process)
    {
    }

    void sample()
    {
        const usage before = peak;
        peak.peak_kb = std::max(peak.peak_kb, peak_memory_kb(pid));
        peak.descriptors = std::max(peak.descriptors, open_descriptors(pid));
        if (peak != before)
            last_change = clock::now();
    }

    bool settled() const
    {
        const auto now = clock::now();
        return now - last_change > settled_time ||
               now - start > longest_crowd ||
               peak.peak_kb > giving_up_factor * memory_kb;
    }

    const usage& largest() const
    {
        return peak;
    }

private:
    pid_t pid;
    usage peak;
    const clock::time_point start = clock::now();
    clock::time_point last_change = start;
};

bool is_answered_once(std::uint16_t port)
{
    constexpr unsigned http_1_1 = 11;
    constexpr unsigned ok = 200;
    review::asio::io_context io;
    review::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({review::asio::ip::make_address("127.0.0.1"), port}, ec);
    review::request query(review::http::verb::get, ordinary_path, http_1_1);
    query.set(review::http::field::host, "127.0.0.1");
    query.set("Parsleyplank-Request-Id", "ordinary");
    if (!ec)
        review::http::write(socket, query, ec);
    review::beast::flat_buffer buffer;
    review::response answer;
    if (!ec)
        review::http::read(socket, buffer, answer, ec);
    return !ec && answer.result_int() == ok;
}

// An ordinary caller repeats a refused request.
bool is_answered(std::uint16_t port)
{
    const auto until = clock::now() + patience;
    while (clock::now() < until)
    {
        if (is_answered_once(port))
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

void configure(review::platform_store& store)
{
    auto whole = review::make_configuration(
        {{"r-read", "/read/", "safe", "parts", "8000ms"},
         {"r-order", "/order/", "unsafe", "parts", "8000ms"}},
        {{"parts"}});
    // The requests of this test name no other host.
    for (auto& row : whole["routes"]["rows"])
        row[1] = "127.0.0.1";
    whole["limits"]["maxHeaderBytes"] = max_header_bytes;
    whole["limits"]["maxBodyBytes"] = max_body_bytes;
    store.put("op/config", whole);
}

using crowd = std::vector<caller_plan>;

void append(crowd& all, const crowd& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

// Returns the crowd at each door of the instance.
std::map<std::string, std::function<crowd()>>
make_doors(const std::string& kind, const soak::instance& edge)
{
    const auto port = edge.callers_port(soak::path_kind::direct);
    const auto at_callers = [=](const std::string& path)
    {
        return [=]
        {
            return make_crowd(kind, {port, path}, callers_at_door);
        };
    };
    const auto at_services = [kind, &edge]
    {
        crowd all;
        for (const auto& it :
             {request_place{edge.readiness_port(), "/readyz"},
              request_place{edge.directory_port(),
                            "/resolve?name=shop.example&region=oslo&zone="
                            "oslo-a"},
              request_place{edge.admin_port(), "/metrics"},
              request_place{edge.peer_port(), "/v1/watch", "POST", watch_body}})
            append(all, make_crowd(kind, it, callers_at_service));
        return all;
    };
    return {{"route", at_callers("/read/2000/3000/1")},
            {"large_route", at_callers("/read/400000/0/1")},
            {"no_route", at_callers("/nowhere")},
            {"ready_path", at_callers("/readyz")},
            {"services", at_services},
            {"peers", [kind, &edge]
             {
                 return make_crowd(
                     kind, {edge.peer_port(), "/v1/watch", "POST", watch_body},
                     callers_at_door);
             }}};
}

// Lets one crowd loose on a process and returns what did not hold.
std::vector<std::string> try_crowd(const std::string& folder,
                                   const std::string& kind,
                                   const std::string& door)
{
    std::filesystem::create_directories(folder);
    review::record log(folder + "/record.txt");
    review::platform_store store;
    configure(store);
    const soak::backend first("i-1", "oslo-a", store);
    const soak::backend second("i-2", "oslo-a", store);
    soak::instance_settings settings{"edge-1", store.endpoint(), folder};
    settings.memory_mb = memory_mb;
    settings.max_descriptors = max_descriptors;
    soak::instance edge(settings, log);
    const auto port = edge.callers_port(soak::path_kind::direct);
    if (!edge.wait_ready(patience) || !is_answered(port))
        throw std::runtime_error("the process does not serve at the start");
    usage_monitor monitor(edge.process_id());
    monitor.sample();
    const auto at_start = monitor.largest();
    run_crowd(make_doors(kind, edge).at(door)(),
              [&]
              {
                  monitor.sample();
                  return monitor.settled() || edge.has_ended();
              });
    std::vector<std::string> faults;
    const bool answered = !edge.has_ended() && is_answered(port);
    monitor.sample();
    if (edge.has_ended())
        faults.emplace_back("the process has ended");
    else if (!answered)
        faults.emplace_back("an ordinary request is not answered");
    const auto& peak = monitor.largest();
    std::cout << kind << " at " << door << ": " << peak.peak_kb / 1'000
              << " MB (" << at_start.peak_kb / 1'000 << " at the start), "
              << peak.descriptors << " descriptors" << std::endl;
    if (peak.peak_kb > memory_kb)
        faults.push_back("more than " + std::to_string(memory_mb) + " MB");
    if (peak.descriptors > max_descriptors)
        faults.push_back("more than " + std::to_string(max_descriptors) +
                         " descriptors");
    return faults;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() < 2)
    {
        std::cerr << "hostile-callers FOLDER KIND [DOOR]\n";
        return review::not_run;
    }
    int status = review::rule_held;
    try
    {
        for (const auto* door : {"route", "large_route", "no_route",
                                 "ready_path", "services", "peers"})
        {
            if (words.size() > 2 && words[2] != door)
                continue;
            // Large responses matter if the callers do not read them.
            const bool reads =
                words[1] != "unread_responses" && words[1] != "slow_readers";
            if (reads && std::string_view(door) == "large_route")
                continue;
            const auto folder = words[0] + "/" + words[1] + "-" + door;
            for (const auto& it : try_crowd(folder, words[1], door))
            {
                std::cout << words[1] << " at " << door << ": FAILED: " << it
                          << std::endl;
                status = review::rule_broken;
            }
        }
        return status;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "hostile-callers: " << ec.what() << '\n';
        return review::not_run;
    }
}
