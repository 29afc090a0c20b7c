// Callers upload files whose text holds requests, such as a captured session.
// The disruption: they announce a transfer coding that HTTP/1.1 does not let a
// request end with. Compares what the servers run with what was sent.

#include "kit.hpp"

#include <algorithm>
#include <exception>
#include <iostream>
#include <sstream>

using namespace review;

namespace
{

constexpr int uploads = 20;

struct run_request
{
    std::string id;
    std::string target;
    std::size_t body_bytes = 0;
};

struct run_log
{
    std::mutex mutex;
    std::vector<run_request> runs;
};

// The content of a file: the text of an order.
std::string make_file(const std::string& name)
{
    return "POST /order/1 HTTP/1.1\r\n" +
           caller_lines("shop.example", name + "-in-the-file", 4'000) +
           "Content-Length: 0\r\n\r\n";
}

// Sends one upload. Returns what was sent, and the statuses of the answers.
std::string upload(const address& to, const std::string& id,
                   const std::string& file, const std::string& framing)
{
    connection peer(to);
    peer.send("POST /upload/1 HTTP/1.1\r\n" +
              caller_lines("shop.example", id, 4'000) + framing + "\r\n\r\n" +
              file);
    std::ostringstream text;
    text << "sent " << id << ", " << framing << ": answers";
    while (const auto got = read_response(peer, "POST", milliseconds(800)))
    {
        text << ' ' << got->status;
        if (find_field(got->fields, "connection") == "close")
            break;
    }
    return text.str();
}

int run(const std::string& dir, record& out)
{
    platform_store store;
    store.put("op/config",
              make_configuration(
                  "00000001",
                  {{"r-1", "shop.example", "/upload/", "upload", "shop"},
                   {"r-2", "shop.example", "/order/", "unsafe", "shop"}}));
    run_log log;
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 2; ++n)
    {
        server_entry entry;
        entry.id = "i-" + std::to_string(n);
        entry.service = "shop";
        entry.zone = "z-1";
        servers.push_back(std::make_unique<server>(
            store, entry,
            [&log](const request& got, connection&)
            {
                const std::lock_guard lock(log.mutex);
                log.runs.push_back(
                    {find_field(got.fields, "parsleyplank-request-id"),
                     got.target, got.body.size()});
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
    std::this_thread::sleep_for(milliseconds(500));
    std::map<std::string, std::size_t> sent;
    for (int n = 0; n < uploads; ++n)
    {
        const auto id = "upload-" + std::to_string(n);
        const auto file = make_file(id);
        const std::string coding = n % 2 == 0 ? "gzip" : "chunked, identity";
        const auto framing =
            has_trouble() ? "Transfer-Encoding: " + coding
                          : "Content-Length: " + std::to_string(file.size());
        sent[id] = file.size();
        out.line(upload(edge.callers, id, file, framing));
    }
    edge.kill_now();
    servers.clear();
    int unasked = 0;
    int changed = 0;
    for (const auto& it : log.runs)
    {
        const auto known = sent.find(it.id);
        unasked += known == sent.end() ? 1 : 0;
        changed +=
            known != sent.end() && known->second != it.body_bytes ? 1 : 0;
        out.line("ran " + it.id + " " + it.target + " with a body of " +
                 std::to_string(it.body_bytes) + " bytes");
    }
    out.line("requests run " + std::to_string(log.runs.size()) +
             ", with an id that no caller sent " + std::to_string(unasked) +
             ", with another body " + std::to_string(changed));
    if (!has_trouble() && log.runs.size() < uploads)
        return 2;
    return unasked + changed > 0 ? 1 : 0;
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
