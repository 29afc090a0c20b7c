// Measures requests/s, latency and CPU of http_front and backend_client between
// callers in this process and a standin-backend in another one.
//
//   standin-backend --port 9100 --slots 64 &
//   dataplane_throughput --backend-port 9100 --requests 200000

#include "support/raw_connection.hpp"
#include <parsleyplank/dataplane/backend_client.hpp>
#include <parsleyplank/dataplane/http_front.hpp>

#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::dataplane;

namespace
{

using std::chrono::steady_clock;
using micros = std::chrono::duration<double, std::micro>;

double cpu_micros(int who)
{
    rusage used{};
    ::getrusage(who, &used);
    const auto of = [](const timeval& it)
    {
        return 1e6 * static_cast<double>(it.tv_sec) + double(it.tv_usec);
    };
    return of(used.ru_utime) + of(used.ru_stime);
}

struct load_result
{
    std::vector<double> latencies;
    double cpu = 0;
    int failures = 0;
};

load_result run_caller(std::uint16_t port, int requests)
{
    load_result result;
    result.latencies.reserve(requests);
    test::raw_connection connection(port);
    for (int n = 0; n < requests; ++n)
    {
        const auto start = steady_clock::now();
        connection.send("GET /parts/7?q=bolt HTTP/1.1\r\nHost: x\r\n"
                        "X-Api-Key: some-key\r\nAccept: */*\r\n\r\n");
        if (connection.receive().status != 200)
            ++result.failures;
        result.latencies.push_back(micros(steady_clock::now() - start).count());
    }
    result.cpu = cpu_micros(RUSAGE_THREAD);
    return result;
}

void print_results(const std::vector<load_result>& results, double seconds,
                   double process_cpu)
{
    std::vector<double> all;
    double caller_cpu = 0;
    int failures = 0;
    for (const auto& it : results)
    {
        all.insert(all.end(), it.latencies.begin(), it.latencies.end());
        caller_cpu += it.cpu;
        failures += it.failures;
    }
    std::ranges::sort(all);
    const auto at = [&](double part)
    {
        return all[static_cast<std::size_t>(part * double(all.size() - 1))];
    };
    std::cout << "requests " << all.size() << " failures " << failures
              << " requests/s " << double(all.size()) / seconds
              << "\nlatency us"
              << " p50 " << at(0.5) << " p90 " << at(0.9) << " p99 " << at(0.99)
              << " p99.9 " << at(0.999) << " max " << all.back()
              << "\nCPU us per request, callers left out: "
              << (process_cpu - caller_cpu) / double(all.size()) << std::endl;
}

void measure(std::uint16_t port, int connections, int requests)
{
    std::vector<load_result> results(connections);
    std::vector<std::thread> callers;
    callers.reserve(connections);
    const double cpu = cpu_micros(RUSAGE_SELF);
    const auto start = steady_clock::now();
    for (int n = 0; n < connections; ++n)
        callers.emplace_back(
            [&, n] { results[n] = run_caller(port, requests / connections); });
    for (auto& it : callers)
        it.join();
    const std::chrono::duration<double> time = steady_clock::now() - start;
    print_results(results, time.count(), cpu_micros(RUSAGE_SELF) - cpu);
}

void forward(backend_client& client, std::uint16_t port, bool fresh,
             const inbound_request& request, const responder& answer)
{
    static std::atomic<std::uint64_t> number = 0;
    backend_call call;
    call.upstream = upstream_id("parts");
    call.address = "127.0.0.1";
    call.port = port;
    call.target =
        filter_target(request.path, request.query, "some-key").value_or("/");
    call.headers = filter_request_headers(request.headers, "some-key");
    call.id = request_id("r-" + std::to_string(++number));
    call.deadline = steady_clock::now() + std::chrono::seconds(5);
    call.fresh_connection = fresh;
    client.send(
        std::move(call),
        [answer](const call_result& result)
        {
            if (result.outcome != call_outcome::response)
                answer.complete(make_refusal(refusal_reason::backend_failed,
                                             run_outcome::unknown));
            else
                answer.complete({result.status,
                                 filter_response_headers(result.headers),
                                 result.body});
        });
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line("Throughput through http_front and backend_client",
                            ' ', "1");
        const TCLAP::ValueArg<int> backend("", "backend-port",
                                           "port of standin-backend", true, 0,
                                           "port", line);
        const TCLAP::ValueArg<int> connections("", "connections", "callers",
                                               false, 32, "n", line);
        const TCLAP::ValueArg<int> requests("", "requests", "of all callers",
                                            false, 100'000, "n", line);
        const TCLAP::ValueArg<int> threads("", "threads", "server threads",
                                           false, 2, "n", line);
        const TCLAP::SwitchArg fresh("", "fresh",
                                     "a backend connection per request", line);
        line.parse(argc, argv);
        const auto port = static_cast<std::uint16_t>(backend.getValue());
        const auto n = connections.getValue();

        std::cout << "callers straight to the backend server" << std::endl;
        measure(port, n, requests.getValue());

        client_options client_settings;
        client_settings.connections_per_upstream = 64;
        backend_client client(client_settings);
        front_options front_settings;
        front_settings.threads = threads.getValue();
        http_front front(
            front_settings,
            [&](const inbound_request& request, const responder& answer)
            { forward(client, port, fresh.getValue(), request, answer); });
        std::cout << "through http_front and backend_client" << std::endl;
        measure(front.port(), n, requests.getValue());
        return 0;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "dataplane_throughput: " << ec.what() << std::endl;
        return 1;
    }
}
