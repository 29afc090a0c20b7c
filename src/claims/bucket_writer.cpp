#include <parsleyplank/claims/bucket_writer.hpp>
#include <parsleyplank/claims/writer_outcome.hpp>
#include <parsleyplank/claims/writer_replies.hpp>
#include <parsleyplank/claims/writer_schedule.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <algorithm>

namespace parsleyplank::claims
{

namespace
{

// Returns the bucket, created if it is absent, and notes its last use.
bucket& get_bucket(bucket_writer& writer, std::uint32_t number, time_point now)
{
    bucket& b = writer.buckets[number];
    b.number = number;
    b.used_at = now;
    return b;
}

bool same_attempt(const operation& op, const attempt_id& id)
{
    return op.entry.attempt.number == id.number && op.entry.attempt == id;
}

// Returns true if an operation of this type and attempt is already queued.
bool is_queued(const bucket& b, const attempt_id& id, bool is_claim)
{
    const auto same = [&](const operation& op)
    {
        return op.is_claim == is_claim && same_attempt(op, id);
    };
    return std::ranges::any_of(b.pending, same) ||
           std::ranges::any_of(b.staged.operations, same);
}

void enqueue(bucket_writer& writer, bucket& b, operation op)
{
    b.pending.push_back(std::move(op));
    b.recheck_pending = true;
    ++writer.operations;
}

operation finish_operation(const claim_finish& finish, time_point now)
{
    claim_entry entry{finish.key,   0, finish.attempt,
                      finish.state, 0, finish.response};
    return {false, std::move(entry), now};
}

// Handles the phase that the owner of a stored claim reports for its attempt:
// repeats the grant, or queues the finish of an attempt that has ended.
void apply_owner_state(bucket_writer& writer, bucket& b,
                       const attempt_state& state, time_point now)
{
    claim_finish finish{state.attempt, state.bucket, state.key,
                        claim_state::unknown, state.response};
    switch (state.phase)
    {
    case attempt_phase::claiming:
        // The owner still waits for the grant, so the reply was lost.
        reply(writer, state.attempt, claim_outcome::granted);
        return;
    case attempt_phase::completed:
        finish.state = claim_state::completed;
        break;
    case attempt_phase::abandoned:
    case attempt_phase::not_run:
        finish.state = claim_state::not_run;
        break;
    case attempt_phase::outcome_unknown:
        break;
    case attempt_phase::granted:
    case attempt_phase::dispatched:
    case attempt_phase::not_found:
        return;
    }
    if (!is_queued(b, state.attempt, false))
        enqueue(writer, b, finish_operation(finish, now));
}

// Answers a blocked claim from the phase of the attempt that blocks it, or
// makes it pending again if that attempt did not run.
void unblock(bucket_writer& writer, bucket& b, blocked_claim claim,
             const attempt_state& state)
{
    const attempt_id id = claim.op.entry.attempt;
    switch (state.phase)
    {
    case attempt_phase::completed:
        reply(writer, id, claim_outcome::replay, state.response);
        return;
    case attempt_phase::claiming:
    case attempt_phase::granted:
    case attempt_phase::dispatched:
        reply(writer, id, claim_outcome::in_flight);
        return;
    case attempt_phase::outcome_unknown:
    case attempt_phase::not_found:
        reply(writer, id, claim_outcome::unknown);
        return;
    case attempt_phase::abandoned:
    case attempt_phase::not_run:
        b.pending.push_back(std::move(claim.op));
        return;
    }
}

// Answers blocked claims whose query timed out and drops pending claims that
// waited for claim_wait.
void drop_expired(bucket_writer& writer, bucket& b, time_point now)
{
    const auto expired = [&](const blocked_claim& it)
    {
        return it.deadline <= now;
    };
    for (const auto& it : extract_blocked(b, expired))
        reply(writer, it.op.entry.attempt, claim_outcome::unknown);
    std::erase_if(b.pending,
                  [&](const operation& op) {
                      return op.is_claim &&
                             op.received_at + writer.settings.claim_wait <= now;
                  });
}

// Removes unassigned buckets without work from memory after idle_timeout.
void remove_idle_buckets(bucket_writer& writer, time_point now)
{
    std::erase_if(writer.buckets,
                  [&](const auto& it)
                  {
                      const bucket& b = it.second;
                      const bool inactive = b.phase == bucket_phase::unloaded ||
                                            b.phase == bucket_phase::ready;
                      return inactive && !writer.assigned.contains(it.first) &&
                             b.pending.empty() && b.blocked.empty() &&
                             !b.deleting &&
                             b.used_at + writer.settings.idle_timeout <= now;
                  });
}

void check_settings(const writer_settings& settings)
{
    if (settings.segment_bytes < min_segment_bytes ||
        settings.segment_bytes > store::max_value_bytes)
        throw config_error(
            "claim segment size " + std::to_string(settings.segment_bytes) +
            " is not between " + std::to_string(min_segment_bytes) + " and " +
            std::to_string(store::max_value_bytes) + " bytes");
    const auto largest = settings.segment_bytes +
                         head_overhead(settings.max_segments + 1 + max_retired);
    if (settings.max_segments == 0 || largest > store::max_value_bytes)
        throw config_error("a claim bucket of " +
                           std::to_string(settings.max_segments) +
                           " segments exceeds the store's limit for a value");
    if (!(settings.write_rate > 0) || !(settings.write_burst >= 1))
        throw config_error("the claim write rate must be above 0 and its burst "
                           "at least 1");
    if (settings.max_reads == 0 || settings.max_operations == 0)
        throw config_error("a claim writer needs at least one read in flight "
                           "and one queued operation");
}

} // namespace

bucket_writer make_writer(const writer_settings& settings)
{
    check_settings(settings);
    bucket_writer writer;
    writer.settings = settings;
    writer.write_budget = settings.write_burst;
    return writer;
}

void assign(bucket_writer& writer, std::span<const std::uint32_t> buckets)
{
    writer.assigned = {buckets.begin(), buckets.end()};
    std::ranges::for_each(buckets, [&](std::uint32_t n)
                          { writer.buckets[n].number = n; });
}

void receive(bucket_writer& writer, const claim_request& request,
             time_point now)
{
    bucket& b = get_bucket(writer, request.bucket, now);
    const auto blocked =
        std::ranges::find_if(b.blocked, [&](const blocked_claim& it)
                             { return same_attempt(it.op, request.attempt); });
    if (blocked != b.blocked.end())
    {
        query_owner(writer, b, *blocked);
        return;
    }
    if (is_queued(b, request.attempt, true))
        return;
    if (writer.operations >= writer.settings.max_operations)
    {
        reply(writer, request.attempt, claim_outcome::refused);
        return;
    }
    claim_entry entry{request.key,
                      request.body_hash,
                      request.attempt,
                      claim_state::claimed,
                      0,
                      {}};
    enqueue(writer, b, {true, std::move(entry), now});
}

void receive(bucket_writer& writer, const claim_finish& finish, time_point now)
{
    bucket& b = get_bucket(writer, finish.bucket, now);
    // A pending claim of an attempt that has ended is a delayed duplicate.
    std::erase_if(b.pending, [&](const operation& op)
                  { return op.is_claim && same_attempt(op, finish.attempt); });
    if (is_queued(b, finish.attempt, false) ||
        writer.operations >= writer.settings.max_operations)
        return;
    enqueue(writer, b, finish_operation(finish, now));
}

void receive(bucket_writer& writer, const attempt_state& state, time_point now)
{
    const auto found = writer.buckets.find(state.bucket);
    if (found == writer.buckets.end())
        return;
    bucket& b = found->second;
    const auto* existing = find_entry(b, state.key);
    const bool still_claimed = existing != nullptr &&
                               existing->attempt == state.attempt &&
                               existing->state == claim_state::claimed;
    if (still_claimed)
        apply_owner_state(writer, b, state, now);
    const auto waits = [&](const blocked_claim& it)
    {
        return it.owner == state.attempt && it.op.entry.key == state.key;
    };
    for (auto& it : extract_blocked(b, waits))
        unblock(writer, b, std::move(it), state);
    b.recheck_pending = true;
}

void receive(bucket_writer& writer, const store_outcome& outcome,
             time_point now)
{
    handle_store_outcome(writer, outcome, now);
}

writer_actions advance(bucket_writer& writer, time_point now, wall_time wall)
{
    writer.operations = 0;
    for (auto& [number, b] : writer.buckets)
    {
        drop_expired(writer, b, now);
        const bool loaded = b.phase >= bucket_phase::ready;
        if (loaded)
            answer_pending(writer, b, now);
        writer.operations +=
            b.pending.size() + b.blocked.size() + b.staged.operations.size();
    }
    writer_actions actions;
    start_reads(writer, now, actions.calls);
    start_writes(writer, now, wall, actions.calls);
    remove_idle_buckets(writer, now);
    actions.messages = std::move(writer.messages);
    writer.messages.clear();
    return actions;
}

} // namespace parsleyplank::claims
