#include <parsleyplank/claims/writer_store.hpp>
#include <parsleyplank/core/log.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace parsleyplank::claims
{

namespace
{

using outcome_kind = store_outcome::kind;

const log4cplus::Logger& logger()
{
    static const auto log = part_logger("claims");
    return log;
}

std::int64_t to_ms(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
        .count();
}

store_call& add_call(bucket_writer& writer, const bucket& b,
                     store_call::kind what, std::string key,
                     std::vector<store_call>& calls)
{
    const auto id = writer.next_call++;
    writer.calls[id] = b.number;
    calls.push_back({id, what, std::move(key), {}, {}});
    if (what == store_call::kind::read)
    {
        ++writer.reads_in_flight;
        ++writer.counters.reads;
    }
    else
    {
        writer.writes_allowed -= 1;
        ++writer.counters.writes;
    }
    return calls.back();
}

void reload(bucket& b, time_point retry_at)
{
    b.phase = bucket_phase::unloaded;
    b.incoming.reset();
    b.retry_at = retry_at;
}

// A value that does not decode is never overwritten: claims in it would be
// forgotten. The bucket refuses until an operator repairs the key.
void report_undecodable(bucket_writer& writer, bucket& b, const char* what,
                        time_point now)
{
    ++writer.counters.undecodable;
    LOG4CPLUS_ERROR(logger(),
                    "Bucket " << b.number << " can't be read: " << what);
    // Longer than after an outage: repeating it does not help.
    reload(b, now + 50 * writer.settings.retry_delay);
}

segment_ref make_ref(const bucket& b, std::string_view copy)
{
    segment_ref ref;
    ref.number = b.head.current.number;
    ref.head_revision = b.head_revision;
    ref.digest = hash64(copy);
    const auto newest = std::ranges::max_element(b.head.current.entries, {},
                                                 &claim_entry::time_ms);
    ref.newest_ms =
        newest == b.head.current.entries.end() ? 0 : newest->time_ms;
    return ref;
}

void finish_loading(bucket& b)
{
    b.phase = bucket_phase::reading_sealed;
    if (first_missing(b) != nullptr)
        return;
    adopt_incoming(b);
    b.phase = bucket_phase::ready;
    recheck_blocked(b);
}

void head_read(bucket_writer& writer, bucket& b, const store_outcome& outcome,
               time_point now)
{
    // A stale read shows a lower revision than this writer has seen.
    if (outcome.what != outcome_kind::value_read ||
        outcome.key_revision < b.head_revision)
    {
        reload(b, now + writer.settings.retry_delay);
        return;
    }
    b.incoming = outcome.value ? decode_head(*outcome.value, head_key(b.number))
                               : bucket_head{};
    b.incoming_revision = outcome.value ? outcome.key_revision : revision(0);
    finish_loading(b);
}

void sealed_read(bucket_writer& writer, bucket& b, const store_outcome& outcome,
                 time_point now)
{
    const segment_ref ref = *first_missing(b);
    const auto key = sealed_key(b.number, ref);
    if (outcome.what != outcome_kind::value_read || !outcome.value)
    {
        // An absent copy was retired since the head was read.
        reload(b, now + writer.settings.retry_delay);
        return;
    }
    if (hash64(*outcome.value) != ref.digest)
        throw codec_error(key + ": the digest differs from the head's");
    add_sealed(b, decode_sealed(*outcome.value, key));
    finish_loading(b);
}

// Takes the read of a copy that this or another writer may have written.
void copy_checked(bucket_writer& writer, bucket& b,
                  const store_outcome& outcome, time_point now)
{
    b.phase = bucket_phase::ready;
    b.retry_at = now;
    if (outcome.what != outcome_kind::value_read)
    {
        b.phase = bucket_phase::checking;
        b.retry_at = now + writer.settings.retry_delay;
    }
    else if (outcome.value)
    {
        auto ref = make_ref(b, *outcome.value);
        if (*outcome.value != encode_sealed(b.head.current))
            throw codec_error(sealed_key(b.number, ref) +
                              ": the copy differs from the head");
        ref.copy_revision = outcome.key_revision;
        b.copy = ref;
    }
}

void copy_written(bucket_writer& writer, bucket& b,
                  const store_outcome& outcome, time_point now)
{
    switch (outcome.what)
    {
    case outcome_kind::applied:
        b.copy = make_ref(b, encode_sealed(b.head.current));
        b.copy->copy_revision = outcome.key_revision;
        b.phase = bucket_phase::ready;
        return;
    case outcome_kind::conflict:
        b.phase = bucket_phase::checking;
        b.retry_at = now;
        return;
    case outcome_kind::unavailable:
        b.phase = bucket_phase::ready;
        b.retry_at = now + writer.settings.retry_delay;
        return;
    case outcome_kind::unknown:
    case outcome_kind::value_read:
        b.phase = bucket_phase::checking;
        b.retry_at = now + writer.settings.retry_delay;
        return;
    }
}

void head_written(bucket_writer& writer, bucket& b,
                  const store_outcome& outcome, time_point now)
{
    switch (outcome.what)
    {
    case outcome_kind::applied:
        b.phase = bucket_phase::ready;
        answer_committed(writer, b, commit(b, outcome.key_revision));
        return;
    case outcome_kind::unavailable:
        unstage(b);
        b.phase = bucket_phase::ready;
        b.retry_at = now + writer.settings.retry_delay;
        return;
    case outcome_kind::conflict:
        ++writer.counters.conflicts;
        break;
    case outcome_kind::unknown:
    case outcome_kind::value_read:
        ++writer.counters.unknown_writes;
        break;
    }
    // The reload decides each operation again: a claim that is in the store
    // for its own attempt is granted, an absent one is written at the new
    // revision.
    unstage(b);
    reload(b, now);
}

void erased(bucket_writer& writer, bucket& b, const store_outcome& outcome,
            time_point now)
{
    const segment_ref ref = *std::exchange(b.deleting, std::nullopt);
    // A conflict means that the copy is gone: it is never written again at
    // this revision.
    if (outcome.what != outcome_kind::applied &&
        outcome.what != outcome_kind::conflict)
    {
        b.delete_at = now + writer.settings.retry_delay;
        return;
    }
    if (std::erase(b.orphans, ref) == 0)
        b.deleted.push_back(ref);
}

void start_delete(bucket_writer& writer, bucket& b, time_point now,
                  std::vector<store_call>& calls)
{
    if (b.deleting || b.delete_at > now || b.phase < bucket_phase::ready)
        return;
    const auto ref = next_delete(b);
    if (!ref)
        return;
    auto& call = add_call(writer, b, store_call::kind::erase,
                          sealed_key(b.number, *ref), calls);
    call.expected = ref->copy_revision;
    b.deleting = ref;
    b.delete_call = call.id;
}

void start_copy(bucket_writer& writer, bucket& b,
                std::vector<store_call>& calls)
{
    unstage(b);
    auto value = encode_sealed(b.head.current);
    auto& call = add_call(writer, b, store_call::kind::write,
                          sealed_key(b.number, make_ref(b, value)), calls);
    writer.counters.written_bytes += value.size();
    call.value = std::move(value);
    b.phase = bucket_phase::copying;
}

void start_write(bucket_writer& writer, bucket& b, wall_time wall,
                 std::vector<store_call>& calls)
{
    stage(b, writer.settings.segment_bytes, to_ms(wall),
          to_ms(wall - writer.settings.retention));
    if (b.staged.full && !b.copy && !b.head.current.entries.empty())
    {
        start_copy(writer, b, calls);
        return;
    }
    if (!has_change(b))
    {
        unstage(b);
        return;
    }
    auto& call =
        add_call(writer, b, store_call::kind::write, head_key(b.number), calls);
    call.expected = b.head_revision;
    call.value = encode_staged(b);
    writer.counters.written_bytes += call.value.size();
    b.phase = bucket_phase::writing;
}

// Returns when the bucket's write was due, or nothing if none is due.
std::optional<time_point> due_since(const bucket_writer& writer,
                                    const bucket& b, time_point now,
                                    std::int64_t oldest_ms)
{
    if (b.phase != bucket_phase::ready || b.retry_at > now)
        return std::nullopt;
    std::optional<time_point> due;
    for (const auto& op : b.pending)
    {
        const auto at =
            op.claim ? op.arrived : op.arrived + writer.settings.finish_delay;
        if (at <= now && (!due || at < *due))
            due = at;
    }
    const bool retention = writer.assigned.contains(b.number) &&
                           !b.head.sealed.empty() &&
                           b.head.sealed.front().newest_ms < oldest_ms;
    if (!due && (retention || b.copy))
        due = now;
    return due;
}

void refill(bucket_writer& writer, time_point now)
{
    const std::chrono::duration<double> passed = now - writer.allowed_at;
    writer.allowed_at = now;
    writer.writes_allowed =
        std::min(writer.settings.write_burst,
                 writer.writes_allowed + std::max(passed.count(), 0.0) *
                                             writer.settings.write_rate);
}

bool wants_read(const bucket_writer& writer, const bucket& b, time_point now)
{
    if (b.retry_at > now)
        return false;
    if (b.phase == bucket_phase::unloaded)
        return !b.pending.empty() || !b.blocked.empty() ||
               writer.assigned.contains(b.number);
    return b.phase == bucket_phase::reading_sealed ||
           b.phase == bucket_phase::checking;
}

bool is_reading(const bucket_writer& writer, const bucket& b)
{
    return std::ranges::any_of(
        writer.calls, [&](const auto& it)
        { return it.second == b.number && it.first != b.delete_call; });
}

} // namespace

void start_reads(bucket_writer& writer, time_point now,
                 std::vector<store_call>& calls)
{
    for (auto& [number, b] : writer.buckets)
    {
        if (writer.reads_in_flight >= writer.settings.max_reads)
            return;
        if (!wants_read(writer, b, now) || is_reading(writer, b))
            continue;
        std::string key = head_key(number);
        if (b.phase == bucket_phase::unloaded)
            b.phase = bucket_phase::reading_head;
        else if (b.phase == bucket_phase::reading_sealed)
            key = sealed_key(number, *first_missing(b));
        else
            key = sealed_key(number, make_ref(b, {}));
        add_call(writer, b, store_call::kind::read, std::move(key), calls);
    }
}

void start_writes(bucket_writer& writer, time_point now, wall_time wall,
                  std::vector<store_call>& calls)
{
    refill(writer, now);
    const auto oldest_ms = to_ms(wall - writer.settings.retention);
    std::vector<std::pair<time_point, std::uint32_t>> due;
    for (const auto& [number, b] : writer.buckets)
        if (const auto since = due_since(writer, b, now, oldest_ms))
            due.emplace_back(*since, number);
    std::ranges::sort(due);
    for (const auto& [since, number] : due)
        if (writer.writes_allowed >= 1)
            start_write(writer, writer.buckets.at(number), wall, calls);
    for (auto& [number, b] : writer.buckets)
        if (writer.writes_allowed >= 1)
            start_delete(writer, b, now, calls);
}

void receive(bucket_writer& writer, const store_outcome& outcome,
             time_point now)
{
    const auto found = writer.calls.find(outcome.id);
    if (found == writer.calls.end())
        return;
    bucket& b = writer.buckets.at(found->second);
    writer.calls.erase(found);
    if (b.deleting && b.delete_call == outcome.id)
    {
        erased(writer, b, outcome, now);
        return;
    }
    if (b.phase != bucket_phase::copying && b.phase != bucket_phase::writing)
        --writer.reads_in_flight;
    try
    {
        if (b.phase == bucket_phase::reading_head)
            head_read(writer, b, outcome, now);
        else if (b.phase == bucket_phase::reading_sealed)
            sealed_read(writer, b, outcome, now);
        else if (b.phase == bucket_phase::checking)
            copy_checked(writer, b, outcome, now);
        else if (b.phase == bucket_phase::copying)
            copy_written(writer, b, outcome, now);
        else if (b.phase == bucket_phase::writing)
            head_written(writer, b, outcome, now);
    }
    catch (const codec_error& ec)
    {
        report_undecodable(writer, b, ec.what(), now);
    }
}

} // namespace parsleyplank::claims
