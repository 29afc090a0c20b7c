#include "standin/store_server.hpp"

#include "standin/store_wire.hpp"
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <nlohmann/json.hpp>
#include <pistache/endpoint.h>

#include <algorithm>
#include <condition_variable>
#include <list>
#include <optional>
#include <thread>
#include <utility>

namespace parsleyplank::standin
{

namespace
{

using Pistache::Http::Code;
using Pistache::Http::Request;
using Pistache::Http::ResponseWriter;
namespace protocol = store::protocol;

struct answer
{
    Code code = Code::Ok;
    std::string body;
};

// A watch without changes so far.
struct waiting_watch
{
    std::string prefix;
    revision after;
    time_point ends;
    ResponseWriter writer;
};

// An answer that a slow store holds back.
struct delayed_answer
{
    time_point due;
    answer held;
    ResponseWriter writer;
};

template <typename Message>
Message parse(const Request& request)
{
    return unpack_value<Message>(request.body(), request.resource());
}

} // namespace

struct store_server::state
{
    void serve(const Request& request, ResponseWriter& writer);
    answer control(const Request& request);
    answer control_instance(const Request& request, const std::string& id);
    std::optional<answer> write(const Request& request);
    answer read(const Request& request);
    answer instances();
    answer renew_lease(const Request& request);
    void watch(const Request& request, ResponseWriter& writer);
    void send(answer result, ResponseWriter& writer);
    void wake_watches();
    void run_timer();
    time_point run_due(time_point now);

    system_clock time;
    store_core core;
    // Guarded by the mutex of the core.
    std::list<waiting_watch> watches;
    std::list<delayed_answer> delayed;
    bool stopping = false;
    std::condition_variable changed;
    std::thread timer;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

class store_server::handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(store_server::handler)

    explicit handler(state* target) : target(target)
    {
    }

    void onRequest(const Request& request, ResponseWriter writer) override
    {
        target->serve(request, writer);
    }

private:
    state* target;
};

void store_server::state::serve(const Request& request, ResponseWriter& writer)
{
    const std::lock_guard lock(core.mutex);
    const auto& path = request.resource();
    try
    {
        if (!path.starts_with("/v1/") ||
            (path.starts_with(protocol::instances_path) &&
             request.method() != Pistache::Http::Method::Get))
        {
            const auto result = control(request);
            wake_watches();
            writer.send(result.code, result.body);
            return;
        }
        if (path == protocol::instances_path)
        {
            const auto result = instances();
            writer.send(result.code, result.body);
            return;
        }
        lapse_due_leases(core, time.now());
        if (path == protocol::watch_path)
            watch(request, writer);
        else if (path == protocol::swap_path || path == protocol::delete_path)
        {
            auto result = write(request);
            if (result)
                send(std::move(*result), writer);
        }
        else
            send(read(request), writer);
        wake_watches();
    }
    catch (const std::exception& ec)
    {
        writer.send(Code::Bad_Request, ec.what());
    }
}

// Serves what the platform does not have: counts and faults.
answer store_server::state::control(const Request& request)
{
    const std::string fault = "/fault/";
    const std::string instance = std::string(protocol::instances_path) + "/";
    const auto& path = request.resource();
    if (path == "/counts")
        return {Code::Ok, to_text(core.counts)};
    if (path.starts_with(instance))
        return control_instance(request, path.substr(instance.size()));
    if (!path.starts_with(fault))
        return {Code::Not_Found, "unknown path " + path};
    set_fault(core, path.substr(fault.size()),
              parse_number(request.query().get("value").value_or("")));
    return {Code::Ok, ""};
}

answer store_server::state::control_instance(const Request& request,
                                             const std::string& id)
{
    if (request.method() == Pistache::Http::Method::Delete)
    {
        remove_instance(core, instance_id(id), time.now());
        return {Code::Ok, ""};
    }
    const auto entry =
        store::parse_listed_instance(nlohmann::json::parse(request.body()));
    if (entry.id.value != id)
        throw error("the entry's id is '" + entry.id.value + "', not '" + id +
                    "'");
    put_instance(core, entry, time.now());
    return {Code::Ok, ""};
}

// Returns no answer if the store hangs or the answer is to be lost.
std::optional<answer> store_server::state::write(const Request& request)
{
    const bool swap = request.resource() == protocol::swap_path;
    ++(swap ? core.counts.swaps : core.counts.deletes);
    if (core.faults.hang)
        return std::nullopt;
    if (core.faults.down)
        return answer{Code::Service_Unavailable, "the store is down"};
    store::write_result result;
    if (swap)
    {
        const auto call = parse<protocol::swap_request>(request);
        if (call.value.size() > store::max_value_bytes)
            throw error("the value of key '" + call.key + "' is too large");
        result = compare_and_swap(core, call.key, call.expected, call.value,
                                  call.lease);
    }
    else
    {
        const auto call = parse<protocol::delete_request>(request);
        result = compare_and_delete(core, call.key, call.expected);
    }
    if (take_lost_answer(core))
        return std::nullopt;
    return answer{Code::Ok, to_bytes(result)};
}

answer store_server::state::read(const Request& request)
{
    const auto& path = request.resource();
    if (path == protocol::get_path)
        ++core.counts.gets;
    else if (path == protocol::list_path)
        ++core.counts.lists;
    else
        ++core.counts.leases;
    if (core.faults.down)
        return {Code::Service_Unavailable, "the store is down"};
    if (path == protocol::get_path)
        return {
            Code::Ok,
            to_bytes(get(core, parse<protocol::read_request>(request).key))};
    if (path == protocol::list_path)
        return {
            Code::Ok,
            to_bytes(list(core, parse<protocol::read_request>(request).key))};
    return renew_lease(request);
}

// The instance list does not share the faults of the store.
answer store_server::state::instances()
{
    ++core.counts.instance_reads;
    if (core.faults.list_down)
        return {Code::Service_Unavailable, "the instance list is down"};
    return {Code::Ok, to_text(read_instances(core, time.now()))};
}

answer store_server::state::renew_lease(const Request& request)
{
    const auto& path = request.resource();
    const auto call = parse<protocol::lease_request>(request);
    protocol::lease_response result{core.live.store_revision, 0};
    if (path == protocol::lease_grant_path)
        result.lease = grant_lease(core, milliseconds(call.ttl_ms), time.now());
    else if (path != protocol::lease_keep_path)
        return {Code::Not_Found, "unknown path " + path};
    else if (keep_lease(core, call.lease, time.now()))
        result.lease = call.lease;
    return {Code::Ok, pack_value(result)};
}

void store_server::state::watch(const Request& request, ResponseWriter& writer)
{
    ++core.counts.watches;
    const auto call = parse<protocol::watch_request>(request);
    if (core.faults.down)
        return send({Code::Service_Unavailable, "the store is down"}, writer);
    const auto found = changes(core, call.prefix, call.after);
    if (!found.entries.empty() || call.wait_ms == 0)
        return send({Code::Ok, to_bytes(found)}, writer);
    watches.push_back({call.prefix, call.after,
                       time.now() + milliseconds(call.wait_ms),
                       std::move(writer)});
    changed.notify_all();
}

// Sends the answer now or, from a slow store, later. A store that hangs
// answers nothing.
void store_server::state::send(answer result, ResponseWriter& writer)
{
    if (core.faults.hang)
        return;
    if (core.faults.slow == milliseconds(0))
    {
        writer.send(result.code, result.body);
        return;
    }
    delayed.push_back(
        {time.now() + core.faults.slow, std::move(result), std::move(writer)});
    changed.notify_all();
}

void store_server::state::wake_watches()
{
    std::erase_if(watches,
                  [&](waiting_watch& waiting)
                  {
                      const auto found =
                          changes(core, waiting.prefix, waiting.after);
                      if (found.entries.empty())
                          return false;
                      send({Code::Ok, to_bytes(found)}, waiting.writer);
                      return true;
                  });
}

// Ends due leases, sends what is due and returns the time of the next item.
time_point store_server::state::run_due(time_point now)
{
    time_point next = now + std::chrono::hours(1);
    lapse_due_leases(core, now);
    wake_watches();
    std::ranges::for_each(core.leases, [&](const auto& held)
                          { next = std::min(next, held.second.ends); });
    std::erase_if(watches,
                  [&](waiting_watch& waiting)
                  {
                      if (waiting.ends > now)
                      {
                          next = std::min(next, waiting.ends);
                          return false;
                      }
                      send({Code::Ok, to_bytes(changes(core, waiting.prefix,
                                                       waiting.after))},
                           waiting.writer);
                      return true;
                  });
    std::erase_if(delayed,
                  [&](delayed_answer& late)
                  {
                      if (late.due > now)
                      {
                          next = std::min(next, late.due);
                          return false;
                      }
                      late.writer.send(late.held.code, late.held.body);
                      return true;
                  });
    return next;
}

void store_server::state::run_timer()
{
    std::unique_lock lock(core.mutex);
    while (!stopping)
        changed.wait_until(lock, run_due(time.now()));
}

store_server::store_server(const std::string& address, std::uint16_t port)
    : self(std::make_unique<state>())
{
    constexpr std::size_t largest_request = 2'000'000;
    constexpr std::size_t largest_response = 128'000'000;
    constexpr int server_threads = 2;
    self->endpoint = std::make_unique<Pistache::Http::Endpoint>(
        Pistache::Address(address, Pistache::Port(port)));
    self->endpoint->init(Pistache::Http::Endpoint::options()
                             .threads(server_threads)
                             .flags(Pistache::Tcp::Options::ReuseAddr)
                             .maxRequestSize(largest_request)
                             .maxResponseSize(largest_response));
    self->endpoint->setHandler(std::make_shared<handler>(self.get()));
    self->endpoint->serveThreaded();
    self->timer = std::thread([this] { self->run_timer(); });
}

store_server::~store_server()
{
    {
        const std::lock_guard lock(self->core.mutex);
        self->stopping = true;
    }
    self->changed.notify_all();
    self->timer.join();
    self->endpoint->shutdown();
    {
        const std::lock_guard lock(self->core.mutex);
        self->watches.clear();
        self->delayed.clear();
    }
    self->endpoint.reset();
}

std::uint16_t store_server::port() const
{
    return self->endpoint->getPort();
}

void store_server::with_core(const std::function<void(store_core&)>& function)
{
    const std::lock_guard lock(self->core.mutex);
    function(self->core);
    self->wake_watches();
}

std::size_t store_server::waiting_watches() const
{
    const std::lock_guard lock(self->core.mutex);
    return self->watches.size();
}

} // namespace parsleyplank::standin
