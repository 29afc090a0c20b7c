#include <parsleyplank/config/adoption.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::config
{

namespace
{

offer_verdict compare_with(const manifest& own, const manifest& arrived)
{
    if (arrived.epoch() > own.epoch())
        return offer_verdict::wanted;
    if (arrived.epoch() < own.epoch())
        return offer_verdict::older;
    return arrived == own ? offer_verdict::known : offer_verdict::conflicting;
}

// Drops all parts but those of the held and of the wanted manifest.
void drop_unused_parts(adoption& state)
{
    part_map used;
    const auto keep = [&](const manifest& description)
    {
        std::ranges::for_each(named_parts(description, state.parts),
                              [&](const part_digest& digest)
                              {
                                  const auto it = state.parts.find(digest);
                                  if (it != state.parts.end())
                                      used.insert(*it);
                              });
    };
    keep(state.held_manifest);
    if (state.wanted)
        keep(*state.wanted);
    state.parts.swap(used);
}

} // namespace

epoch held_epoch(const adoption& state)
{
    return state.held_manifest.epoch();
}

offer_verdict offer_manifest(adoption& state, const manifest& arrived)
{
    const manifest& own = state.wanted ? *state.wanted : state.held_manifest;
    const auto verdict = compare_with(own, arrived);
    if (verdict == offer_verdict::wanted &&
        std::exchange(state.wanted, arrived))
        drop_unused_parts(state);
    return verdict;
}

std::vector<part_digest> missing_parts(const adoption& state)
{
    if (!state.wanted)
        return {};
    return missing_parts(*state.wanted, state.parts);
}

std::size_t offer_parts(adoption& state, const part_map& arrived)
{
    const auto missing = missing_parts(state);
    std::size_t taken = 0;
    std::ranges::for_each(
        arrived,
        [&](const auto& part)
        {
            const auto& [digest, bytes] = part;
            check_part(digest, bytes);
            if (std::ranges::binary_search(missing, digest))
                taken += state.parts.emplace(digest, bytes).second ? 1 : 0;
        });
    return taken;
}

bool try_adopt(adoption& state)
{
    if (!state.wanted || !missing_parts(state).empty())
        return false;
    const manifest adopted = *std::exchange(state.wanted, std::nullopt);
    state.held =
        std::make_shared<const bundle>(decode_bundle(adopted, state.parts));
    state.held_manifest = adopted;
    drop_unused_parts(state);
    return true;
}

} // namespace parsleyplank::config
