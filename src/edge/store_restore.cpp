#include <parsleyplank/edge/store_restore.hpp>
#include <parsleyplank/store/store_era.hpp>

#include <utility>

namespace parsleyplank::edge
{

bool is_restored(revision listed, revision applied)
{
    return applied != revision(0) &&
           store::era_of(listed) > store::era_of(applied);
}

void begin_hold(store_restore& state, time_point now)
{
    state.hold_until = now + state.hold;
}

bool hold_order(store_restore& state, const std::string& key, time_point now)
{
    if (now >= state.hold_until)
        return false;
    state.missing.insert(key);
    return true;
}

void release_order(store_restore& state, const std::string& key)
{
    state.missing.erase(key);
}

std::vector<std::string> expired_orders(store_restore& state, time_point now)
{
    if (now < state.hold_until)
        return {};
    const auto keys = std::exchange(state.missing, {});
    return {keys.begin(), keys.end()};
}

} // namespace parsleyplank::edge
