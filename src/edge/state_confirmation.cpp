#include <parsleyplank/edge/state_confirmation.hpp>

namespace parsleyplank::edge
{

std::optional<milliseconds> observe_control(state_confirmation& state,
                                            boot_time now)
{
    const auto pause = observe_run(state.pauses, now);
    if (pause)
    {
        ++state.pause_number;
        state.awaited_since = now;
    }
    else if (state.awaited_since && now - *state.awaited_since > state.max_wait)
        state.awaited_since.reset();
    return pause;
}

void confirm(state_confirmation& state, std::uint64_t pause_number)
{
    if (pause_number == state.pause_number)
        state.awaited_since.reset();
}

bool is_confirmed(const state_confirmation& state)
{
    return !state.awaited_since;
}

} // namespace parsleyplank::edge
