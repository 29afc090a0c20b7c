#include <parsleyplank/claims/writer_schedule.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace parsleyplank::claims
{

namespace
{

std::int64_t to_ms(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
        .count();
}

// Appends a store call and charges it to the reads in flight or to the write
// budget.
store_call& add_call(bucket_writer& writer, const bucket& b,
                     store_call::kind type, std::string key,
                     std::vector<store_call>& calls)
{
    const auto id = writer.next_call++;
    writer.calls[id] = b.number;
    calls.push_back({id, type, std::move(key), {}, {}});
    if (type == store_call::kind::read)
    {
        ++writer.reads_in_flight;
        ++writer.counters.reads;
    }
    else
    {
        writer.write_budget -= 1;
        ++writer.counters.writes;
    }
    return calls.back();
}

void start_delete(bucket_writer& writer, bucket& b, time_point now,
                  std::vector<store_call>& calls)
{
    if (b.deleting || b.delete_retry_at > now || b.phase < bucket_phase::ready)
        return;
    const auto ref = next_copy_to_delete(b);
    if (!ref)
        return;
    auto& call = add_call(writer, b, store_call::kind::erase,
                          sealed_key(b.number, *ref), calls);
    call.expected = ref->copy_revision;
    b.deleting = ref;
    b.delete_call = call.id;
}

// Starts one delete in each bucket with at least min_copies copies to delete,
// within the write budget.
void start_deletes(bucket_writer& writer, time_point now,
                   std::size_t min_copies, std::vector<store_call>& calls)
{
    for (auto& [number, b] : writer.buckets)
        if (writer.write_budget >= 1 &&
            b.head.retired.size() + b.orphans.size() >=
                min_copies + b.deleted.size())
            start_delete(writer, b, now, calls);
}

// Starts the write of a sealed copy of the current segment. The head that
// refers to the copy is written afterwards.
void start_copy(bucket_writer& writer, bucket& b,
                std::vector<store_call>& calls)
{
    unstage(b);
    auto value = encode_sealed(b.head.current);
    auto& call =
        add_call(writer, b, store_call::kind::write,
                 sealed_key(b.number, make_segment_ref(b, value)), calls);
    writer.counters.written_bytes += value.size();
    call.value = std::move(value);
    b.phase = bucket_phase::writing_copy;
}

// Starts the write of the head, or first that of a sealed copy if the current
// segment is too full for the pending operations.
void start_write(bucket_writer& writer, bucket& b, time_point now,
                 wall_time wall, std::vector<store_call>& calls)
{
    stage(b, writer.settings.segment_bytes, to_ms(wall),
          to_ms(wall - writer.settings.retention));
    if (b.staged.needs_sealing && !b.sealed_copy &&
        b.head.sealed.size() < writer.settings.max_segments)
    {
        start_copy(writer, b, calls);
        return;
    }
    if (!has_change(b))
    {
        unstage(b);
        b.retry_at = now + writer.settings.retry_delay;
        return;
    }
    auto& call =
        add_call(writer, b, store_call::kind::write, head_key(b.number), calls);
    call.expected = b.head_revision;
    call.value = encode_staged(b);
    writer.counters.written_bytes += call.value.size();
    b.phase = bucket_phase::writing_head;
}

// Returns since when a write of the bucket is due, or nothing if none is due.
std::optional<time_point> due_since(const bucket_writer& writer,
                                    const bucket& b, time_point now,
                                    std::int64_t oldest_ms)
{
    if (b.phase != bucket_phase::ready || b.retry_at > now)
        return std::nullopt;
    std::optional<time_point> due;
    for (const auto& op : b.pending)
    {
        const auto at = op.is_claim
                            ? op.received_at
                            : op.received_at + writer.settings.finish_delay;
        if (at <= now && (!due || at < *due))
            due = at;
    }
    const bool retention = writer.assigned.contains(b.number) &&
                           !b.head.sealed.empty() &&
                           b.head.sealed.front().newest_ms < oldest_ms;
    if (!due && (retention || b.sealed_copy))
        due = now;
    return due;
}

void refill_write_budget(bucket_writer& writer, time_point now)
{
    const std::chrono::duration<double> passed = now - writer.budget_updated_at;
    writer.budget_updated_at = now;
    writer.write_budget =
        std::min(writer.settings.write_burst,
                 writer.write_budget + std::max(passed.count(), 0.0) *
                                           writer.settings.write_rate);
}

bool needs_read(const bucket_writer& writer, const bucket& b, time_point now)
{
    if (b.retry_at > now)
        return false;
    if (b.phase == bucket_phase::unloaded)
        return !b.pending.empty() || !b.blocked.empty() ||
               writer.assigned.contains(b.number);
    return b.phase == bucket_phase::reading_sealed ||
           b.phase == bucket_phase::verifying_copy;
}

// Returns true if a store call of the bucket other than a delete is in flight.
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
        if (!needs_read(writer, b, now) || is_reading(writer, b))
            continue;
        std::string key = head_key(number);
        if (b.phase == bucket_phase::unloaded)
            b.phase = bucket_phase::reading_head;
        else if (b.phase == bucket_phase::reading_sealed)
            key = sealed_key(number, *first_unloaded_segment(b));
        else
            key = sealed_key(number, make_segment_ref(b, {}));
        add_call(writer, b, store_call::kind::read, std::move(key), calls);
    }
}

void start_writes(bucket_writer& writer, time_point now, wall_time wall,
                  std::vector<store_call>& calls)
{
    refill_write_budget(writer, now);
    const auto oldest_ms = to_ms(wall - writer.settings.retention);
    // Deletes of long lists come first; under constant load the writes would
    // use the whole budget.
    start_deletes(writer, now, max_retired / 8, calls);
    std::vector<std::pair<time_point, std::uint32_t>> due;
    for (const auto& [number, b] : writer.buckets)
        if (const auto since = due_since(writer, b, now, oldest_ms))
            due.emplace_back(*since, number);
    std::ranges::sort(due);
    for (const auto& [since, number] : due)
        if (writer.write_budget >= 1)
            start_write(writer, writer.buckets.at(number), now, wall, calls);
    start_deletes(writer, now, 1, calls);
}

} // namespace parsleyplank::claims
