#ifndef PARSLEYPLANK_EDGE_SERVER_LIMITS_HPP
#define PARSLEYPLANK_EDGE_SERVER_LIMITS_HPP

// What backend servers ask for in their responses: limits on their rate, which
// the instances divide, pauses, and that they are leaving.

#include <parsleyplank/edge/traffic_state.hpp>

#include <string>
#include <vector>

namespace parsleyplank::edge
{

// Returns what the current process of the server has asked for, or nullptr if
// nothing is known of it.
steering::notice_state* find_notice(traffic_state& state,
                                    const steering::backend_server& server);

// Updates the budget with this instance's part of the server's limit and
// returns whether it allows a request now.
bool limit_allows(const traffic_state& state,
                  const steering::backend_server& server,
                  steering::server_limit& limit, time_point now);

// Takes over the limits that peers have heard of since this instance did.
void adopt_limits(traffic_state& state, time_point now);

// Returns the limits that this instance has heard of itself lately, of which it
// claims a part, or of which peers take it to claim a part.
std::vector<known_limit> report_limits(traffic_state& state, time_point now);

// Records what a response of the server asks for. `sent` is the time at which
// its request was sent. Returns the changes for the log, as " name=value" each;
// empty if there are none.
std::string take_notice(traffic_state& state,
                        const steering::backend_server& server,
                        const steering::server_notice& notice, time_point sent,
                        time_point now);

} // namespace parsleyplank::edge

#endif
