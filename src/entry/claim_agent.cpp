#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/claim_agent.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

using claims::store_call;
using claims::store_outcome;

store_outcome run_read(store::kv_store& store, const store_call& call)
{
    auto read = store.get(call.key);
    store_outcome outcome{call.id, store_outcome::kind::value_read, {}, {}};
    if (read.found)
    {
        outcome.key_revision = read.found->key_revision;
        outcome.value = std::move(read.found->value);
    }
    return outcome;
}

store_outcome run_write(store::kv_store& store, const store_call& call)
{
    const auto written =
        call.type == store_call::kind::write
            ? store.compare_and_swap(call.key, call.expected, call.value)
            : store.compare_and_delete(call.key, call.expected);
    return {call.id,
            written.applied ? store_outcome::kind::applied
                            : store_outcome::kind::conflict,
            {},
            written.key_revision};
}

// Runs on a store thread. Any failure that does not prove that nothing was
// written counts as unknown.
store_outcome run_call(store::kv_store& store, const store_call& call)
{
    try
    {
        return call.type == store_call::kind::read ? run_read(store, call)
                                                   : run_write(store, call);
    }
    catch (const store_unavailable&)
    {
        return {call.id, store_outcome::kind::unavailable, {}, {}};
    }
    catch (const error& ec)
    {
        LOG4CPLUS_WARN(component_logger("claims"),
                       "Outcome of the store call for "
                           << call.key << " is unknown: " << ec.what());
        return {call.id, store_outcome::kind::unknown, {}, {}};
    }
}

void submit(claim_agent& agent, node_context& context, store_call call)
{
    const auto id = call.id;
    const bool queued = context.store_jobs.submit(
        [&agent, &context, call = std::move(call)](store::kv_store& store)
        {
            context.loop.post(
                [&agent, &context, outcome = run_call(store, call)] {
                    claims::receive(agent.writer, outcome, context.loop.now());
                });
        });
    if (!queued)
        claims::receive(agent.writer,
                        {id, store_outcome::kind::unavailable, {}, {}},
                        context.loop.now());
}

void send_batch(claim_agent& agent, node_context& context,
                const instance_id& to, claims::claim_batch batch)
{
    if (to != context.config.id)
    {
        send_to(context, to, peer::message_kind::claim_batch, batch);
        return;
    }
    context.loop.post(
        [&agent, &context, batch = std::move(batch)]
        { take_batch(agent, context, context.config.id, batch); });
}

const instance_id& writer_for(const claim_agent& agent,
                              const node_context& context, std::uint32_t bucket)
{
    const auto* writer = claims::writer_of(bucket, agent.live);
    return writer == nullptr ? context.config.id : *writer;
}

void send_request(claim_agent& agent, node_context& context,
                  claims::claim_request request)
{
    const auto to = writer_for(agent, context, request.bucket);
    claims::claim_batch batch;
    batch.requests.push_back(std::move(request));
    send_batch(agent, context, to, std::move(batch));
}

void send_finish(claim_agent& agent, node_context& context,
                 claims::claim_finish finish)
{
    const auto to = writer_for(agent, context, finish.bucket);
    claims::claim_batch batch;
    batch.finishes.push_back(std::move(finish));
    send_batch(agent, context, to, std::move(batch));
}

void handle_event(claim_agent& agent, node_context& context,
                  const claims::attempt_event& event)
{
    if (event.release)
        send_finish(agent, context, *event.release);
    if (event.type != claims::attempt_event::kind::none)
        agent.on_event(event);
}

} // namespace

void configure(claim_agent& agent, node_context& context,
               const config::fleet& fleet)
{
    agent.attempts.self = context.config.id;
    agent.attempts.life = context.config.life;
    agent.attempts.settings.claim_wait = fleet.claim_wait;
    agent.buckets = fleet.claim_buckets;
    auto& writer = agent.writer.settings;
    writer.write_rate = fleet.claim_write_rate;
    writer.claim_wait = fleet.claim_wait;
    writer.retention = fleet.claim_retention;
}

void tick(claim_agent& agent, node_context& context)
{
    const auto now = context.loop.now();
    auto owner = claims::advance(agent.attempts, now);
    std::ranges::for_each(owner.events, [&](const auto& event)
                          { handle_event(agent, context, event); });
    std::ranges::for_each(owner.requests,
                          [&](auto& request) {
                              send_request(agent, context, std::move(request));
                          });
    std::ranges::for_each(owner.finishes, [&](auto& finish)
                          { send_finish(agent, context, std::move(finish)); });
    auto writer = claims::advance(agent.writer, now, context.time.wall_now());
    std::ranges::for_each(writer.calls, [&](store_call& call)
                          { submit(agent, context, std::move(call)); });
    std::ranges::for_each(
        writer.messages, [&](auto& it)
        { send_batch(agent, context, it.first, std::move(it.second)); });
}

void assign_buckets(claim_agent& agent, std::vector<instance_id> live)
{
    if (live == agent.live)
        return;
    agent.live = std::move(live);
    std::vector<std::uint32_t> own;
    for (std::uint32_t n = 0; n < agent.buckets; ++n)
    {
        const auto* writer = claims::writer_of(n, agent.live);
        if (writer != nullptr && *writer == agent.attempts.self)
            own.push_back(n);
    }
    claims::assign(agent.writer, own);
}

std::optional<std::uint64_t> begin(claim_agent& agent, node_context& context,
                                   const hash128_value& key,
                                   std::uint64_t body_hash)
{
    auto request = claims::begin_attempt(agent.attempts,
                                         claims::bucket_of(key, agent.buckets),
                                         key, body_hash, context.loop.now());
    if (!request)
        return std::nullopt;
    const auto number = request->attempt.number;
    send_request(agent, context, std::move(*request));
    return number;
}

bool finish(claim_agent& agent, node_context& context, std::uint64_t number,
            claims::attempt_phase phase, std::uint16_t status,
            std::string_view body)
{
    auto finish = claims::finish_attempt(agent.attempts, number, phase, status,
                                         body, context.loop.now());
    if (!finish)
        return false;
    send_finish(agent, context, std::move(*finish));
    return true;
}

void abandon(claim_agent& agent, node_context& context, std::uint64_t number)
{
    auto release =
        claims::abandon_attempt(agent.attempts, number, context.loop.now());
    if (release)
        send_finish(agent, context, std::move(*release));
}

void take_batch(claim_agent& agent, node_context& context,
                const instance_id& from, const claims::claim_batch& batch)
{
    const auto now = context.loop.now();
    const auto to_writer = [&](const auto& message)
    {
        claims::receive(agent.writer, message, now);
    };
    std::ranges::for_each(batch.requests, to_writer);
    std::ranges::for_each(batch.finishes, to_writer);
    std::ranges::for_each(batch.states, to_writer);
    std::ranges::for_each(batch.replies,
                          [&](const claims::claim_reply& reply) {
                              handle_event(
                                  agent, context,
                                  claims::receive(agent.attempts, reply, now));
                          });
    claims::claim_batch answers;
    std::ranges::for_each(batch.queries,
                          [&](const claims::attempt_query& query) {
                              answers.states.push_back(
                                  claims::answer_query(agent.attempts, query));
                          });
    if (!answers.states.empty())
        send_batch(agent, context, from, std::move(answers));
}

} // namespace parsleyplank::entry
