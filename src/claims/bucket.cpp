#include <parsleyplank/claims/bucket.hpp>

#include <algorithm>
#include <iterator>

namespace parsleyplank::claims
{

namespace
{

// Decides a claim. An entry of the same attempt means that the claim is a
// repetition.
decision decide_claim(const claim_entry* existing, const operation& op)
{
    if (existing == nullptr)
        return decision::write;
    if (existing->attempt == op.entry.attempt)
    {
        switch (existing->state)
        {
        case claim_state::claimed:
            return decision::granted;
        case claim_state::completed:
            return decision::replay;
        case claim_state::not_run:
            return decision::released;
        case claim_state::unknown:
            return decision::unknown;
        }
    }
    if (existing->state == claim_state::not_run)
        return decision::write;
    if (existing->body_hash != op.entry.body_hash)
        return decision::key_reused;
    if (existing->state == claim_state::completed)
        return decision::replay;
    return existing->state == claim_state::claimed ? decision::ask_owner
                                                   : decision::unknown;
}

// Decides a finish. It is written if the attempt holds the claim, or if it
// completes a claim whose outcome was recorded as unknown.
decision decide_finish(const claim_entry* existing, const operation& op)
{
    if (existing == nullptr || existing->attempt != op.entry.attempt)
        return decision::recorded;
    const bool resolves_unknown = existing->state == claim_state::unknown &&
                                  op.entry.state == claim_state::completed;
    return existing->state == claim_state::claimed || resolves_unknown
               ? decision::write
               : decision::recorded;
}

const claim_entry* find_current(const bucket& b, const hash128_value& key)
{
    const auto it = b.current_index.find(key);
    return it == b.current_index.end() ? nullptr
                                       : &b.head.current.entries[it->second];
}

const claim_entry* find_staged(const bucket& b, const hash128_value& key)
{
    const auto it = b.staged.changed.find(key);
    return it == b.staged.changed.end() ? nullptr : &it->second;
}

bool contains(const std::vector<segment_ref>& refs, const segment_ref& ref)
{
    return std::ranges::find(refs, ref) != refs.end();
}

// Returns true if the head refers to a copy with the number and head revision
// of ref.
bool refers_to(const bucket_head& head, const segment_ref& ref)
{
    const auto same = [&](const segment_ref& it)
    {
        return it.number == ref.number && it.head_revision == ref.head_revision;
    };
    return std::ranges::any_of(head.sealed, same) ||
           std::ranges::any_of(head.retired, same);
}

// Drops the loaded sealed segments that are not in the list, with their
// entries.
void drop_unlisted_segments(bucket& b, const std::vector<segment_ref>& refs)
{
    const auto listed = [&](std::uint64_t number)
    {
        return std::ranges::find(refs, number, &segment_ref::number) !=
               refs.end();
    };
    if (std::ranges::all_of(b.loaded_segments, listed))
        return;
    std::erase_if(b.loaded_segments,
                  [&](std::uint64_t n) { return !listed(n); });
    std::erase_if(b.sealed_index,
                  [&](const auto& it) { return !listed(it.second.segment); });
}

// Rebuilds the index and the size of the current segment.
void index_current(bucket& b)
{
    b.current_index.clear();
    b.current_bytes = 0;
    for (std::size_t i = 0; i < b.head.current.entries.size(); ++i)
    {
        b.current_index[b.head.current.entries[i].key] = i;
        b.current_bytes += packed_size(b.head.current.entries[i]);
    }
}

// Initialises the staged head: its references, the segments to retire and the
// number of the current segment.
void stage_head(bucket& b, std::int64_t oldest_ms)
{
    bucket_head& head = b.staged.head;
    head.sealed = b.head.sealed;
    head.retired = b.head.retired;
    head.current.number = b.head.current.number;
    std::erase_if(head.retired, [&](const segment_ref& it)
                  { return contains(b.deleted, it); });
    if (b.sealed_copy)
    {
        b.staged.sealing = true;
        head.sealed.push_back(*b.sealed_copy);
        ++head.current.number;
    }
    const auto free_entries =
        max_retired - std::min(max_retired, head.retired.size());
    const auto last =
        head.sealed.begin() +
        static_cast<std::ptrdiff_t>(std::min(free_entries, head.sealed.size()));
    const auto kept = std::find_if(head.sealed.begin(), last,
                                   [&](const segment_ref& it)
                                   { return it.newest_ms >= oldest_ms; });
    std::move(head.sealed.begin(), kept, std::back_inserter(head.retired));
    head.sealed.erase(head.sealed.begin(), kept);
}

// Stages one operation. Returns false if it remains pending.
bool stage_operation(bucket& b, const operation& op, std::size_t limit,
                     std::int64_t time_ms)
{
    staged_write& s = b.staged;
    const claim_entry* changed = find_staged(b, op.entry.key);
    const claim_entry* existing =
        changed != nullptr ? changed : find_entry(b, op.entry.key);
    if (decide(existing, op) != decision::write)
        return false;
    claim_entry entry = op.entry;
    entry.time_ms = time_ms;
    if (!op.is_claim)
        entry.body_hash = existing->body_hash;
    const claim_entry* replaced = changed;
    if (replaced == nullptr && !s.sealing)
        replaced = find_current(b, entry.key);
    const auto bytes = s.bytes + packed_size(entry) -
                       (replaced != nullptr ? packed_size(*replaced) : 0);
    if (bytes > limit)
    {
        s.needs_sealing = true;
        return false;
    }
    s.bytes = bytes;
    if (replaced == nullptr)
        s.added.push_back(entry.key);
    s.changed[entry.key] = std::move(entry);
    return true;
}

} // namespace

decision decide(const claim_entry* existing, const operation& op)
{
    return op.is_claim ? decide_claim(existing, op)
                       : decide_finish(existing, op);
}

const claim_entry* find_entry(const bucket& b, const hash128_value& key)
{
    if (const auto* entry = find_current(b, key))
        return entry;
    const auto it = b.sealed_index.find(key);
    return it == b.sealed_index.end() ? nullptr : &it->second.entry;
}

void stage(bucket& b, std::size_t limit, std::int64_t time_ms,
           std::int64_t oldest_ms)
{
    b.staged = {};
    stage_head(b, oldest_ms);
    b.staged.bytes = b.staged.sealing ? 0 : b.current_bytes;
    std::deque<operation> rest;
    std::ranges::for_each(b.pending,
                          [&](operation& op)
                          {
                              const bool taken =
                                  !b.staged.needs_sealing &&
                                  stage_operation(b, op, limit, time_ms);
                              if (taken)
                                  b.staged.operations.push_back(std::move(op));
                              else
                                  rest.push_back(std::move(op));
                          });
    b.pending = std::move(rest);
}

bool has_change(const bucket& b)
{
    return !b.staged.changed.empty() || b.staged.head.sealed != b.head.sealed;
}

std::string encode_staged(const bucket& b)
{
    const staged_write& s = b.staged;
    std::vector<const claim_entry*> entries;
    if (!s.sealing)
        std::ranges::transform(b.head.current.entries,
                               std::back_inserter(entries),
                               [&](const claim_entry& it)
                               {
                                   const auto* changed = find_staged(b, it.key);
                                   return changed != nullptr ? changed : &it;
                               });
    std::ranges::transform(s.added, std::back_inserter(entries),
                           [&](const hash128_value& key)
                           { return find_staged(b, key); });
    return encode_head(s.head, entries);
}

std::vector<operation> commit(bucket& b, revision head_revision)
{
    staged_write s = std::move(b.staged);
    b.staged = {};
    if (s.sealing)
    {
        add_sealed(b, b.head.current);
        b.head.current.entries.clear();
        b.current_index.clear();
    }
    drop_unlisted_segments(b, s.head.sealed);
    b.head.sealed = std::move(s.head.sealed);
    b.head.retired = std::move(s.head.retired);
    b.head.current.number = s.head.current.number;
    auto& entries = b.head.current.entries;
    for (auto& [key, entry] : s.changed)
        if (const auto it = b.current_index.find(key);
            it != b.current_index.end())
            entries[it->second] = entry;
    for (const auto& key : s.added)
    {
        b.current_index[key] = entries.size();
        entries.push_back(std::move(s.changed.at(key)));
    }
    b.current_bytes = s.bytes;
    b.head_revision = head_revision;
    b.sealed_copy.reset();
    b.deleted.clear();
    return std::move(s.operations);
}

void unstage(bucket& b)
{
    b.pending.insert(b.pending.begin(),
                     std::move_iterator(b.staged.operations.begin()),
                     std::move_iterator(b.staged.operations.end()));
    b.staged = {};
}

const segment_ref* first_unloaded_segment(const bucket& b)
{
    const auto it = std::ranges::find_if(
        b.loading_head->sealed,
        [&](const segment_ref& ref)
        {
            return std::ranges::find(b.loaded_segments, ref.number) ==
                   b.loaded_segments.end();
        });
    return it == b.loading_head->sealed.end() ? nullptr : &*it;
}

void adopt_loaded_head(bucket& b)
{
    b.head = std::move(*b.loading_head);
    b.loading_head.reset();
    b.head_revision = b.loading_revision;
    drop_unlisted_segments(b, b.head.sealed);
    index_current(b);
    std::erase_if(b.deleted, [&](const segment_ref& it)
                  { return !contains(b.head.retired, it); });
    if (!b.sealed_copy || b.sealed_copy->head_revision == b.head_revision)
        return;
    // Only a write that expects the head revision of the copy can refer to the
    // copy, and the head has a later revision now.
    if (!refers_to(b.head, *b.sealed_copy))
        b.orphans.push_back(*b.sealed_copy);
    b.sealed_copy.reset();
}

void add_sealed(bucket& b, const segment& sealed)
{
    std::ranges::for_each(sealed.entries,
                          [&](const claim_entry& it)
                          {
                              auto& indexed = b.sealed_index[it.key];
                              if (indexed.segment <= sealed.number)
                                  indexed = {sealed.number, it};
                          });
    b.loaded_segments.push_back(sealed.number);
}

segment_ref make_segment_ref(const bucket& b, std::string_view sealed_copy)
{
    segment_ref ref;
    ref.number = b.head.current.number;
    ref.head_revision = b.head_revision;
    ref.digest = hash64(sealed_copy);
    const auto newest = std::ranges::max_element(b.head.current.entries, {},
                                                 &claim_entry::time_ms);
    ref.newest_ms =
        newest == b.head.current.entries.end() ? 0 : newest->time_ms;
    return ref;
}

std::optional<segment_ref> next_copy_to_delete(const bucket& b)
{
    if (!b.orphans.empty())
        return b.orphans.front();
    const auto it =
        std::ranges::find_if(b.head.retired, [&](const segment_ref& ref)
                             { return !contains(b.deleted, ref); });
    return it == b.head.retired.end() ? std::nullopt : std::optional(*it);
}

} // namespace parsleyplank::claims
