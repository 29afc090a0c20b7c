#include <parsleyplank/claims/attempt.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::claims
{

namespace
{

// Upper bound of the doubled interval between two claim_finish messages.
constexpr milliseconds max_finish_resend_interval{30'000};

attempt* find_attempt(attempt_table& table, std::uint64_t number)
{
    const auto it = table.attempts.find(number);
    return it == table.attempts.end() ? nullptr : &it->second;
}

attempt* find_attempt(attempt_table& table, const attempt_id& id)
{
    if (id.instance != table.self || id.life != table.life)
        return nullptr;
    return find_attempt(table, id.number);
}

claim_state final_state(attempt_phase phase)
{
    if (phase == attempt_phase::completed)
        return claim_state::completed;
    return phase == attempt_phase::outcome_unknown ? claim_state::unknown
                                                   : claim_state::not_run;
}

claim_request make_request(const attempt& it)
{
    return {it.id, it.bucket, it.key, it.body_hash};
}

claim_finish make_finish(const attempt& it)
{
    return {it.id, it.bucket, it.key, final_state(it.phase), it.response};
}

bool has_ended(const attempt& it)
{
    return it.phase >= attempt_phase::completed;
}

// Removes the oldest ended attempts in excess of max_finished_attempts.
void limit_finished(attempt_table& table)
{
    while (table.finished.size() > table.settings.max_finished_attempts)
    {
        const auto oldest = table.finished.front();
        table.finished.pop_front();
        table.waiting.erase(oldest);
        table.attempts.erase(oldest);
    }
}

// Ends the attempt. The returned message is sent again until the writer
// confirms it.
claim_finish end_attempt(attempt_table& table, attempt& it, attempt_phase phase,
                         time_point now)
{
    it.phase = phase;
    it.resends = 0;
    it.resend_at = now + table.settings.finish_resend_interval;
    table.waiting.insert(it.id.number);
    table.finished.push_back(it.id.number);
    auto finish = make_finish(it);
    limit_finished(table);
    return finish;
}

attempt_event answer(std::uint64_t number, run_outcome outcome,
                     refusal_reason reason)
{
    attempt_event event;
    event.type = attempt_event::kind::answer;
    event.number = number;
    event.outcome = outcome;
    event.reason = reason;
    return event;
}

// Accepts a grant that arrived before the deadline.
attempt_event accept_grant(attempt_table& table, attempt& it, time_point now)
{
    it.phase = attempt_phase::granted;
    it.deadline = now + table.settings.dispatch_timeout;
    attempt_event event;
    event.type = attempt_event::kind::dispatch;
    event.number = it.id.number;
    return event;
}

// Sends the release of an ended attempt again: a grant shows that the store
// holds a claim of it, which would block other attempts with the key.
attempt_event resend_release(attempt_table& table, attempt& it, time_point now)
{
    attempt_event event;
    event.number = it.id.number;
    event.release = make_finish(it);
    it.resend_at = now + table.settings.finish_resend_interval;
    table.waiting.insert(it.id.number);
    return event;
}

attempt_event receive_grant(attempt_table& table, attempt& it, time_point now)
{
    if (it.phase == attempt_phase::claiming && now < it.deadline)
        return accept_grant(table, it, now);
    if (it.phase == attempt_phase::abandoned ||
        it.phase == attempt_phase::not_run)
        return resend_release(table, it, now);
    // A grant after the deadline is ignored: advance abandons the attempt and
    // answers the caller.
    return {};
}

// Ends an attempt whose key is claimed by another attempt. No claim of this
// attempt is known to be in the store, so there is nothing to release.
void end_without_claim(attempt_table& table, attempt& it)
{
    it.phase = attempt_phase::abandoned;
    table.waiting.erase(it.id.number);
    table.finished.push_back(it.id.number);
    limit_finished(table);
}

// Handles a reply that ends a waiting attempt without a grant.
attempt_event receive_refusal(attempt_table& table, attempt& it,
                              const claim_reply& reply)
{
    const auto number = it.id.number;
    attempt_event event =
        answer(number, run_outcome::not_run, refusal_reason::claim_timeout);
    if (reply.outcome == claim_outcome::replay)
    {
        event.outcome = run_outcome::result;
        event.reason.reset();
        event.response = reply.response;
    }
    else if (reply.outcome == claim_outcome::in_flight)
        event = answer(number, run_outcome::unknown,
                       refusal_reason::duplicate_in_flight);
    else if (reply.outcome == claim_outcome::unknown)
        event = answer(number, run_outcome::unknown,
                       refusal_reason::claim_outcome_unknown);
    else if (reply.outcome == claim_outcome::key_reused)
        event.reason = refusal_reason::key_reused;
    end_without_claim(table, it);
    return event;
}

// Sends the claim_finish of an ended attempt again if it is due, up to
// max_finish_resends times.
void advance_ended(attempt_table& table, attempt& it, time_point now,
                   attempt_actions& actions)
{
    if (now < it.resend_at)
        return;
    if (it.resends >= table.settings.max_finish_resends)
    {
        table.waiting.erase(it.id.number);
        return;
    }
    ++it.resends;
    const auto doubled = table.settings.finish_resend_interval *
                         (1LL << std::min(it.resends, 10U));
    it.resend_at =
        now + std::min<milliseconds>(doubled, max_finish_resend_interval);
    actions.finishes.push_back(make_finish(it));
}

// Ends a waiting attempt at its deadline, or sends its claim_request again.
void advance_waiting(attempt_table& table, attempt& it, time_point now,
                     attempt_actions& actions)
{
    if (now >= it.deadline)
    {
        const bool granted = it.phase == attempt_phase::granted;
        actions.events.push_back(answer(it.id.number, run_outcome::not_run,
                                        granted
                                            ? refusal_reason::deadline
                                            : refusal_reason::claim_timeout));
        actions.finishes.push_back(end_attempt(
            table, it,
            granted ? attempt_phase::not_run : attempt_phase::abandoned, now));
        return;
    }
    if (it.phase != attempt_phase::claiming || now < it.resend_at)
        return;
    it.resend_at = now + table.settings.claim_resend_interval;
    actions.requests.push_back(make_request(it));
}

} // namespace

std::optional<claim_request>
begin_attempt(attempt_table& table, std::uint32_t bucket,
              const hash128_value& key, std::uint64_t body_hash, time_point now)
{
    if (table.attempts.size() - table.finished.size() >=
        table.settings.max_unfinished_attempts)
        return std::nullopt;
    attempt it;
    it.id = {table.self, table.life, table.next_number++};
    it.bucket = bucket;
    it.key = key;
    it.body_hash = body_hash;
    it.deadline = now + table.settings.claim_wait;
    it.resend_at = now + table.settings.claim_resend_interval;
    auto request = make_request(it);
    table.waiting.insert(it.id.number);
    table.attempts.emplace(it.id.number, std::move(it));
    return request;
}

attempt_event receive(attempt_table& table, const claim_reply& reply,
                      time_point now)
{
    attempt* it = find_attempt(table, reply.attempt);
    if (it == nullptr)
        return {};
    switch (reply.outcome)
    {
    case claim_outcome::granted:
        return receive_grant(table, *it, now);
    case claim_outcome::refused:
        // Another writer may have accepted an earlier copy of the request, so
        // it is sent again until the deadline.
        return {};
    case claim_outcome::recorded:
        if (has_ended(*it))
            table.waiting.erase(it->id.number);
        return {};
    case claim_outcome::replay:
    case claim_outcome::in_flight:
    case claim_outcome::unknown:
    case claim_outcome::key_reused:
    case claim_outcome::released:
        break;
    }
    if (it->phase != attempt_phase::claiming)
        return {};
    return receive_refusal(table, *it, reply);
}

bool start_dispatch(attempt_table& table, std::uint64_t number, time_point now)
{
    attempt* it = find_attempt(table, number);
    if (it == nullptr || it->phase != attempt_phase::granted ||
        now >= it->deadline)
        return false;
    it->phase = attempt_phase::dispatched;
    table.waiting.erase(number);
    return true;
}

std::optional<claim_finish>
finish_attempt(attempt_table& table, std::uint64_t number, attempt_phase phase,
               std::uint16_t status, std::string_view body, time_point now)
{
    attempt* it = find_attempt(table, number);
    const bool possible =
        it != nullptr && (phase == attempt_phase::not_run
                              ? it->phase == attempt_phase::granted ||
                                    it->phase == attempt_phase::dispatched
                              : it->phase == attempt_phase::dispatched &&
                                    (phase == attempt_phase::completed ||
                                     phase == attempt_phase::outcome_unknown));
    if (!possible)
        return std::nullopt;
    if (phase == attempt_phase::completed)
    {
        it->response.status = status;
        it->response.digest_only =
            body.size() > table.settings.max_response_bytes;
        it->response.body =
            it->response.digest_only ? sha256_hex(body) : std::string(body);
    }
    return end_attempt(table, *it, phase, now);
}

std::optional<claim_finish>
abandon_attempt(attempt_table& table, std::uint64_t number, time_point now)
{
    attempt* it = find_attempt(table, number);
    if (it == nullptr)
        return std::nullopt;
    if (it->phase == attempt_phase::claiming)
        return end_attempt(table, *it, attempt_phase::abandoned, now);
    if (it->phase == attempt_phase::granted)
        return end_attempt(table, *it, attempt_phase::not_run, now);
    return std::nullopt;
}

attempt_state answer_query(const attempt_table& table,
                           const attempt_query& query)
{
    attempt_state state{
        query.attempt, query.bucket, query.key, attempt_phase::not_found, {}};
    if (query.attempt.instance != table.self ||
        query.attempt.life != table.life)
        return state;
    const auto it = table.attempts.find(query.attempt.number);
    if (it == table.attempts.end())
        return state;
    state.phase = it->second.phase;
    state.response = it->second.response;
    return state;
}

attempt_actions advance(attempt_table& table, time_point now)
{
    attempt_actions actions;
    // Copied, since ending an attempt changes the set.
    const std::vector<std::uint64_t> waiting(table.waiting.begin(),
                                             table.waiting.end());
    std::ranges::for_each(waiting,
                          [&](std::uint64_t number)
                          {
                              attempt* it = find_attempt(table, number);
                              if (it == nullptr)
                                  return;
                              if (has_ended(*it))
                                  advance_ended(table, *it, now, actions);
                              else
                                  advance_waiting(table, *it, now, actions);
                          });
    return actions;
}

} // namespace parsleyplank::claims
