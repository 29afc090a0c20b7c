#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/config/validate.hpp>
#include <parsleyplank/core/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace parsleyplank::config
{

namespace
{

void pause_before(const publish_limits& limits, int n)
{
    if (n > 0 && limits.pause)
        limits.pause(n);
}

// Writes a part, also one that exists: its new revision shows
// remove_unused_parts that a publisher needs it.
void write_part(store::kv_store& store, const part_digest& digest,
                const std::string& bytes, const publish_limits& limits)
{
    const std::string key = part_key_prefix + digest;
    revision expected;
    for (int n = 0; n < limits.attempts; ++n)
    {
        pause_before(limits, n);
        try
        {
            const auto written = store.compare_and_swap(key, expected, bytes);
            if (written.applied)
                return;
            expected = written.key_revision;
        }
        catch (const store_outcome_unknown&)
        {
            // Writing it once more does no harm.
            continue;
        }
    }
    throw store_unavailable("part " + digest + " can't be written in " +
                            std::to_string(limits.attempts) +
                            " attempts; nothing was published");
}

// Writes the parts that the base does not have. A part that the base names and
// that was not read may be missing from the store, so it is written, too.
void write_parts(store::kv_store& store, const part_map& parts,
                 const published& base, const publish_limits& limits)
{
    const auto present = named_parts(base.description, base.parts);
    std::ranges::for_each(
        parts,
        [&](const auto& part)
        {
            if (!base.parts.contains(part.first) ||
                !std::ranges::binary_search(present, part.first))
                write_part(store, part.first, part.second, limits);
        });
}

std::string describe(const change& winner)
{
    return "publisher \"" + winner.publisher + "\" (epoch " +
           std::to_string(winner.epoch.value) + ", change " + winner.change_id +
           ")";
}

enum class commit_state
{
    // Our change is in the manifest in force or among its predecessors.
    committed,
    // The base is still in force, or the read was older than it.
    undecided
};

// Reads the manifest back and looks for our change. Throws publish_conflict if
// another change took our epoch, store_outcome_unknown if so many followed that
// it is no longer listed.
commit_state read_back(store::kv_store& store, const change& own,
                       revision base_revision)
{
    const auto now = load_manifest(store);
    if (now.key_revision <= base_revision)
        return commit_state::undecided;
    const auto& changes = now.description.changes;
    const auto it = std::ranges::find(changes, own.epoch, &change::epoch);
    if (it == changes.end())
        throw store_outcome_unknown(
            "change " + own.change_id + " may have been published as epoch " +
            std::to_string(own.epoch.value) + "; epoch " +
            std::to_string(now.description.epoch().value) +
            " is in force by now and no longer lists it");
    if (*it == own)
        return commit_state::committed;
    throw publish_conflict(describe(*it) +
                           " was first; look at its change and publish again");
}

// Writes the manifest if the base is still in force.
void commit(store::kv_store& store, const published& base, const manifest& next,
            const publish_limits& limits)
{
    const std::string bytes = encode_manifest(next);
    const change& own = next.changes.front();
    bool in_doubt = false;
    for (int n = 0; n < limits.attempts; ++n)
    {
        pause_before(limits, n);
        try
        {
            if (store.compare_and_swap(manifest_key, base.key_revision, bytes)
                    .applied)
                return;
        }
        catch (const store_outcome_unknown&)
        {
            in_doubt = true;
        }
        catch (const store_unavailable&)
        {
            if (!in_doubt)
                throw;
        }
        try
        {
            if (read_back(store, own, base.key_revision) ==
                commit_state::committed)
                return;
        }
        catch (const store_unavailable&)
        {
            // The next attempt finds out.
            continue;
        }
    }
    if (in_doubt)
        throw store_outcome_unknown(
            "the store did not tell whether change " + own.change_id +
            " is in force; compare with the configuration in force before "
            "publishing again");
    throw publish_conflict("another publisher was first, but its manifest "
                           "can't be read yet; publish again");
}

manifest successor(const manifest& base, std::vector<section_ref> sections,
                   const publisher& by)
{
    manifest next{base.changes, std::move(sections)};
    next.changes.insert(next.changes.begin(),
                        {epoch(base.epoch().value + 1), by.name, by.change_id});
    if (next.changes.size() > listed_changes)
        next.changes.resize(listed_changes);
    return next;
}

void require_valid(const bundle& content)
{
    const auto problems = validate(content);
    if (!problems.empty())
        throw config_error("the configuration has " +
                           std::to_string(problems.size()) + " problem(s):\n" +
                           to_string(problems));
}

// Publishing the files of one deployment to the store of another is an
// operator's slip that would stop all service.
void require_same_fleet(const bundle& in_force, const bundle& content)
{
    const std::string& name = in_force.settings.name;
    if (!name.empty() && name != content.settings.name)
        throw config_error("the configuration in force is that of fleet \"" +
                           name + "\", the new one is for fleet \"" +
                           content.settings.name +
                           "\"; check the store and the files");
}

// A key that moves to another bucket could be claimed a second time, so an
// order could run twice.
void require_same_buckets(const bundle& in_force, const bundle& content)
{
    const auto held = in_force.settings.claim_buckets;
    const auto wanted = content.settings.claim_buckets;
    if (!in_force.settings.name.empty() && held != wanted)
        throw config_error("claim_buckets is " + std::to_string(held) +
                           " in the configuration in force and must not "
                           "change to " +
                           std::to_string(wanted) +
                           ": keys claimed before could run a second time");
}

const part_digest& root_of(const std::vector<section_ref>& sections,
                           std::string_view name)
{
    static const part_digest none;
    const auto it = std::ranges::find(sections, name, &section_ref::name);
    return it == sections.end() ? none : it->root;
}

// Publishes the content with the client blocks of the base.
epoch publish_beside_blocks(store::kv_store& store, const published& base,
                            const bundle& content, const publisher& by,
                            const publish_limits& limits)
{
    if (!content.client_blocks.empty())
        throw config_error("a small change can't add client blocks; publish "
                           "the whole configuration");
    require_valid(content);
    auto encoded = encode_bundle(content);
    const auto& old_sections = base.description.sections;
    if (root_of(encoded.sections, "regions") !=
        root_of(old_sections, "regions"))
        throw config_error("a small change can't change regions, which client "
                           "blocks name; publish the whole configuration");
    const auto it = std::ranges::find(encoded.sections, client_blocks_section,
                                      &section_ref::name);
    it->root = root_of(old_sections, client_blocks_section);
    write_parts(store, encoded.parts, base, limits);
    const auto next = successor(base.description, encoded.sections, by);
    commit(store, base, next, limits);
    return next.epoch();
}

// Reads missing parts. Returns whether all are held then.
bool read_parts(store::kv_store& store, published& to, bool with_client_blocks)
{
    for (auto missing =
             missing_parts(to.description, to.parts, with_client_blocks);
         !missing.empty();
         missing = missing_parts(to.description, to.parts, with_client_blocks))
    {
        for (const part_digest& digest : missing)
        {
            auto answer = store.get(part_key_prefix + digest);
            if (!answer.found)
                return false;
            check_part(digest, answer.found->value);
            to.parts.emplace(digest, std::move(answer.found->value));
        }
    }
    return true;
}

} // namespace

std::string new_change_id()
{
    std::random_device source;
    const auto high = std::uint64_t{source()} << 32U;
    std::array<char, 16> buf{};
    const auto [end, ec] =
        std::to_chars(buf.data(), buf.data() + buf.size(), high | source(), 16);
    return {buf.data(), end};
}

published load_manifest(store::kv_store& store)
{
    published loaded;
    const auto answer = store.get(manifest_key);
    if (answer.found)
    {
        loaded.description = decode_manifest(answer.found->value);
        loaded.key_revision = answer.found->key_revision;
    }
    return loaded;
}

published load_published(store::kv_store& store, part_map known,
                         bool with_client_blocks, const publish_limits& limits)
{
    for (int n = 0; n < limits.attempts; ++n)
    {
        pause_before(limits, n);
        auto loaded = load_manifest(store);
        loaded.parts = std::move(known);
        if (loaded.description.changes.empty())
            return loaded;
        if (read_parts(store, loaded, with_client_blocks))
        {
            loaded.content = decode_bundle(loaded.description, loaded.parts,
                                           with_client_blocks);
            return loaded;
        }
        // A part was missing: the manifest was stale and its parts are removed,
        // or the read of the part was stale.
        known = std::move(loaded.parts);
    }
    throw error("parts of the configuration in force are missing from the "
                "store; publish all files with "
                "parsleyplank-publish --rewrite");
}

bundle load_bundle(store::kv_store& store)
{
    return load_published(store).content;
}

epoch publish(store::kv_store& store, const published& base,
              const bundle& content, const publisher& by,
              const publish_limits& limits)
{
    require_valid(content);
    require_same_fleet(base.content, content);
    require_same_buckets(base.content, content);
    const auto encoded = encode_bundle(content);
    write_parts(store, encoded.parts, base, limits);
    const auto next = successor(base.description, encoded.sections, by);
    commit(store, base, next, limits);
    return next.epoch();
}

epoch modify_published(store::kv_store& store,
                       const std::function<void(bundle&)>& modify,
                       const publisher& by, const publish_limits& limits)
{
    part_map known;
    std::string reason;
    for (int n = 0; n < limits.attempts; ++n)
    {
        pause_before(limits, n);
        auto base = load_published(store, std::move(known), false, limits);
        if (base.description.changes.empty())
            throw config_error("no configuration is in force yet; publish one");
        bundle content = base.content;
        modify(content);
        try
        {
            return publish_beside_blocks(store, base, content, by, limits);
        }
        catch (const publish_conflict& ec)
        {
            reason = ec.what();
            known = std::move(base.parts);
        }
    }
    throw publish_conflict("lost " + std::to_string(limits.attempts) +
                           " races; " + reason);
}

std::size_t remove_unused_parts(store::kv_store& store)
{
    const auto current = load_manifest(store);
    const auto listed = store.list(part_key_prefix);
    const auto prefix_size = std::string_view(part_key_prefix).size();
    part_map parts;
    std::ranges::for_each(
        listed.entries, [&](const store::entry& entry)
        { parts.emplace(entry.key.substr(prefix_size), entry.value); });
    // A list that lacks parts in use is older than the manifest.
    if (!missing_parts(current.description, parts).empty())
        return 0;
    const auto used = named_parts(current.description, parts);
    return static_cast<std::size_t>(std::ranges::count_if(
        listed.entries,
        [&](const store::entry& entry)
        {
            if (entry.key_revision >= current.key_revision ||
                std::ranges::binary_search(used, entry.key.substr(prefix_size)))
                return false;
            try
            {
                return store.compare_and_delete(entry.key, entry.key_revision)
                    .applied;
            }
            catch (const store_outcome_unknown&)
            {
                // The next call removes it if it is still there.
                return false;
            }
        }));
}

} // namespace parsleyplank::config
