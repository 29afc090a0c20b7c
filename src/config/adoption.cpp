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
    std::vector<part_digest> wanted;
    if (state.wanted)
        wanted = named_parts(*state.wanted, state.parts);
    std::erase_if(state.parts,
                  [&](const auto& part)
                  {
                      return !std::ranges::binary_search(state.complete,
                                                         part.first) &&
                             !std::ranges::binary_search(wanted, part.first);
                  });
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
    return missing_parts(*state.wanted, state.parts, true, state.complete);
}

std::size_t offer_parts(adoption& state, const part_map& arrived)
{
    std::ranges::for_each(arrived, [](const auto& part)
                          { check_part(part.first, part.second); });
    std::size_t taken = 0;
    std::size_t before = 0;
    do
    {
        // Pages that were just taken name further parts.
        before = taken;
        for (const part_digest& digest : missing_parts(state))
        {
            const auto it = arrived.find(digest);
            if (it != arrived.end())
                taken += state.parts.insert(*it).second ? 1 : 0;
        }
    } while (taken > before);
    return taken;
}

bool try_adopt(adoption& state)
{
    if (!state.wanted || !missing_parts(state).empty())
        return false;
    const manifest adopted = *std::exchange(state.wanted, std::nullopt);
    state.held = std::make_shared<const bundle>(
        decode_bundle(adopted, state.parts, state.with_client_blocks));
    state.held_manifest = adopted;
    state.complete = named_parts(adopted, state.parts);
    drop_unused_parts(state);
    return true;
}

} // namespace parsleyplank::config
