// What bytes on loopback cost: look-ups and requests over HTTP, heartbeats over
// the transport between instances, and calls to the store.

#include "measure.hpp"
#include "standin/store_server.hpp"
#include "standin/store_wire.hpp"
#include "support/raw_connection.hpp"
#include <parsleyplank/dataplane/backend_client.hpp>
#include <parsleyplank/dataplane/header_filter.hpp>
#include <parsleyplank/dataplane/http_front.hpp>
#include <parsleyplank/peer/nng_transport.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <unistd.h>

#include <atomic>
#include <fstream>
#include <thread>
#include <vector>

namespace parsleyplank::capacity
{

namespace
{

constexpr int requests = 8'000;
constexpr std::size_t body_bytes = 1'014;

double thread_cpu_us()
{
    constexpr double micro = 1e6;
    constexpr double nano = 1e-3;
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * micro +
           static_cast<double>(spent.tv_nsec) * nano;
}

double resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

dataplane::outbound_response page()
{
    return {200,
            {{"content-type", "application/json"}},
            std::string(body_bytes, 'x')};
}

// Returns the CPU of everything but the callers per request.
double server_cpu_us(std::uint16_t port, int connections)
{
    std::atomic<double> callers_cpu = 0;
    std::atomic<int> failed = 0;
    const auto call = [&]
    {
        const double begin = thread_cpu_us();
        test::raw_connection connection(port);
        for (int n = 0; n < requests / connections; ++n)
        {
            connection.send("GET /v1/lookup?client=10.0.0.1 HTTP/1.1\r\n"
                            "Host: a\r\nConnection: keep-alive\r\n"
                            "X-Api-Key: some-key\r\n\r\n");
            failed += connection.receive().status == 200 ? 0 : 1;
        }
        callers_cpu += thread_cpu_us() - begin;
    };
    const double begin = cpu_us();
    std::vector<std::thread> callers;
    callers.reserve(connections);
    for (int n = 0; n < connections; ++n)
        callers.emplace_back(call);
    for (auto& it : callers)
        it.join();
    if (failed > 0)
        throw error(std::to_string(failed) + " requests failed");
    return (cpu_us() - begin - callers_cpu) / requests;
}

void measure_front(int connections)
{
    const auto answer = [](const auto&, const dataplane::responder& out)
    {
        out.complete(page());
    };
    dataplane::http_front backend({}, answer);
    const double front = server_cpu_us(backend.port(), connections);
    dataplane::client_options options;
    options.connections_per_upstream = 64;
    dataplane::backend_client client(options);
    dataplane::http_front entry(
        {},
        [&](const dataplane::inbound_request& in,
            const dataplane::responder& out)
        {
            dataplane::backend_call call;
            call.upstream = upstream_id("desk");
            call.address = "127.0.0.1";
            call.port = backend.port();
            call.headers =
                dataplane::filter_request_headers(in.headers, "some-key");
            call.id = request_id("r");
            call.deadline =
                std::chrono::steady_clock::now() + std::chrono::seconds(5);
            client.send(std::move(call),
                        [out](const dataplane::call_result& result)
                        {
                            out.complete({result.status,
                                          dataplane::filter_response_headers(
                                              result.headers),
                                          result.body});
                        });
        });
    const double both = server_cpu_us(entry.port(), connections);
    std::printf("%11d %9.1f %12.1f\n", connections, front, both - front);
}

void measure_peers(int peers)
{
    constexpr int rounds = 15;
    const peer::peer_address any{"127.0.0.1", 0};
    std::atomic<int> arrived = 0;
    peer::nng_transport to({instance_id("to"), incarnation(1), any},
                           [&](const peer::envelope&) { ++arrived; });
    peer::nng_transport from({instance_id("from"), incarnation(1), any},
                             [](const peer::envelope&) {});
    const double before = resident_bytes();
    for (int n = 0; n < peers; ++n)
        from.replace_peer(instance_name(n), {"127.0.0.1", to.port()});
    const auto round = [&]
    {
        for (int n = 0; n < peers; ++n)
            from.send(instance_name(n), peer::message_kind::ping,
                      std::string(10, 'x'));
    };
    round();
    for (int n = 0; n < 500 && arrived < peers; ++n)
        std::this_thread::sleep_for(milliseconds(10));
    const double memory = resident_bytes() - before;
    const int first = arrived;
    const double begin = cpu_us();
    for (int n = 0; n < rounds; ++n)
    {
        round();
        std::this_thread::sleep_for(milliseconds(200));
    }
    const int count = arrived - first;
    std::printf("%6d %9d %14.1f %10.1f\n", peers, count,
                (cpu_us() - begin) / std::max(count, 1), memory / peers / 1e3);
}

void measure_calls(std::size_t bytes)
{
    constexpr int calls = 500;
    standin::store_server server("127.0.0.1", 0);
    store::http_kv_store store(
        store::http_settings{"127.0.0.1", server.port()});
    const std::string value(bytes, 'x');
    auto at = store.compare_and_swap("state/config", revision(), value);
    double begin = thread_cpu_us();
    for (int n = 0; n < calls; ++n)
        at = store.compare_and_swap("state/config", at.key_revision, value);
    const double swap = (thread_cpu_us() - begin) / calls;
    begin = thread_cpu_us();
    for (int n = 0; n < calls; ++n)
        keep(store.list("state/"));
    const double list = (thread_cpu_us() - begin) / calls;
    begin = thread_cpu_us();
    for (int n = 0; n < calls; ++n)
        keep(store.watch("state/", revision(), milliseconds(0)));
    const double watch = (thread_cpu_us() - begin) / calls;
    std::printf("%8zu %9.1f %9.1f %9.1f\n", bytes, swap, list, watch);
}

void measure_list(std::size_t n)
{
    standin::store_server server("127.0.0.1", 0);
    std::vector<store::listed_instance> all;
    server.with_core(
        [&](standin::store_core& core)
        {
            for (std::size_t i = 0; i < n; ++i)
            {
                all.push_back({instance_name(i), incarnation(1'760'000'000'000),
                               region_id("region-1"),
                               failure_domain_id("region-1-a"), "10.0.0.1",
                               8'000, 8'001, 8'002});
                put_instance(core, all.back(), time_point());
            }
        });
    store::http_instance_list list(
        store::http_settings{"127.0.0.1", server.port()});
    keep(list.read());
    constexpr int reads = 20;
    const double begin = thread_cpu_us();
    for (int i = 0; i < reads; ++i)
        keep(list.read());
    std::printf("%9zu %9zu %9.0f\n", n, standin::to_text(all).size(),
                (thread_cpu_us() - begin) / reads);
}

} // namespace

void measure_http()
{
    std::printf("HTTP: server CPU us per request of %zu B: http_front alone, "
                "and with backend_client to a second one\n",
                body_bytes);
    std::printf("connections  front_us data_path_us\n");
    for (const int connections : {1, 8, 32})
        measure_front(connections);
}

void measure_transport()
{
    std::printf("transport: one ping to each peer in 200 ms; CPU us of both "
                "ends, resident kB of both ends\n");
    std::printf(" peers  messages both_ends_us/msg kB/peer\n");
    for (const int peers : {10, 100, 300})
        measure_peers(peers);
}

void measure_store()
{
    std::printf("store calls: CPU us of the calling thread, one value of this "
                "size under the prefix\n");
    std::printf("   bytes   swap_us   list_us  watch_us\n");
    for (const std::size_t bytes : {1'000, 10'000, 80'000})
        measure_calls(bytes);
    std::printf("instance list: bytes of one read, CPU us of the reader\n");
    std::printf("instances     bytes   read_us\n");
    for (const std::size_t n : {10, 100, 1'000, 2'300})
        measure_list(n);
}

} // namespace parsleyplank::capacity
