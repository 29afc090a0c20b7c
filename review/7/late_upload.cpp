// A planned stop of a machine whose grace time is 10 s. A caller that has an
// earlier answer of the directory connects 3.6 s after SIGTERM and sends an
// upload, which its upstream runs for 6.5 s of the 8 s that it has. Checks that
// the caller gets an answer: the result, or that the upload has not run.

#include "../standin-2/configuration.hpp"
#include "../standin-2/instance.hpp"
#include "../standin-2/upstream.hpp"

#include <csignal>
#include <exception>
#include <iostream>
#include <thread>

using namespace review2;

namespace
{

constexpr const char* id = "photo-1";
constexpr milliseconds patience{20'000};
constexpr milliseconds grace{10'000};
// Some callers keep an answer of the directory for three times its 2 s.
constexpr milliseconds sent_after{3'600};
constexpr milliseconds excused_until{3'000};
constexpr milliseconds work_time{6'500};
constexpr milliseconds time_limit{8'000};
constexpr milliseconds poll_interval{20};

std::string upload()
{
    const std::string body(60'000, 'p');
    return std::string("POST /photo/1 HTTP/1.1\r\nHost: ") + host +
           "\r\nParsleyplank-Request-Id: " + id +
           "\r\nParsleyplank-Deadline-Ms: " +
           std::to_string(time_limit.count()) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void sleep_until(clock::time_point at)
{
    std::this_thread::sleep_until(at);
}

// Sends SIGKILL at the end of the grace time, as the platform does.
void await_end(instance& edge, clock::time_point stopped)
{
    while (!edge.has_ended() && clock::now() < stopped + grace)
        std::this_thread::sleep_for(poll_interval);
    if (!edge.has_ended())
        edge.end(SIGKILL);
}

int try_case(const std::string& file)
{
    record log(file);
    const temporary_folder folder;
    platform_store store;
    auto whole =
        make_configuration("00000001", {{"r-photo", "/photo/", "upload"}});
    constexpr std::size_t timeout_column = 4;
    whole["routes"]["rows"][0][timeout_column] = "8000ms";
    store.put("op/config", whole);
    upstream server("i-1", service, "oslo-a", store, log);
    server.set_work_time(work_time);
    instance edge("edge-1", "oslo-a", store, folder.path(), log,
                  tokachi_coop_large);
    edge.start();
    if (!edge.wait_ready(patience))
        return not_run;
    const auto stopped = clock::now();
    if (has_trouble())
        edge.send(SIGTERM);
    sleep_until(stopped + sent_after);
    auto caller = connect_to(edge.callers_port());
    const auto sent = clock::now();
    if (caller.fd() < 0 || !caller.send_all(upload()))
        return not_run;
    log.add("sent: POST /photo/1 id=" + std::string(id));
    caller.set_receive_timeout(time_limit);
    const auto answer = read_response(caller, "POST");
    const auto waited =
        std::chrono::duration_cast<milliseconds>(clock::now() - sent);
    if (has_trouble())
        await_end(edge, stopped);
    if (answer)
    {
        log.add("answered: " + answer->start_line);
        return rule_held;
    }
    log.add("no answer after " + std::to_string(waited.count()) +
            " ms, received: " + printable(caller.received));
    const bool counted = sent - stopped > excused_until &&
                         waited < time_limit && !server.runs().empty();
    if (!counted)
        return not_run;
    log.add("LOST: the connection ended without an answer while the upstream "
            "was at work");
    return rule_broken;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return argc == 2 ? try_case(argv[1]) : not_run;
    }
    catch (const std::exception& ec)
    {
        std::cerr << ec.what() << '\n';
        return not_run;
    }
}
