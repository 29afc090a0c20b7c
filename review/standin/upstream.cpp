#include "upstream.hpp"

#include <poll.h>

#include <algorithm>

namespace review
{

namespace
{

using nlohmann::json;

constexpr milliseconds heartbeat{1'500};

// Returns whether the peer closed the connection within this time.
bool closes_within(int connection, milliseconds time)
{
    pollfd it{connection, POLLRDHUP, 0};
    const auto until = clock::now() + time;
    while (clock::now() < until)
    {
        const auto left = std::chrono::ceil<milliseconds>(until - clock::now());
        if (::poll(&it, 1, static_cast<int>(left.count())) > 0)
            return true;
    }
    return false;
}

// Returns the response to a request that has not run because the queue is full.
response shed(const std::string& id)
{
    auto answer = make_response(503);
    answer.set("Parsleyplank-Not-Executed", "1");
    answer.set("Parsleyplank-Request-Id", id);
    return answer;
}

} // namespace

upstream::upstream(upstream_options chosen, platform_store& where, record& to,
                   work_time how_long)
    : options(std::move(chosen)), store(where), log(to),
      work(std::move(how_long)),
      born(std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      server(std::make_unique<http_server>(
          [this](const request& call, int connection)
          { return serve(call, connection); })),
      beats([this] { beat(); })
{
}

upstream::~upstream()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    stopped.notify_all();
    beats.join();
    server.reset();
}

void upstream::become_cold(milliseconds time)
{
    {
        const std::lock_guard lock(mutex);
        cold_from = clock::now();
        cold_until = cold_from + time;
    }
    log.add(options.id + " becomes cold for " + std::to_string(time.count()) +
            " ms");
    report();
}

void upstream::set_store_down(bool down)
{
    const std::lock_guard lock(mutex);
    store_down = down;
}

std::vector<run> upstream::runs()
{
    const std::lock_guard lock(mutex);
    return finished;
}

clock::time_point upstream::cold_since()
{
    const std::lock_guard lock(mutex);
    return cold_from;
}

bool upstream::has_crashed()
{
    const std::lock_guard lock(mutex);
    return crashed;
}

milliseconds upstream::warmup_left()
{
    return std::max(milliseconds(0),
                    std::chrono::ceil<milliseconds>(cold_until - clock::now()));
}

void upstream::report()
{
    json entry;
    {
        const std::lock_guard lock(mutex);
        if (store_down || crashed)
            return;
        entry = {
            {"address", server->endpoint()},
            {"born", born},
            {"info",
             {{"service", options.service},
              {"version", options.version},
              {"zone", options.zone},
              {"capacity", options.capacity}}},
            {"status",
             {{"state", "ready"},
              {"sequence", ++sequence},
              {"warmupLeft", std::to_string(warmup_left().count()) + "ms"}}}};
    }
    store.put("servers/" + options.id, entry);
}

void upstream::beat()
{
    std::unique_lock lock(mutex);
    while (!stopping)
    {
        lock.unlock();
        report();
        lock.lock();
        stopped.wait_for(lock, heartbeat, [this] { return stopping; });
    }
}

// Returns false if the upstream crashes.
bool upstream::note_arrival()
{
    const auto now = clock::now();
    arrivals.push_back(now);
    while (now - arrivals.front() > std::chrono::seconds(1))
        arrivals.pop_front();
    const bool known_cold = now - cold_from >= heartbeat && now < cold_until;
    const auto since_known =
        std::ranges::count_if(arrivals, [&](clock::time_point it)
                              { return it >= cold_from + heartbeat; });
    const bool too_many =
        options.crash_at > 0 && known_cold &&
        static_cast<std::size_t>(since_known) >= options.crash_at;
    crashed = crashed || too_many;
    return !crashed;
}

// Waits until a slot is free. Returns false if the queue is full.
bool upstream::wait_for_slot(std::unique_lock<std::mutex>& lock)
{
    constexpr int queue_per_slot = 3;
    if (running >= options.capacity &&
        waiting >= options.capacity * queue_per_slot)
        return false;
    ++waiting;
    slot_free.wait(lock,
                   [this] { return running < options.capacity || crashed; });
    --waiting;
    ++running;
    return true;
}

std::optional<response> upstream::serve(const request& call, int connection)
{
    if (call.target() == "/healthz")
    {
        auto answer = make_response(200);
        const std::lock_guard lock(mutex);
        answer.set("Parsleyplank-Instance-Id", options.id);
        if (warmup_left() > milliseconds(0))
            answer.set("Parsleyplank-Warmup-Ms",
                       std::to_string(warmup_left().count()));
        log.add(options.id + " answers a health check");
        return answer;
    }
    const auto expected = header(call, "Parsleyplank-Expected-Instance");
    const auto id = header(call, "Parsleyplank-Request-Id");
    if (id.empty() || (!expected.empty() && expected != options.id))
    {
        auto answer = make_response(id.empty() ? 400 : 421);
        answer.set("Parsleyplank-Instance-Id", options.id);
        answer.set("Parsleyplank-Not-Executed", "1");
        if (!id.empty())
            answer.set("Parsleyplank-Request-Id", id);
        return answer;
    }
    return serve_work(call, connection);
}

std::optional<response> upstream::serve_work(const request& call,
                                             int connection)
{
    const auto id = header(call, "Parsleyplank-Request-Id");
    run it{options.id, id, clock::now(), {}};
    {
        std::unique_lock lock(mutex);
        if (crashed)
            return std::nullopt;
        it.cold = it.start < cold_until;
        if (!note_arrival())
        {
            log.add(options.id + " crashes: too many requests while cold");
            server->stop();
            slot_free.notify_all();
        }
        else if (!wait_for_slot(lock))
            return shed(id);
    }
    log.add(options.id + " runs " + id + (it.cold ? " (cold)" : ""));
    it.dropped = closes_within(connection, work(id) * (it.cold ? 2 : 1));
    it.end = clock::now();
    const std::lock_guard lock(mutex);
    --running;
    slot_free.notify_one();
    it.crashed = crashed;
    finished.push_back(it);
    log.add(options.id +
            (it.crashed   ? " lost "
             : it.dropped ? " dropped "
                          : " ends ") +
            id);
    if (it.dropped || it.crashed)
        return std::nullopt;
    auto answer = make_response(200, "done " + id);
    answer.set("Parsleyplank-Request-Id", id);
    answer.set("Parsleyplank-Response-Seal", options.id + "." + id);
    answer.set("Parsleyplank-Server-Load",
               std::to_string(running) + ",0," +
                   std::to_string(options.capacity));
    answer.set(http::field::keep_alive, "timeout=10");
    return answer;
}

} // namespace review
