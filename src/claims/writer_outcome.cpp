#include <parsleyplank/claims/writer_outcome.hpp>
#include <parsleyplank/claims/writer_replies.hpp>
#include <parsleyplank/core/log.hpp>

#include <utility>

namespace parsleyplank::claims
{

namespace
{

using outcome_kind = store_outcome::kind;

const log4cplus::Logger& logger()
{
    static const auto log = component_logger("claims");
    return log;
}

// Discards a load in progress; the head is read again from retry_at on.
void reload(bucket& b, time_point retry_at)
{
    b.phase = bucket_phase::unloaded;
    b.loading_head.reset();
    b.retry_at = retry_at;
}

// Logs a value that can't be decoded and schedules a reload. Such a value is
// never overwritten, since the claims in it would be lost. The bucket grants no
// claims until an operator repairs the key.
void report_undecodable(bucket_writer& writer, bucket& b, const char* what,
                        time_point now)
{
    ++writer.counters.undecodable;
    LOG4CPLUS_ERROR(logger(),
                    "Bucket " << b.number << " can't be read: " << what);
    // Longer than after an outage, since an early repetition does not help.
    reload(b, now + 50 * writer.settings.retry_delay);
}

// Makes the read head the content once all its sealed segments are loaded.
void finish_loading(bucket& b)
{
    b.phase = bucket_phase::reading_sealed;
    if (first_unloaded_segment(b) != nullptr)
        return;
    adopt_loaded_head(b);
    b.phase = bucket_phase::ready;
    recheck_blocked(b);
}

void handle_head_read(bucket_writer& writer, bucket& b,
                      const store_outcome& outcome, time_point now)
{
    // A revision below the last known one indicates a stale read.
    if (outcome.type != outcome_kind::value_read ||
        outcome.key_revision < b.head_revision)
    {
        reload(b, now + writer.settings.retry_delay);
        return;
    }
    b.loading_head = outcome.value
                         ? decode_head(*outcome.value, head_key(b.number))
                         : bucket_head{};
    b.loading_revision = outcome.value ? outcome.key_revision : revision(0);
    finish_loading(b);
}

void handle_sealed_read(bucket_writer& writer, bucket& b,
                        const store_outcome& outcome, time_point now)
{
    const segment_ref ref = *first_unloaded_segment(b);
    const auto key = sealed_key(b.number, ref);
    if (outcome.type != outcome_kind::value_read || !outcome.value)
    {
        // An absent copy was retired and deleted after the head was read.
        reload(b, now + writer.settings.retry_delay);
        return;
    }
    if (hash64(*outcome.value) != ref.digest)
        throw codec_error(
            key + ": the digest differs from the one in the bucket head");
    add_sealed(b, decode_sealed(*outcome.value, key));
    finish_loading(b);
}

// Handles the read of a copy that this or another writer may have written.
void handle_copy_read(bucket_writer& writer, bucket& b,
                      const store_outcome& outcome, time_point now)
{
    b.phase = bucket_phase::ready;
    b.retry_at = now;
    if (outcome.type != outcome_kind::value_read)
    {
        b.phase = bucket_phase::verifying_copy;
        b.retry_at = now + writer.settings.retry_delay;
    }
    else if (outcome.value)
    {
        auto ref = make_segment_ref(b, *outcome.value);
        if (*outcome.value != encode_sealed(b.head.current))
            throw codec_error(
                sealed_key(b.number, ref) +
                ": the sealed copy differs from the current segment");
        ref.copy_revision = outcome.key_revision;
        b.sealed_copy = ref;
    }
}

void handle_copy_write(bucket_writer& writer, bucket& b,
                       const store_outcome& outcome, time_point now)
{
    switch (outcome.type)
    {
    case outcome_kind::applied:
        b.sealed_copy = make_segment_ref(b, encode_sealed(b.head.current));
        b.sealed_copy->copy_revision = outcome.key_revision;
        b.phase = bucket_phase::ready;
        return;
    case outcome_kind::conflict:
        b.phase = bucket_phase::verifying_copy;
        b.retry_at = now;
        return;
    case outcome_kind::unavailable:
        b.phase = bucket_phase::ready;
        b.retry_at = now + writer.settings.retry_delay;
        return;
    case outcome_kind::unknown:
    case outcome_kind::value_read:
        b.phase = bucket_phase::verifying_copy;
        b.retry_at = now + writer.settings.retry_delay;
        return;
    }
}

void handle_head_write(bucket_writer& writer, bucket& b,
                       const store_outcome& outcome, time_point now)
{
    switch (outcome.type)
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
    // After the reload each operation is decided again: a claim that the store
    // holds for its attempt is granted, and one that is absent is written at
    // the new revision.
    unstage(b);
    reload(b, now);
}

void handle_delete(bucket_writer& writer, bucket& b,
                   const store_outcome& outcome, time_point now)
{
    const segment_ref ref = *std::exchange(b.deleting, std::nullopt);
    // A conflict means that the copy is already deleted: it is never written
    // again at this revision.
    if (outcome.type != outcome_kind::applied &&
        outcome.type != outcome_kind::conflict)
    {
        b.delete_retry_at = now + writer.settings.retry_delay;
        return;
    }
    if (std::erase(b.orphans, ref) == 0)
        b.deleted.push_back(ref);
}

} // namespace

void handle_store_outcome(bucket_writer& writer, const store_outcome& outcome,
                          time_point now)
{
    const auto found = writer.calls.find(outcome.id);
    if (found == writer.calls.end())
        return;
    bucket& b = writer.buckets.at(found->second);
    writer.calls.erase(found);
    if (b.deleting && b.delete_call == outcome.id)
    {
        handle_delete(writer, b, outcome, now);
        return;
    }
    if (b.phase != bucket_phase::writing_copy &&
        b.phase != bucket_phase::writing_head)
        --writer.reads_in_flight;
    try
    {
        if (b.phase == bucket_phase::reading_head)
            handle_head_read(writer, b, outcome, now);
        else if (b.phase == bucket_phase::reading_sealed)
            handle_sealed_read(writer, b, outcome, now);
        else if (b.phase == bucket_phase::verifying_copy)
            handle_copy_read(writer, b, outcome, now);
        else if (b.phase == bucket_phase::writing_copy)
            handle_copy_write(writer, b, outcome, now);
        else if (b.phase == bucket_phase::writing_head)
            handle_head_write(writer, b, outcome, now);
    }
    catch (const codec_error& ec)
    {
        report_undecodable(writer, b, ec.what(), now);
    }
}

} // namespace parsleyplank::claims
