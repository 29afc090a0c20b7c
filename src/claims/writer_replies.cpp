#include <parsleyplank/claims/writer_replies.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::claims
{

namespace
{

// Returns the reply that corresponds to a decision.
claim_outcome outcome_of(decision d)
{
    switch (d)
    {
    case decision::granted:
        return claim_outcome::granted;
    case decision::replay:
        return claim_outcome::replay;
    case decision::unknown:
        return claim_outcome::unknown;
    case decision::key_reused:
        return claim_outcome::key_reused;
    case decision::released:
        return claim_outcome::released;
    case decision::recorded:
        return claim_outcome::recorded;
    case decision::write:
    case decision::ask_owner:
        break;
    }
    return claim_outcome::in_flight;
}

// Answers an operation from the content of the store, or blocks it until the
// owner of the key's claim has answered. Returns false if the operation needs a
// write.
bool answer_without_write(bucket_writer& writer, bucket& b, const operation& op,
                          time_point now)
{
    const claim_entry* existing = find_entry(b, op.entry.key);
    const decision d = decide(existing, op);
    if (d == decision::write)
        return false;
    if (d == decision::ask_owner)
    {
        b.blocked.push_back(
            {op, existing->attempt, now + writer.settings.query_timeout});
        query_owner(writer, b, b.blocked.back());
        return true;
    }
    reply(writer, op.entry.attempt, outcome_of(d),
          d == decision::replay ? existing->response : stored_response{});
    return true;
}

} // namespace

void reply(bucket_writer& writer, const attempt_id& to, claim_outcome outcome,
           stored_response response)
{
    writer.messages[to.instance].replies.push_back(
        {to, outcome, std::move(response)});
    writer.counters.granted += outcome == claim_outcome::granted ? 1 : 0;
    writer.counters.refused += outcome == claim_outcome::refused ? 1 : 0;
}

void query_owner(bucket_writer& writer, const bucket& b,
                 const blocked_claim& claim)
{
    writer.messages[claim.owner.instance].queries.push_back(
        {claim.owner, b.number, claim.op.entry.key});
}

std::vector<blocked_claim>
extract_blocked(bucket& b,
                const std::function<bool(const blocked_claim&)>& matches)
{
    const auto first = std::stable_partition(b.blocked.begin(), b.blocked.end(),
                                             std::not_fn(matches));
    std::vector<blocked_claim> taken(std::make_move_iterator(first),
                                     std::make_move_iterator(b.blocked.end()));
    b.blocked.erase(first, b.blocked.end());
    return taken;
}

void answer_pending(bucket_writer& writer, bucket& b, time_point now)
{
    if (!b.recheck_pending)
        return;
    b.recheck_pending = false;
    std::erase_if(b.pending, [&](const operation& op)
                  { return answer_without_write(writer, b, op, now); });
}

void recheck_blocked(bucket& b)
{
    const auto changed = [&](const blocked_claim& it)
    {
        const auto* existing = find_entry(b, it.op.entry.key);
        return decide(existing, it.op) != decision::ask_owner ||
               existing->attempt != it.owner;
    };
    for (auto& it : extract_blocked(b, changed))
        b.pending.push_back(std::move(it.op));
    b.recheck_pending = true;
}

void answer_committed(bucket_writer& writer, bucket& b,
                      const std::vector<operation>& operations)
{
    // If a later operation of the same write replaced the entry, the reply is
    // that of the newest entry.
    for (const auto& op : operations)
    {
        const auto* existing = find_entry(b, op.entry.key);
        const decision d = decide(existing, op);
        reply(writer, op.entry.attempt, outcome_of(d),
              d == decision::replay ? existing->response : stored_response{});
    }
    recheck_blocked(b);
}

} // namespace parsleyplank::claims
