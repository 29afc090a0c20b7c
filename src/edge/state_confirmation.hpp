#ifndef PARSLEYPLANK_EDGE_STATE_CONFIRMATION_HPP
#define PARSLEYPLANK_EDGE_STATE_CONFIRMATION_HPP

// Whether the state of an instance may be used after a pause of its process.
// While the process did not run, keys may have been withdrawn, servers drained
// and configurations replaced, and peers have taken over its duties. The state
// is used again once the store has been read, or could not be read, since the
// end of the pause: in an outage, instances work with what they know.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/pause_detector.hpp>

#include <cstdint>

namespace parsleyplank::edge
{

struct state_confirmation
{
    pause_detector pauses;
    // Longest time to wait for the read of the store.
    milliseconds max_wait{2'000};
    // Number of pauses so far.
    std::uint64_t pause_number = 0;
    // End of the last pause while the read after it is awaited.
    std::optional<boot_time> awaited_since;
};

// Records that the control thread runs. Returns the length of the pause if
// there was one, after which the state is unconfirmed. Gives up waiting for the
// read after max_wait.
std::optional<milliseconds> observe_control(state_confirmation& state,
                                            boot_time now);

// Records the end of a read of the store that began after the pause with this
// number. Reads that began before the last pause confirm nothing: their result
// may be as old as the pause.
void confirm(state_confirmation& state, std::uint64_t pause_number);

// Returns whether the state may be used.
bool is_confirmed(const state_confirmation& state);

} // namespace parsleyplank::edge

#endif
