#include "upstream.hpp"

namespace review2
{

namespace
{

std::string head(const std::string& status, const std::string& request_id,
                 const std::string& more, std::size_t length)
{
    return "HTTP/1.1 " + status + "\r\nParsleyplank-Request-Id: " + request_id +
           "\r\n" + more + "Content-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

} // namespace

upstream::upstream(std::string name, std::string served, std::string where,
                   platform_store& known, record& written, milliseconds warmup)
    : id(std::move(name)), service(std::move(served)), zone(std::move(where)),
      store(known), log(written),
      loop([this](connection& caller) { serve(caller); })
{
    report("ready", warmup);
}

void upstream::set_work_time(milliseconds time)
{
    work_time = time;
}

void upstream::drain()
{
    report("draining", milliseconds(0));
    log.add("upstream " + id + " is draining");
}

void upstream::report(const std::string& state, milliseconds warmup)
{
    store.put("servers/" + id,
              {{"address", "127.0.0.1:" + std::to_string(loop.port())},
               {"born", 1'700'000'000'000},
               {"info",
                {{"service", service},
                 {"version", "v1"},
                 {"zone", zone},
                 {"capacity", 4}}},
               {"status",
                {{"state", state},
                 {"sequence", ++sequence},
                 {"warmupLeft", std::to_string(warmup.count()) + "ms"}}}});
}

std::vector<run_request> upstream::runs() const
{
    const std::lock_guard lock(guard);
    return done;
}

void upstream::serve(connection& caller)
{
    while (const auto request = read_request(caller))
        if (!caller.send_all(run(*request)))
            return;
}

std::string upstream::run(const message& request)
{
    const auto& line = request.start_line;
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    const run_request it{
        line.substr(0, first), line.substr(first + 1, second - first - 1),
        request.field("parsleyplank-request-id"), request.body};
    if (request.field("parsleyplank-expected-instance") != id)
        return head("421 Misdirected Request", it.id,
                    "Parsleyplank-Instance-Id: " + id + "\r\n", 0);
    {
        const std::lock_guard lock(guard);
        done.push_back(it);
    }
    log.add("upstream " + id + " runs " + it.method + " " + it.target + " id=" +
            it.id + " body=" + std::to_string(it.body.size()) + " bytes");
    std::this_thread::sleep_for(work_time.load());
    if (work_time.load() > milliseconds(0))
        log.add("upstream " + id + " has done " + it.id);
    const auto body = "result of " + it.id;
    return head("200 OK", it.id,
                "Parsleyplank-Response-Seal: seal." + it.id +
                    "\r\nParsleyplank-Server-Load: 1,0,4\r\n",
                body.size()) +
           (it.method == "HEAD" ? "" : body);
}

} // namespace review2
