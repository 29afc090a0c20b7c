#ifndef PARSLEYPLANK_TEST_SUPPORT_CLAIMS_CLUSTER_HPP
#define PARSLEYPLANK_TEST_SUPPORT_CLAIMS_CLUSTER_HPP

// A simulation of several instances that execute at-most-once requests, with a
// fake store, a fake backend server that counts executions, and a lossy
// network. It runs in simulated time on one thread; all delays and faults come
// from the seed or from the test.

#include "support/claims_node.hpp"
#include "support/event_queue.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace parsleyplank::test
{

class claims_cluster
{
public:
    using action = std::function<void(claims_node&)>;

    explicit claims_cluster(const cluster_settings& s)
        : settings(s), nodes(settings.instances), random(settings.seed)
    {
        for (std::size_t n = 0; n < settings.instances; ++n)
            ids.emplace_back("entry-" + std::to_string(n + 1));
        for (std::size_t n = 0; n < settings.instances; ++n)
        {
            nodes[n].id = ids[n];
            restart(n);
        }
        tick();
    }

    // Sends a request to an instance. Returns its index in requests.
    std::size_t submit(std::size_t node, const std::string& key,
                       const std::string& body)
    {
        const auto n = requests.size();
        requests.push_back({});
        requests[n].key = key;
        requests[n].body = body;
        requests[n].sent = now;
        post(node, milliseconds(0),
             [this, n](claims_node& it) { begin_request(it, n); });
        return n;
    }

    // Runs the events of this time span and advances the clock by it.
    void run_for(milliseconds time)
    {
        const auto end = now + time;
        while (events.next_at() <= end)
        {
            now = events.next_at();
            events.pop()();
        }
        now = end;
    }

    // Replaces the instance by a new incarnation with empty state.
    void restart(std::size_t node)
    {
        auto& it = nodes[node];
        const incarnation life(it.life.value + 1);
        it = {};
        it.id = ids[node];
        it.life = life;
        it.table.self = it.id;
        it.table.life = it.life;
        it.table.settings = settings.attempts;
        it.writer = claims::make_writer(settings.writer);
        it.live = ids;
    }

    // Suspends the instance for this time. Its messages and timers are handled
    // when it resumes.
    void pause(std::size_t node, milliseconds time)
    {
        nodes[node].paused = true;
        at(time,
           [this, node]
           {
               nodes[node].paused = false;
               for (const auto& run :
                    std::exchange(nodes[node].deferred_actions, {}))
                   run_action(node, run);
           });
    }

    std::uint32_t bucket(const std::string& key) const
    {
        return claims::bucket_of(hash(key), settings.buckets);
    }

    // Returns the index of the instance to which the key's bucket is assigned.
    std::size_t writer_index(const std::string& key) const
    {
        return index_of(*claims::writer_of(bucket(key), ids));
    }

    // Returns the number of executions for the key.
    int runs(const std::string& key) const
    {
        const auto it = runs_by_key.find(key);
        return it == runs_by_key.end() ? 0 : it->second;
    }

    // Returns a description of the first violated guarantee, or an empty
    // string.
    std::string violation() const
    {
        for (const auto& [key, n] : runs_by_key)
            if (n > 1)
                return key + " ran " + std::to_string(n) + " times";
        for (const auto& it : requests)
        {
            if (!it.answered || it.outcome == run_outcome::unknown)
                continue;
            const bool result = it.outcome == run_outcome::result;
            if (!result && runs_by_attempt.contains(it.attempt))
                return it.key + " ran although the answer was not-run";
            if (result && (runs(it.key) != 1 ||
                           !it.response.body.starts_with("done " + it.key)))
                return it.key +
                       " got a result although it did not run once or the "
                       "response is that of another key";
        }
        return {};
    }

    cluster_settings settings;
    time_point now{std::chrono::hours(1)};
    std::vector<instance_id> ids;
    std::vector<claims_node> nodes;
    std::vector<caller_request> requests;
    claims_store store;
    std::mt19937_64 random;
    // Called before each step of an instance, the store or the backend server.
    std::size_t steps = 0;
    std::function<void(std::size_t)> before_step;
    std::function<store_fault(const claims::store_call&)> fault_of_call;
    std::function<backend_fault(const std::string&)> fault_of_backend;

private:
    void at(time_point::duration delay, std::function<void()> run)
    {
        events.push(now + delay, std::move(run));
    }

    bool chance(double p)
    {
        return p > 0 && std::uniform_real_distribution<>(0, 1)(random) < p;
    }

    // Counts a step and calls before_step.
    void step()
    {
        ++steps;
        if (before_step)
            before_step(steps);
    }

    std::size_t index_of(const instance_id& id) const
    {
        return std::ranges::find(ids, id) - ids.begin();
    }

    // Runs the action as one step, or defers it while the instance is paused.
    void run_action(std::size_t node, const action& run)
    {
        auto& it = nodes[node];
        const auto life = it.life;
        if (!it.paused)
            step();
        if (it.life != life)
            return;
        if (it.paused)
            return it.deferred_actions.push_back(run);
        run(it);
        advance_node(it);
    }

    // Runs the action on the instance after the delay, unless the instance is
    // replaced before.
    void post(std::size_t node, time_point::duration delay, action run)
    {
        at(delay,
           [this, node, life = nodes[node].life, run = std::move(run)]
           {
               if (nodes[node].life == life)
                   run_action(node, run);
           });
    }

    // Advances all instances that are not paused, and schedules the next tick.
    void tick()
    {
        for (auto& it : nodes)
            if (!it.paused)
                advance_node(it);
        at(settings.tick, [this] { tick(); });
    }

    // Advances the attempts and the writer, and sends what is due.
    void advance_node(claims_node& it)
    {
        const auto actions = claims::advance(it.table, now);
        for (const auto& event : actions.events)
            handle(it, event);
        for (const auto& request : actions.requests)
            send_to_writer(it, request);
        for (const auto& finish : actions.finishes)
            send_to_writer(it, finish);
        const auto due =
            claims::advance(it.writer, now, wall_time(now.time_since_epoch()));
        // Calls are created in one step and sent in a later one, so that a
        // fault can occur between the two.
        for (const auto& call : due.calls)
            post(index_of(it.id), milliseconds(0),
                 [this, call](claims_node& node) { send_call(node, call); });
        for (const auto& [to, batch] : due.messages)
            send(it, to, batch);
    }

    template <typename Message>
    void send_to_writer(claims_node& it, const Message& message)
    {
        claims::claim_batch batch;
        if constexpr (std::is_same_v<Message, claims::claim_request>)
            batch.requests = {message};
        else
            batch.finishes = {message};
        send(it, *claims::writer_of(message.bucket, it.live), batch);
    }

    // Peer messages are sent to an address, so a restarted instance also
    // receives those sent to its earlier incarnation.
    void send(const claims_node& from, const instance_id& to,
              const claims::claim_batch& batch)
    {
        const action run =
            [this, sender = from.id, bytes = pack_value(batch)](claims_node& it)
        {
            deliver(it, sender,
                    unpack_value<claims::claim_batch>(bytes, "peer"));
        };
        const int copies = chance(settings.loss)        ? 0
                           : chance(settings.duplicate) ? 2
                                                        : 1;
        for (int n = 0; n < copies; ++n)
            at(chance(settings.slow) ? milliseconds(random() % 5'000)
                                     : settings.peer_latency,
               [this, node = index_of(to), run] { run_action(node, run); });
    }

    void deliver(claims_node& it, const instance_id& sender,
                 const claims::claim_batch& batch)
    {
        for (const auto& message : batch.requests)
            claims::receive(it.writer, message, now);
        for (const auto& message : batch.finishes)
            claims::receive(it.writer, message, now);
        for (const auto& message : batch.states)
            claims::receive(it.writer, message, now);
        for (const auto& message : batch.replies)
            handle(it, claims::receive(it.table, message, now));
        claims::claim_batch answer;
        for (const auto& message : batch.queries)
            answer.states.push_back(claims::answer_query(it.table, message));
        if (!answer.states.empty())
            send(it, sender, answer);
    }

    void begin_request(claims_node& it, std::size_t n)
    {
        const auto& key = requests[n].key;
        const auto request = claims::begin_attempt(
            it.table, bucket(key), hash(key), hash64(requests[n].body), now);
        if (!request)
        {
            record_answer(requests[n], now, run_outcome::not_run, "no_capacity",
                          {});
            return;
        }
        requests[n].attempt = request->attempt;
        it.callers[request->attempt.number] = n;
        send_to_writer(it, *request);
    }

    // Carries out an event: sends the release, answers the caller or
    // dispatches.
    void handle(claims_node& it, const claims::attempt_event& event)
    {
        using kind = claims::attempt_event::kind;
        if (event.release)
            send_to_writer(it, *event.release);
        if (event.type == kind::answer)
            record_answer(
                requests[it.callers.at(event.number)], now, event.outcome,
                event.reason ? std::string(to_string(*event.reason)) : "",
                event.response);
        if (event.type == kind::dispatch)
            post(index_of(it.id), milliseconds(0),
                 [this, number = event.number](claims_node& node)
                 { dispatch(node, number); });
    }

    void dispatch(claims_node& it, std::uint64_t number)
    {
        if (!claims::start_dispatch(it.table, number, now))
            return;
        const auto n = it.callers.at(number);
        const auto fault = fault_of_backend ? fault_of_backend(requests[n].key)
                                            : backend_fault::none;
        if (fault == backend_fault::none || fault == backend_fault::lost_after)
            at(settings.backend_time / 2,
               [this, n]
               {
                   step();
                   ++runs_by_key[requests[n].key];
                   ++runs_by_attempt[requests[n].attempt];
               });
        post(index_of(it.id), settings.backend_time,
             [this, number, fault](claims_node& node)
             { end_request(node, number, fault); });
    }

    void end_request(claims_node& it, std::uint64_t number, backend_fault fault)
    {
        using claims::attempt_phase;
        const auto n = it.callers.at(number);
        std::string body = "done " + requests[n].key;
        body.resize(std::max(body.size(), settings.response_size), '.');
        auto phase = attempt_phase::outcome_unknown;
        if (fault == backend_fault::none)
            phase = attempt_phase::completed;
        else if (fault == backend_fault::refused)
            phase = attempt_phase::not_run;
        if (const auto finish =
                claims::finish_attempt(it.table, number, phase, 201, body, now))
            send_to_writer(it, *finish);
        if (fault == backend_fault::none)
            record_answer(requests[n], now, run_outcome::result, "",
                          {201, false, body});
        else if (fault == backend_fault::refused)
            record_answer(requests[n], now, run_outcome::not_run,
                          "backend_shed", {});
        else
            record_answer(requests[n], now, run_outcome::unknown,
                          "backend_failed", {});
    }

    // Carries out a store call with the fault that the test chooses for it.
    void send_call(const claims_node& it, const claims::store_call& call)
    {
        const auto fault =
            fault_of_call ? fault_of_call(call) : store_fault::none;
        const bool read = call.type == claims::store_call::kind::read;
        const auto node = index_of(it.id);
        const auto reply =
            [this, node, life = it.life](time_point::duration delay,
                                         const claims::store_outcome& outcome)
        {
            if (nodes[node].life == life)
                post(node, delay,
                     [this, outcome](claims_node& owner)
                     { claims::receive(owner.writer, outcome, now); });
        };
        const bool known =
            fault == store_fault::none || fault == store_fault::stale;
        const bool effect =
            known || (!read && (fault == store_fault::lost_response ||
                                fault == store_fault::late));
        time_point::duration delay = settings.store_latency;
        if (fault == store_fault::late)
            delay = settings.late_effect_delay;
        if (!read)
        {
            store_idle_at =
                std::max(store_idle_at, now) + settings.store_write_time;
            delay += store_idle_at - now;
        }
        if (effect)
            at(delay,
               [this, call, reply, known, fault]
               {
                   step();
                   const auto outcome =
                       apply(store, call, fault == store_fault::stale);
                   if (known)
                       reply(settings.store_latency, outcome);
               });
        using kind = claims::store_outcome::kind;
        if (!known)
            reply(2 * settings.store_latency,
                  {call.id,
                   read || fault == store_fault::unavailable ? kind::unavailable
                                                             : kind::unknown,
                   {},
                   {}});
    }

    static hash128_value hash(const std::string& key)
    {
        return claims::key_hash(customer_id("shop"), route_id("ordre"), key);
    }

    event_queue events;
    time_point store_idle_at;
    std::map<std::string, int> runs_by_key;
    std::map<claims::attempt_id, int> runs_by_attempt;
};

} // namespace parsleyplank::test

#endif
