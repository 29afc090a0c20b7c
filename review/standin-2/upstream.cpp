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

upstream::upstream(std::string name, std::string service, std::string zone,
                   platform_store& store, record& written)
    : id(std::move(name)), log(written),
      loop([this](connection& caller) { serve(caller); })
{
    store.put("servers/" + id,
              {{"address", "127.0.0.1:" + std::to_string(loop.port())},
               {"born", 1'700'000'000'000},
               {"info",
                {{"service", std::move(service)},
                 {"version", "v1"},
                 {"zone", std::move(zone)},
                 {"capacity", 4}}},
               {"status",
                {{"state", "ready"}, {"sequence", 1}, {"warmupLeft", "0ms"}}}});
}

void upstream::set_work_time(milliseconds time)
{
    work_time = time;
}

void upstream::answer_with(std::string bytes)
{
    const std::lock_guard lock(guard);
    faulty_answer = std::move(bytes);
}

std::vector<run_request> upstream::runs() const
{
    const std::lock_guard lock(guard);
    return done;
}

void upstream::serve(connection& caller)
{
    while (const auto request = read_request(caller))
    {
        const auto answer = run(*request);
        const auto fault = [this]
        {
            const std::lock_guard lock(guard);
            return faulty_answer;
        }();
        if (fault)
            log.add("upstream " + id + " sends " + printable(*fault));
        if (!caller.send_all(fault.value_or(answer)) || fault)
            return;
    }
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
